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

class Ledger {
 public:
  // How long, and how many, ends of events are remembered so that an event sent again meets the same answer.
  static constexpr Duration kRemembered = std::chrono::minutes(5);
  static constexpr std::size_t kMostRemembered = 1500;

  Message& Add(Message message);
  Message* Find(std::uint64_t number);
  Message* FindSame(const Request& request);  // taken before, from the same front under the same id
  int held() const { return held_; }
  std::size_t size() const { return messages_.size(); }
  const std::map<std::uint64_t, Message>& messages() const { return messages_; }

  void End(Message& message, enum End end, Duration again, Time now);
  // The store of kept messages has it, or never will.
  void Kept(Message& message);
  // No number below this is given out any more.
  void StartAt(std::uint64_t number) { next_ = std::max(next_, number); }
  // Lets an ended message go once no call is out for it and its end is neither owed nor remembered.
  void Settle(Message& message);
  void Remove(std::uint64_t number);
  // Forgets ends remembered for long enough.
  void Age(Time now);
  // Forgets the oldest remembered end; false if there is none that may go.
  bool ForgetOldest();
  std::function<void(const Message&)> on_removed;  // may be empty; told before a message goes

 private:
  static std::string Identity(const Request& request);
  static bool Remembers(const Message& message);

  std::map<std::uint64_t, Message> messages_;
  std::unordered_map<std::string, std::uint64_t> by_id_;
  std::deque<std::pair<Time, std::uint64_t>> remembered_;
  std::uint64_t next_ = 1;
  int held_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
