// All messages of a process: pending ones, ended ones whose final status somebody has still to learn, and
// ended CloudEvents that are retained to answer repeated submissions.
//
// Used on the event loop's thread only. The journal's replay fills it at the start; the pipeline owns its
// changes from then on.
#ifndef SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
#define SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "core/message.h"

namespace sagetally {

class MessageTable {
 public:
  // How long, and how many, ended CloudEvents are retained for deduplication.
  static constexpr Duration kDeduplicationWindow = std::chrono::minutes(5);
  static constexpr std::size_t kMaxRetained = 1500;

  // Adds a message, under the next free number if its own is 0. The reference is valid until Remove().
  Message& Add(Message message);
  // Returns null if there is no message of this number.
  Message* Find(std::uint64_t number);
  // Returns the message that was last submitted by the same protocol under the same id; null if none is
  // known.
  Message* FindDuplicate(const Request& request);

  int pending_count() const { return pending_count_; }
  std::size_t size() const { return messages_.size(); }
  const std::map<std::uint64_t, Message>& messages() const { return messages_; }

  // Sets the final status of a pending message; does nothing to one that has ended.
  void Complete(Message& message, FinalStatus final_status, Duration retry_after, Time now);
  // The dead-letter store holds the message, or never will. May remove it.
  void MarkDeadLettered(Message& message);
  // Numbers below this are not assigned any more.
  void SkipNumbersBelow(std::uint64_t number) { next_number_ = std::max(next_number_, number); }

  // Removes an ended message once nothing is owed for it: no call is in flight, and its client and the
  // dead-letter store know its end. One that is retained for deduplication loses only its body.
  void RemoveIfFinished(Message& message);
  // Removes a message whatever its state. Does nothing without one of this number.
  void Remove(std::uint64_t number);
  // Removes messages that were retained beyond kDeduplicationWindow or kMaxRetained.
  void ExpireRetained(Time now);
  // Removes the message retained longest. Returns false if there is none, or if its client has still to learn
  // its end.
  bool RemoveOldestRetained();

  // Called before a message is removed. May be empty.
  std::function<void(const Message&)> on_message_removed;

 private:
  // An ended message that is retained for deduplication.
  struct RetainedMessage {
    Time ended_at{0};
    std::uint64_t number = 0;
  };

  void Retain(const Message& message);

  std::map<std::uint64_t, Message> messages_;
  std::unordered_map<std::string, std::uint64_t> numbers_by_key_;  // by DeduplicationKey()
  std::deque<RetainedMessage> retained_;                           // oldest first
  std::uint64_t next_number_ = 1;
  int pending_count_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
