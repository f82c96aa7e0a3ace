// The queue of completed messages that wait to be stored. Unless it is given up, a message leaves the journal
// only after the store has committed it. Part of the dead-letter manager; used on the event loop only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_TRANSFER_QUEUE_H_
#define SAGETALLY_SRC_DEAD_LETTER_TRANSFER_QUEUE_H_

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "dead_letter/manager_context.h"
#include "dead_letter/store_health.h"

namespace sagetally::dead_letter {

class TransferQueue {
 public:
  // Calls `on_stored` after each committed transfer.
  TransferQueue(ManagerContext& context, StoreHealth& health, std::function<void()> on_stored)
      : context_(context), health_(health), on_stored_(std::move(on_stored)) {}

  bool Contains(std::uint64_t number) const { return numbers_.contains(number); }
  // Adds a completed message. `not_before` is the earliest time of the next redrive if `message` is a failed
  // redrive. While the queue exceeds its limit in bytes, the messages with the lowest priority weight are
  // given up, because the journal's space is needed for delivery.
  void Add(const Message& message, Time not_before);
  // Starts a job that stores the next messages, unless one is already running.
  void StartTransfer();
  std::size_t size() const { return waiting_.size() + in_transfer_.size(); }

 private:
  struct PendingTransfer {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    double priority_weight = 0;
    bool is_redrive_result = false;
    Time not_before{0};
  };
  using Entries = std::vector<Database::Entry>;

  void GiveUpOverLimit();
  void GiveUp(const std::deque<PendingTransfer>::iterator& pending);
  std::shared_ptr<const Entries> TakeBatch();
  Database::Entry EntryOf(const Message& message, const PendingTransfer& pending) const;
  void PutBackBatch();
  void OnTransferred(const JobError* error, const Database::Evicted& evicted);
  void LogEvicted(const Database::Evicted& evicted);

  ManagerContext& context_;
  StoreHealth& health_;
  std::function<void()> on_stored_;
  std::deque<PendingTransfer> waiting_;
  std::vector<PendingTransfer> in_transfer_;
  std::set<std::uint64_t> numbers_;  // of the messages in `waiting_` and `in_transfer_`
  std::size_t bytes_ = 0;            // total of `waiting_` and `in_transfer_`
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_TRANSFER_QUEUE_H_
