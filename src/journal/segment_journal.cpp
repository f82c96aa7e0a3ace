#include "journal/segment_journal.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "journal/errors.h"
#include "journal/records.h"

namespace sagetally {
namespace {

constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(3000);
constexpr char kReserveName[] = "reserve";
constexpr char kLockName[] = "lock";
// The remembered ids may take this part of the disk budget.
constexpr std::uint64_t kIdLogBudgetDivisor = 12;

}  // namespace

SegmentJournal::SegmentJournal(FileSystem& files, JournalSettings settings, MessageTable& messages,
                               const Clock& clock, Logger& log, JournalHost& host)
    : files_(files),
      settings_(std::move(settings)),
      segment_bytes_(settings_.EffectiveSegmentBytes()),
      messages_(messages),
      clock_(clock),
      log_(log),
      host_(host),
      segment_log_(files, settings_.folder, clock, settings_.SyncsAnyClass()),
      id_log_(files, settings_.folder, settings_.disk_budget / kIdLogBudgetDivisor),
      reserve_(files, segment_log_.PathOf(kReserveName), settings_.reserve_disk_space),
      disk_space_(settings_, segment_log_, reserve_),
      compactor_(segment_log_, index_, disk_space_, clock, counters_, *this),
      group_commit_(settings_.SyncsAnyClass(), settings_.group_commit_delay) {
  ThrowOnError(settings_.folder, files_.MakeFolder(settings_.folder));
  auto lock = files_.Lock(segment_log_.PathOf(kLockName));
  if (lock.error == EWOULDBLOCK) {
    throw JournalLockedError(settings_.folder,
                             std::string("another process has locked this journal (") + kLockName + ")");
  }
  ThrowOnError(settings_.folder, lock.error);
  lock_ = std::move(lock.value);
  Recover();
  host_.BeforeFirstWrite();
  BeginEpoch();
  messages_.on_message_removed = [this](const Message& message) { OnMessageRemoved(message); };
  messages_.on_message_released = [this](const Message& message) { OnMessageReleased(message); };
}

SegmentJournal::~SegmentJournal() {
  messages_.on_message_removed = nullptr;
  messages_.on_message_released = nullptr;
  *is_alive_ = false;
}

bool SegmentJournal::IsDurable(const Message& message) const {
  const LiveMessage* const entry = index_.Find(message.number);
  if (entry == nullptr) return true;
  if (entry->has_unwritten_records || is_broken_ || is_fenced_) return false;
  return settings_.DurabilityOf(message) == Durability::kWritten ||
         group_commit_.IsSynced(entry->last_sequence);
}

std::uint64_t SegmentJournal::MissingSpace(std::span<const Message* const> messages) const {
  std::uint64_t live_bytes = index_.live_bytes();
  for (const Message* message : messages) live_bytes += MaxLiveBytes(*message);
  const std::uint64_t limit = disk_space_.live_limit();
  return live_bytes > limit ? live_bytes - limit : 0;
}

std::uint64_t SegmentJournal::SpaceOf(const Message& message) const {
  const LiveMessage* const entry = index_.Find(message.number);
  return entry == nullptr ? 0 : entry->live_bytes;
}

bool SegmentJournal::AppendAccepted(std::span<const Message* const> messages) {
  if (!is_writable() || is_full_ || MissingSpace(messages) > 0) return false;
  std::uint64_t future_bytes = index_.future_bytes();
  std::vector<std::string> states;
  for (const Message* message : messages) {
    future_bytes += MaxFutureRecordBytes(*message);
    states.push_back(EncodeState(*message, 1));
  }
  if (!GrowReserve(future_bytes)) {
    OnWriteError(ENOSPC, false);
    return false;
  }
  const std::string record = states.size() == 1 ? std::move(states.front()) : EncodeBatch(states);
  if (record.size() > kMaxRecordBytes || !Write(record, {})) return false;
  for (const Message* message : messages) {
    LiveMessage& entry = index_.Insert(message->number);
    entry.ordinal = 1;
    entry.segment = segment_log_.MoveState(message->number, entry.segment);
    entry.last_sequence = segment_log_.last_sequence();
    index_.UpdateSizes(*message, entry);
    RequestSyncFor(*message);
  }
  if (compactor_.OnAppended(record.size())) ScheduleWork();
  return true;
}

void SegmentJournal::AppendAttempt(const Message& message) {
  AppendEvent(message, [&](std::uint32_t ordinal) { return EncodeAttempt(message, ordinal); });
}

void SegmentJournal::AppendOutcome(const Message& message, Outcome outcome) {
  AppendEvent(message, [&](std::uint32_t ordinal) { return EncodeOutcome(message, ordinal, outcome); });
}

void SegmentJournal::AppendCompletion(const Message& message) {
  AppendEvent(message, [&](std::uint32_t ordinal) { return EncodeCompletion(message, ordinal); });
}

void SegmentJournal::AppendNotified(const Message& message) {
  AppendEvent(message, [&](std::uint32_t ordinal) {
    return EncodeBareRecord(RecordKind::kNotified, message.number, ordinal);
  });
}

void SegmentJournal::AppendDeadLettered(const Message& message) {
  AppendEvent(message, [&](std::uint32_t ordinal) {
    return EncodeBareRecord(RecordKind::kDeadLettered, message.number, ordinal);
  });
}

void SegmentJournal::AppendEvent(const Message& message,
                                 const std::function<std::string(std::uint32_t)>& encode_record) {
  LiveMessage* const entry = index_.Find(message.number);
  if (entry == nullptr) return;  // the message was never accepted
  entry->ordinal += 1;
  index_.UpdateSizes(message, *entry);
  if (entry->has_unwritten_records) return;  // a retry will write the whole state of the message
  const std::string record = encode_record(entry->ordinal);
  if (!Write(record, {.is_required = true})) {
    entry->has_unwritten_records = true;
    index_.unwritten_messages().insert(message.number);
    return;
  }
  entry->last_sequence = segment_log_.last_sequence();
  RequestSyncFor(message);
  if (compactor_.OnAppended(record.size())) ScheduleWork();
}

bool SegmentJournal::WriteState(const Message& message, LiveMessage& entry, WriteMode mode) {
  const std::string record = EncodeState(message, entry.ordinal);
  if (!Write(record, mode)) return false;
  if (mode.is_copy) counters_.bytes_copied += kFrameBytes + record.size();
  entry.segment = segment_log_.MoveState(message.number, entry.segment);
  entry.last_sequence = segment_log_.last_sequence();
  RequestSyncFor(message);
  return true;
}

bool SegmentJournal::CopyState(std::uint64_t message_number, LiveMessage& entry) {
  return WriteState(*messages_.Find(message_number), entry, {.is_copy = true});
}

void SegmentJournal::OnMessageRemoved(const Message& message) {
  const LiveMessage* const entry = index_.Find(message.number);
  if (entry == nullptr) return;
  segment_log_.RemoveLiveMessage(entry->segment);
  const std::uint32_t removal_ordinal = entry->ordinal + 1;
  if (entry->has_unwritten_records) {
    index_.unwritten_messages().erase(message.number);
    index_.unwritten_removals()[message.number] = removal_ordinal;
  } else if (group_commit_.is_enabled() && !group_commit_.IsSynced(entry->last_sequence)) {
    index_.unsynced_removals().push_back({message.number, removal_ordinal, entry->last_sequence});
  }
  index_.Erase(message.number);
}

void SegmentJournal::OnMessageReleased(const Message& message) {
  LiveMessage* const entry = index_.Find(message.number);
  if (entry != nullptr) index_.UpdateSizes(message, *entry);
}

bool SegmentJournal::Write(std::string_view record, WriteMode mode) {
  if (is_broken_ || is_fenced_ || (is_unwritable_ && !is_retrying_)) return false;
  const std::uint64_t frame_bytes = kFrameBytes + record.size();
  const LogSegment& head = segment_log_.segments().back();
  if (head.bytes + frame_bytes > segment_bytes_ && head.bytes > segment_bytes_ / 2) {
    StartSegment();  // after an error the record is appended to the present segment
  }
  if (is_fenced_) return false;
  int error = AppendRecord(record, mode);
  while (error == ENOSPC && mode.is_required && ReleaseReserve(frame_bytes)) {
    error = AppendRecord(record, mode);
  }
  // Writing to a new file may work although writing to the present one failed.
  if (error != 0 && error != ENOSPC && StartSegment() == 0) {
    error = segment_log_.Append(record);
    if (error == 0) counters_.bytes_appended += frame_bytes;
  }
  if (error != 0) OnWriteError(error, mode.is_required);
  return error == 0;
}

int SegmentJournal::AppendRecord(std::string_view record, WriteMode mode) {
  const std::uint64_t frame_bytes = kFrameBytes + record.size();
  const bool has_space = mode.is_copy ? disk_space_.FitsCopy(frame_bytes) : compactor_.MakeSpace(frame_bytes);
  if (!has_space) return ENOSPC;
  const int error = segment_log_.Append(record);
  if (error == 0) counters_.bytes_appended += frame_bytes;
  return error;
}

void SegmentJournal::OnWriteError(int error, bool is_required) {
  ++counters_.failures;
  if (error == ENOSPC && !is_full_) {
    is_full_ = true;
    log_.Error("journal.full", {{"folder", settings_.folder}, {"pending", messages_.pending_count()}});
  }
  if (is_required && !is_unwritable_) {
    is_unwritable_ = true;
    log_.Error("journal.unwritable", {{"folder", settings_.folder}, {"error", ErrorText(error)}});
  }
  if (!is_required && error != ENOSPC) return;
  if (retry_.due == Time::max()) {
    retry_.delay = kMinRetryDelay;
    retry_.due = clock_.Now() + retry_.delay;
  }
  ScheduleWork();
}

bool SegmentJournal::ReleaseReserve(std::uint64_t size) {
  if (!reserve_.Release(size)) return false;
  OnWriteError(ENOSPC, false);  // rejects new messages until the reserve is complete again
  return true;
}

int SegmentJournal::StartSegment(bool sync_previous) {
  if (CheckFence()) return EROFS;
  int sync_error = 0;
  // The present segment must be durable before a manifest lists the next one as its continuation.
  if (sync_previous && segment_log_.head_file()) {
    sync_error = group_commit_.SyncNow(*segment_log_.head_file(), segment_log_.last_sequence());
  }
  if (const int error = segment_log_.StartSegment(); error != 0) return error;
  group_commit_.OnFileReplaced();
  ++counters_.segments_started;
  if (sync_error != 0) RecoverFromFailedSync(sync_error);
  return 0;
}

// A manifest of a later epoch shows that another process has taken over the journal, even if this process
// still holds the lock.
bool SegmentJournal::CheckFence() {
  if (is_fenced_) return true;
  const auto later_epoch = segment_log_.FindLaterEpoch();
  if (!later_epoch) return false;
  is_fenced_ = true;
  log_.Error("journal.fenced",
             {{"folder", settings_.folder}, {"epoch", epoch()}, {"later_epoch", *later_epoch}});
  host_.OnFenced();
  return true;
}

bool SegmentJournal::Reclaim() {
  const auto present = ReadManifestFile(files_, settings_.folder).manifest;
  if (!present) return false;
  if (present->epoch != epoch() && !(segment_log_.AdoptSuccessor(*present) && StartSegment() == 0)) {
    return false;
  }
  if (reserve_.is_open()) {  // the other process may have changed the reserve file
    reserve_.Close();
    if (!GrowReserve(index_.future_bytes())) OnWriteError(ENOSPC, false);
  }
  return true;
}

// Without space the ids stay in memory only, because the journal must be able to drop segments then.
void SegmentJournal::SaveRememberedIds() {
  if (is_fenced_) return;
  const std::deque<RememberedId> ids = messages_.id_history().TakeUnsaved();
  const std::uint64_t max_growth = ids.size() * IdLog::kEntryBytes + kDiskBlockBytes;
  const int error = disk_space_.FitsCopy(max_growth)
                        ? id_log_.Append(ids, segment_log_.manifest().salt, clock_.Now())
                        : ENOSPC;
  disk_space_.SetIdLogBytes(id_log_.disk_bytes());
  if (error != 0 && !has_id_log_error_) {
    log_.Warn("journal.ids_not_saved", {{"ids", ids.size()}, {"error", ErrorText(error)}});
  }
  has_id_log_error_ = error != 0;
}

bool SegmentJournal::DropOldestSegment() {
  if (CheckFence()) return false;
  // The copies of the segment's states must survive a loss of power before the segment is removed.
  if (group_commit_.is_enabled() && !group_commit_.IsSynced(segment_log_.oldest().last_copy_sequence)) {
    RequestSync();
    return false;
  }
  SaveRememberedIds();  // the ends of messages in the segment are known from its records only
  if (!segment_log_.DropOldest()) return false;
  ++counters_.segments_dropped;
  return true;
}

void SegmentJournal::RequestSync() {
  if (group_commit_.Request(clock_.Now())) ScheduleWork();
}

void SegmentJournal::RequestSyncFor(const Message& message) {
  if (settings_.DurabilityOf(message) == Durability::kSynced) RequestSync();
}

void SegmentJournal::StartSync() {
  if (is_broken_) return group_commit_.CancelRequest();
  switch (group_commit_.Begin(segment_log_.last_sequence())) {
    case GroupCommit::Start::kNothingToDo:
      return;
    case GroupCommit::Start::kAllSynced:
      return host_.OnDurabilityProgress();
    case GroupCommit::Start::kUntrusted:
      RecoverFromFailedSync(EIO);
      return host_.OnDurabilityProgress();
    case GroupCommit::Start::kStarted:
      break;
  }
  ++counters_.syncs;
  host_.SyncInBackground(segment_log_.head_file(),
                         [this, sequence = segment_log_.last_sequence(), is_alive = is_alive_](int error) {
                           if (*is_alive) OnSyncCompleted(sequence, error);
                         });
}

void SegmentJournal::OnSyncCompleted(std::uint64_t sequence, int error) {
  const bool is_synced = group_commit_.Complete(sequence, error);
  if (is_broken_ || is_fenced_) return;
  if (!is_synced) RecoverFromFailedSync(error);
  auto& removals = index_.unsynced_removals();
  while (!removals.empty() && group_commit_.IsSynced(removals.front().last_sequence)) removals.pop_front();
  if (!group_commit_.IsSynced(segment_log_.last_sequence())) RequestSync();
  host_.OnDurabilityProgress();
}

// After a failed sync, the file is not synced a second time: the second sync may succeed although the kernel
// has dropped the data that it could not write. Everything that the file may lack is written to a new file
// instead.
void SegmentJournal::RecoverFromFailedSync(int error) {
  log_.Error("journal.sync_failed",
             {{"file", SegmentName(segment_log_.segments().back().number)}, {"error", ErrorText(error)}});
  ++counters_.failures;
  if (RewriteUnsynced() && segment_log_.head_file()->Sync() == 0) {
    group_commit_.SetSynced(segment_log_.last_sequence());
    index_.unsynced_removals().clear();
    return;
  }
  is_broken_ = true;
  log_.Error("journal.broken", {{"folder", settings_.folder}, {"pending", messages_.pending_count()}});
}

bool SegmentJournal::RewriteUnsynced() {
  const std::uint64_t synced_sequence = group_commit_.synced_sequence();
  if (StartSegment(false) != 0) return false;
  for (const std::uint64_t number : index_.FindWrittenAfter(synced_sequence)) {
    if (!WriteState(*messages_.Find(number), *index_.Find(number), {.is_copy = true})) return false;
  }
  for (const RemovedMessage& removed : index_.unsynced_removals()) {
    const std::string record = EncodeBareRecord(RecordKind::kRemoved, removed.number, removed.ordinal);
    if (!Write(record, {.is_required = true, .is_copy = true})) return false;
  }
  return true;
}

bool SegmentJournal::WriteUnwrittenRecords() {
  auto& unwritten = index_.unwritten_messages();
  while (!unwritten.empty()) {
    const std::uint64_t number = *unwritten.begin();
    LiveMessage& entry = *index_.Find(number);
    if (!WriteState(*messages_.Find(number), entry, {.is_required = true})) return false;
    entry.has_unwritten_records = false;
    unwritten.erase(number);
  }
  auto& removals = index_.unwritten_removals();
  while (!removals.empty()) {
    const auto [number, ordinal] = *removals.begin();
    if (!Write(EncodeBareRecord(RecordKind::kRemoved, number, ordinal), {.is_required = true})) return false;
    removals.erase(number);
  }
  return true;
}

void SegmentJournal::RetryUnwritten() {
  retry_.due = Time::max();
  if (is_broken_ || is_fenced_) return;
  is_retrying_ = true;
  const bool is_written = WriteUnwrittenRecords();
  is_retrying_ = false;
  const bool becomes_writable = is_written && is_unwritable_;
  if (becomes_writable) {
    is_unwritable_ = false;
    log_.Info("journal.writable", {{"folder", settings_.folder}});
  }
  if (is_written && is_full_ && GrowReserve(index_.future_bytes())) {
    is_full_ = false;
    log_.Info("journal.space_available", {{"disk_bytes", disk_bytes()}});
  }
  if (!is_written || is_full_) {
    retry_.delay = std::clamp(retry_.delay * 2, kMinRetryDelay, kMaxRetryDelay);
    retry_.due = clock_.Now() + retry_.delay;
  }
  if (becomes_writable) host_.OnDurabilityProgress();
}

void SegmentJournal::RunDueWork() {
  if (is_fenced_) return;
  const Time now = clock_.Now();
  if (group_commit_.due() <= now) StartSync();
  if (retry_.due <= now) RetryUnwritten();
  if (compactor_.due() <= now) {
    const bool has_changed = compactor_.RunStep();
    reserve_.Shrink(index_.future_bytes());  // leaves more of the disk budget to the segments
    if (has_changed) compactor_.ScheduleNextStep(now);
  }
  ScheduleWork();
}

void SegmentJournal::ScheduleWork() {
  const Time due = std::min({compactor_.due(), group_commit_.due(), retry_.due});
  if (due != Time::max()) host_.ScheduleWork(std::max(Duration(0), due - clock_.Now()));
}

}  // namespace sagetally
