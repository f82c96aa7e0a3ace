// The table of all messages of a process: pending messages, completed messages for which a response, a call,
// a notification or a transfer to the dead-letter store is still outstanding, and completed CloudEvents that
// are retained to recognise repeated submissions.
//
// Used on the event loop's thread only. The journal's replay fills the table at the start of the process;
// from then on only the pipeline changes it.
#ifndef SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
#define SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

#include "core/id_history.h"
#include "core/memory_account.h"
#include "core/message.h"

namespace sagetally {

class MessageTable {
 public:
  // What a message takes up beside the texts of its request: its entries here, in the policy, in the journal
  // and in its calls.
  static constexpr std::size_t kMessageBytes = 2048;
  // The same for a completed message of which only its end is retained.
  static constexpr std::size_t kRetainedMessageBytes = 768;
  // Returns the memory that a pending message with this request takes up, in bytes.
  static std::size_t MemoryOf(const Request& request);
  // Returns the memory that the message takes up, in bytes.
  static std::size_t MemoryOf(const Message& message);

  // Completed CloudEvents are retained for deduplication for this long, and at most this many of them.
  static constexpr Duration kDeduplicationWindow = std::chrono::minutes(5);
  static constexpr std::size_t kMaxRetainedMessages = 1500;

  MessageTable() = default;
  // `memory_limit` is the messages' share in bytes, `max_remembered_ids` the size of id_history().
  MessageTable(std::size_t memory_limit, std::size_t max_remembered_ids)
      : id_history_(max_remembered_ids), memory_(memory_limit) {}

  // Adds a message. If its number is 0, it is assigned the next free number. The returned reference stays
  // valid until the message is removed.
  Message& Add(Message message);
  // Returns the message with this number, or null if there is none.
  Message* Find(std::uint64_t number);
  // Returns the latest message that was submitted by the same protocol with the same id, or null if there is
  // none.
  Message* FindDuplicate(const Request& request);
  // What is remembered of the ids of the platform's protocol, whose messages are not retained.
  IdHistory& id_history() { return id_history_; }

  // The number of messages that have not completed yet.
  int pending_count() const { return pending_count_; }
  // The number of pending messages of one client.
  int PendingCountOf(std::uint64_t client) const;
  // The number of pending messages whose delivery is unconfirmed.
  int unconfirmed_count() const { return unconfirmed_count_; }
  // The memory that the messages take up.
  MemoryAccount& memory() { return memory_; }
  const MemoryAccount& memory() const { return memory_; }
  // The number of messages in the table.
  std::size_t size() const { return messages_.size(); }
  // All messages, by message number.
  const std::map<std::uint64_t, Message>& messages() const { return messages_; }

  // Sets the final status of a pending message. Does nothing if the message has completed already. `now` is
  // recorded as the time of the completion.
  void Complete(Message& message, FinalStatus final_status, Duration retry_after, Time now);
  // Sets Message::is_delivery_unconfirmed.
  void SetDeliveryUnconfirmed(Message& message, bool is_unconfirmed);
  // Called when the dead-letter store has stored the message, or has given it up for good. May remove the
  // message from the table.
  void MarkDeadLettered(Message& message);
  // From now on, assigns no message numbers below `number`.
  void SkipNumbersBelow(std::uint64_t number) { next_number_ = std::max(next_number_, number); }

  // Removes a completed message if nothing is outstanding for it: no call is in flight, its client has the
  // response and has acknowledged a pending notification, and the dead-letter store does not still have to
  // store it. A message that is retained for deduplication stays in the table, but releases its body and
  // whatever else is not needed to recognise it.
  void RemoveIfFinished(Message& message);
  // From now on, messages that are retained for deduplication release their attributes and keys as well as
  // their bodies, those in the table included. Until then the table shows what the journal's replay has read.
  void MinimizeRetained();
  // Removes a message in any state. Does nothing if there is no message with this number.
  void Remove(std::uint64_t number);
  // Removes messages that have been retained longer than kDeduplicationWindow, and those beyond the newest
  // kMaxRetainedMessages. Keeps messages that have a call in flight or whose client still has to get the
  // response or the notification.
  void ExpireRetained(Time now);
  // Returns what is gained by the removal of a retained message; 0: it must not be removed.
  using Gain = std::function<std::uint64_t(const Message&)>;
  // Of the retained messages that need not be kept in that way, removes the oldest until their gains add up
  // to `needed`, and returns how many were removed. Removes none and returns nothing if all of them do not
  // suffice.
  std::optional<std::size_t> RemoveRetained(std::uint64_t needed, const Gain& gain);

  // Called before a message is removed. May be empty.
  std::function<void(const Message&)> on_message_removed;
  // Called when a retained message has released a part of what it held. May be empty.
  std::function<void(const Message&)> on_message_released;

 private:
  // A completed message that is retained for deduplication.
  struct RetainedMessage {
    Time completed_at{0};
    std::uint64_t number = 0;
    bool operator<(const RetainedMessage& other) const {
      return std::tie(completed_at, number) < std::tie(other.completed_at, other.number);
    }
  };

  void CountPending(const Message& message, int change);
  void Retain(const Message& message);
  void Release(Message& message);
  void StopRetaining(const Message& message);
  bool IsRemovable(const RetainedMessage& retained);

  std::map<std::uint64_t, Message> messages_;
  std::unordered_map<std::string, std::uint64_t> numbers_by_key_;  // by MakeDeduplicationKey()
  std::set<RetainedMessage> retained_;                             // oldest first
  IdHistory id_history_;
  MemoryAccount memory_;
  bool is_minimizing_ = false;
  std::uint64_t next_number_ = 1;
  int pending_count_ = 0;
  std::unordered_map<std::uint64_t, int> pending_by_client_;  // without clients that have none
  int unconfirmed_count_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_TABLE_H_
