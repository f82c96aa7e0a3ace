// The start of a SegmentJournal: reads the journal and begins a new epoch.
#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <cerrno>
#include <utility>

#include "journal/errors.h"
#include "journal/journal_recovery.h"
#include "journal/segment_journal.h"

namespace sagetally {

void SegmentJournal::Recover() {
  const std::optional<Manifest> manifest = ReadManifestFile(files_, settings_.folder).manifest;
  if (manifest) messages_.id_history().SetKey(manifest->salt);
  if (manifest) id_log_.Load(manifest->salt, messages_.id_history(), clock_.Now());
  RecoveredJournal recovered = RecoverJournal(files_, settings_, messages_, log_);
  report_ = std::move(recovered.report);
  segment_log_.Load(report_);
  disk_space_.AddOtherFiles(recovered.quarantine_disk_bytes);
  for (const auto& [number, replayed] : recovered.replayed_messages) {
    LiveMessage& entry = index_.Insert(number);
    entry.ordinal = replayed.ordinal;
    entry.last_sequence = replayed.last_sequence;
    entry.segment = replayed.segment;
    segment_log_.AddLiveMessage(replayed.segment, number);
    index_.UpdateSizes(*messages_.Find(number), entry);
  }
  replay_summary_ = RecoverySummary(report_.records, messages_.pending_count(), report_.unreadable_bytes);
}

void SegmentJournal::BeginEpoch() {
  const Format1Report format1 = MigrateFormat1();
  is_new_ = report_.records == 0 && format1.records == 0;
  InitializeManifest();
  reserve_.OpenExisting();
  id_log_.RemoveExpired(clock_.Now());
  disk_space_.SetIdLogBytes(id_log_.disk_bytes());
  StartFirstSegment();
  RewriteRecoveredMessages(format1);
  FinishRecovery();
  if (format1.found) {
    log_.Info("journal.migrated", {{"from", settings_.format1_path}, {"records", format1.records}});
  }
  if (format1.found || report_.is_damaged()) DropSegmentsWithoutLiveMessages();
  // The log of format 1 was migrated just now, or by an earlier process that ended before it removed the log.
  if (!settings_.format1_path.empty()) files_.Remove(settings_.format1_path);
  if (!GrowReserve(index_.future_bytes())) OnWriteError(ENOSPC, false);
  ScheduleWork();
}

Format1Report SegmentJournal::MigrateFormat1() {
  if (!report_.segments.empty() || settings_.format1_path.empty()) return {};
  const Format1Report format1 = ReadFormat1(files_, settings_.format1_path, messages_);
  segment_log_.manifest().migrating = format1.found;
  replay_summary_ = RecoverySummary(format1.records, messages_.pending_count(), format1.torn_bytes);
  return format1;
}

void SegmentJournal::InitializeManifest() {
  Manifest& manifest = segment_log_.manifest();
  if (manifest.salt == 0) {
    boost::random::mt19937_64 random(settings_.seed ^ static_cast<std::uint64_t>(clock_.Now().count()));
    manifest.salt = random() | 1;
    if (messages_.id_history().size() == 0) messages_.id_history().SetKey(manifest.salt);
  }
  if (!manifest.classes.empty() && manifest.classes != settings_.class_names) {
    // RewriteRecoveredMessages then writes all messages with their new class numbers.
    report_.incomplete_histories = RenumberClasses(messages_, manifest.classes, settings_.class_names, log_);
  }
  manifest.classes = settings_.class_names;
  manifest.node = settings_.node_name;
  manifest.epoch += 1;
}

void SegmentJournal::StartFirstSegment() {
  int error = StartSegment();
  while (error == ENOSPC && ReleaseReserve(DiskReserve::kStepBytes)) error = StartSegment();
  ThrowOnError(settings_.folder, error);
}

void SegmentJournal::RewriteRecoveredMessages(const Format1Report& format1) {
  const std::vector<std::uint64_t>& changed = report_.incomplete_histories;
  std::vector<std::uint64_t> numbers = changed;
  if (format1.found || report_.is_damaged()) {
    numbers.clear();
    for (const auto& [number, message] : messages_.messages()) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    const Message& message = *messages_.Find(number);
    LiveMessage& entry = index_.Insert(number);
    entry.ordinal += 1;
    const bool is_needed = format1.found || std::binary_search(changed.begin(), changed.end(), number);
    if (!WriteState(message, entry, {.is_copy = true}) && is_needed) {
      throw JournalError(settings_.folder, "the recovered messages could not be written to a new segment");
    }
    index_.UpdateSizes(message, entry);
  }
}

void SegmentJournal::FinishRecovery() {
  Manifest& manifest = segment_log_.manifest();
  if (manifest.unknown_from == 0 && !manifest.migrating) return;
  if (group_commit_.is_enabled()) ThrowOnError(settings_.folder, segment_log_.head_file()->Sync());
  manifest.unknown_from = 0;
  manifest.migrating = false;
  ThrowOnError(settings_.folder, segment_log_.SaveManifest());
}

void SegmentJournal::DropSegmentsWithoutLiveMessages() {
  while (segment_log_.segments().size() > 1 && segment_log_.oldest().live_messages == 0) {
    if (!DropOldestSegment()) return;
  }
}

}  // namespace sagetally
