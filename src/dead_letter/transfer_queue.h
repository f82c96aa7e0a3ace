// Messages that have ended and wait to be stored. They leave the journal only after the store has committed
// them. Part of the dead-letter manager.
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
  // `on_stored` is called after each transaction.
  TransferQueue(ManagerContext& context, StoreHealth& health, std::function<void()> on_stored)
      : context_(context), health_(health), on_stored_(std::move(on_stored)) {}

  bool Contains(std::uint64_t number) const { return numbers_.contains(number); }
  // `not_before`: of the next redrive, where this one failed. Over the limit of bytes, the messages of the
  // lowest priority weight are given up: the journal's space is for delivery.
  void Add(const Message& message, Time not_before);
  // Hands the next messages to the store, unless some are on their way.
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
  std::set<std::uint64_t> numbers_;  // of both
  std::size_t bytes_ = 0;            // of both
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_TRANSFER_QUEUE_H_
