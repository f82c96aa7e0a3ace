#include "dead_letter/transfer_queue.h"

#include <utility>

#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

// Limits of one transaction. The last message of a batch may exceed the limit in bytes.
constexpr std::size_t kBatchMessages = 128;
constexpr std::size_t kBatchBytes = 512 * 1024;
// The approximate size of a message in the journal without its body.
constexpr std::size_t kJournalOverheadBytes = 600;

}  // namespace

void TransferQueue::Add(const Message& message, Time not_before) {
  PendingTransfer pending;
  pending.number = message.number;
  pending.bytes = message.request.body.size() + kJournalOverheadBytes;
  pending.priority_weight = context_.PriorityWeightOf(message);
  pending.is_redrive_result = message.redrive_number != 0;
  pending.not_before = not_before;
  numbers_.insert(pending.number);
  bytes_ += pending.bytes;
  waiting_.push_back(pending);
  GiveUpOverLimit();
}

// Never gives up the result of a redrive.
void TransferQueue::GiveUpOverLimit() {
  while (bytes_ > context_.settings.max_pending_bytes) {
    auto lowest = waiting_.end();
    for (auto pending = waiting_.begin(); pending != waiting_.end(); ++pending) {
      if (pending->is_redrive_result) continue;
      if (lowest == waiting_.end() || pending->priority_weight < lowest->priority_weight) lowest = pending;
    }
    if (lowest == waiting_.end()) return;
    GiveUp(lowest);
  }
}

void TransferQueue::GiveUp(const std::deque<PendingTransfer>::iterator& pending) {
  const std::uint64_t number = pending->number;
  bytes_ -= pending->bytes;
  waiting_.erase(pending);
  numbers_.erase(number);
  ++context_.counters.transfers_given_up;
  if (const Message* message = context_.messages.Find(number)) {
    context_.log.Error("dead_letter.lost", {{"number", number},
                                            {"id", message->request.id},
                                            {"class", context_.ClassNameOf(*message)},
                                            {"reason", std::string(Name(message->failure_reason))},
                                            {"lost", context_.counters.transfers_given_up}});
  }
  context_.pipeline.on_dead_lettered(number);
}

Database::Entry TransferQueue::EntryOf(const Message& message, const PendingTransfer& pending) const {
  Database::Entry entry;
  entry.dead_letter =
      FromMessage(message, context_.settings.node, context_.ClassNameOf(message), pending.priority_weight);
  entry.redriven = pending.is_redrive_result;
  entry.not_before = pending.not_before;
  entry.identity = IdentityOf(message.request);
  return entry;
}

std::shared_ptr<const TransferQueue::Entries> TransferQueue::TakeBatch() {
  const auto entries = std::make_shared<Entries>();
  std::size_t batch_bytes = 0;
  while (!waiting_.empty() && in_transfer_.size() < kBatchMessages && batch_bytes < kBatchBytes) {
    const PendingTransfer pending = waiting_.front();
    waiting_.pop_front();
    const Message* message = context_.messages.Find(pending.number);
    if (message == nullptr || !message->dead_letter_pending) {  // no longer to be stored
      numbers_.erase(pending.number);
      bytes_ -= pending.bytes;
      continue;
    }
    entries->push_back(EntryOf(*message, pending));
    in_transfer_.push_back(pending);
    batch_bytes += pending.bytes;
  }
  return entries;
}

void TransferQueue::PutBackBatch() {
  waiting_.insert(waiting_.begin(), in_transfer_.begin(), in_transfer_.end());
  in_transfer_.clear();
}

void TransferQueue::StartTransfer() {
  if (!in_transfer_.empty() || waiting_.empty()) return;
  const std::shared_ptr<const Entries> entries = TakeBatch();
  if (in_transfer_.empty()) return;
  const auto evicted = std::make_shared<Database::Evicted>();
  const bool is_queued = context_.jobs.Run(
      [entries, evicted, now = context_.clock.Now()](Database& database) {
        database.Store(*entries);
        *evicted = database.Evict(now);
      },
      [this, evicted](const JobError* error) { OnTransferred(error, *evicted); });
  if (is_queued) return;
  PutBackBatch();
  health_.Defer();
}

void TransferQueue::OnTransferred(const JobError* error, const Database::Evicted& evicted) {
  if (error != nullptr) {
    PutBackBatch();  // if part of the batch was stored, storing it again changes nothing
    context_.on_store_error(*error);
    context_.run_due_work();
    return;
  }
  if (health_.is_failing()) context_.log.Info("dead_letter.store_recovered", {{"pending", size()}});
  health_.OnSuccess();
  for (const PendingTransfer& stored : std::exchange(in_transfer_, {})) {
    bytes_ -= stored.bytes;
    numbers_.erase(stored.number);
    if (!stored.is_redrive_result) ++context_.counters.stored;
    context_.pipeline.on_dead_lettered(stored.number);
  }
  if (evicted.total() > 0) LogEvicted(evicted);
  on_stored_();
}

void TransferQueue::LogEvicted(const Database::Evicted& evicted) {
  context_.counters.evicted += evicted.total();
  std::vector<LogField> fields = {{"for_space", evicted.for_space}, {"for_age", evicted.for_age}};
  for (const NamedCount& evicted_class : evicted.by_class) {
    fields.emplace_back(evicted_class.name, evicted_class.count);
  }
  context_.log.Warn("dead_letter.evicted", fields);
}

}  // namespace sagetally::dead_letter
