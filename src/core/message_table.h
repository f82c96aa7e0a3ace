// Who owes what: every message held, and those ended whose end is still owed to somebody or remembered.
#ifndef SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
#define SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "core/message.h"

namespace sagetally {

class MessageTable {
 public:
  // How long, and how many, ends of events are remembered so that an event sent again meets the same answer.
  static constexpr Duration kDeduplicationTime = std::chrono::minutes(5);
  static constexpr std::size_t kMaxRemembered = 1500;

  Message& Add(Message message);
  Message* Find(std::uint64_t number);
  Message* FindDuplicate(const Request& request);  // taken before, from the same front under the same id
  int pending_count() const { return pending_count_; }
  std::size_t size() const { return messages_.size(); }
  const std::map<std::uint64_t, Message>& messages() const { return messages_; }

  void Complete(Message& message, enum FinalStatus end, Duration again, Time now);
  // The store of kept messages has it, or never will.
  void MarkDeadLettered(Message& message);
  // No number below this is given out any more.
  void SkipNumbersBelow(std::uint64_t number) { next_number_ = std::max(next_number_, number); }
  // Lets an ended message go once no call is out for it and its end is neither owed nor remembered.
  void RemoveIfFinished(Message& message);
  void Remove(std::uint64_t number);
  // Forgets ends remembered for long enough.
  void ExpireRemembered(Time now);
  // Forgets the oldest remembered end; false if there is none that may go.
  bool ForgetOldest();
  std::function<void(const Message&)> on_message_removed;  // may be empty; told before a message goes

 private:
  static std::string Identity(const Request& request);
  static bool IsRemembered(const Message& message);

  std::map<std::uint64_t, Message> messages_;
  std::unordered_map<std::string, std::uint64_t> by_id_;
  std::deque<std::pair<Time, std::uint64_t>> remembered_;
  std::uint64_t next_number_ = 1;
  int pending_count_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
