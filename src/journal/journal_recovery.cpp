#include "journal/journal_recovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>

namespace sagetally {
namespace {

constexpr char kQuarantinePrefix[] = "quarantine-";
// One recovery quarantines at most this many bytes, or the disk budget divided by kQuarantineBudgetDivisor if
// that is more.
constexpr std::uint64_t kMinQuarantineBytes = 64 * 1024;
constexpr std::uint64_t kQuarantineBudgetDivisor = 20;

struct UnreadableBytes {
  std::string file_name;  // name of the quarantine file
  std::string bytes;
};

// Recovers one journal, once.
class JournalRecovery {
 public:
  JournalRecovery(FileSystem& files, const JournalSettings& settings, MessageTable& messages, Logger& log)
      : files_(files), settings_(settings), messages_(messages), log_(log) {}

  RecoveredJournal Run() {
    DiscardUnfinishedMigration();
    RecordApplier applier(messages_);
    recovered_.report = Replay(
        files_, settings_.folder, applier,
        {.on_unreadable = [this](std::uint64_t segment, const UnreadableRange& range,
                                 std::string_view bytes) { CollectUnreadable(segment, range, bytes); }});
    recovered_.replayed_messages = applier.replayed_messages();
    CleanUpFolder();
    if (recovered_.report.is_damaged()) {
      LogDamage();
      for (const UnreadableBytes& unreadable : unreadable_) Quarantine(unreadable);
    }
    return std::move(recovered_);
  }

 private:
  std::string PathOf(const std::string& name) const { return settings_.folder + "/" + name; }

  // If an earlier process ended while it migrated a log of format 1, removes the files that it had written.
  // The log itself is still complete, and the migration begins anew.
  void DiscardUnfinishedMigration() {
    const ManifestFile read = ReadManifestFile(files_, settings_.folder);
    const bool has_no_manifest = !read.manifest && read.error == ENOENT;
    const bool has_format1_log =
        !settings_.format1_path.empty() && files_.Open(settings_.format1_path, FileSystem::Mode::kRead).ok();
    const bool is_migrating = read.manifest && read.manifest->migrating;
    if (!is_migrating && !(has_no_manifest && has_format1_log)) return;
    for (const std::uint64_t number : ListSegments(files_, settings_.folder)) {
      files_.Remove(PathOf(SegmentName(number)));
    }
    files_.Remove(PathOf(kManifestName));
  }

  // Copies bytes for a quarantine file, unless they exceed the limit.
  void CollectUnreadable(std::uint64_t segment, const UnreadableRange& range, std::string_view bytes) {
    const std::uint64_t limit =
        std::max(kMinQuarantineBytes, settings_.disk_budget / kQuarantineBudgetDivisor);
    if (unreadable_size_ + bytes.size() > limit) return;
    unreadable_size_ += bytes.size();
    unreadable_.push_back(
        {fmt::format("{}{}-{}", kQuarantinePrefix, segment, range.offset), std::string(bytes)});
  }

  // Removes segments that a process had created but not yet added to the manifest, or dropped from the
  // manifest but not yet removed, and an unfinished next manifest. Also counts the disk space of quarantine
  // files.
  void CleanUpFolder() {
    const ReplayReport& report = recovered_.report;
    for (const std::string& name : files_.List(settings_.folder).value) {
      const auto number = SegmentNumber(name);
      const bool is_in_manifest =
          number && *number >= report.manifest.oldest && *number <= report.manifest.newest;
      const bool is_leftover_segment = number && !is_in_manifest && !report.segments.empty();
      if (is_leftover_segment || name == kNextManifestName) {
        files_.Remove(PathOf(name));
      } else if (name.starts_with(kQuarantinePrefix)) {
        const auto opened = files_.Open(PathOf(name), FileSystem::Mode::kRead);
        if (opened.ok()) recovered_.quarantine_disk_bytes += DiskBlocks(opened.value->Size().value);
      }
    }
  }

  void LogDamage() {
    const ReplayReport& report = recovered_.report;
    std::uint64_t missing = 0;
    for (const MissingRecords& range : report.missing) missing += range.to - range.from;
    log_.Error("journal.damaged", {{"folder", settings_.folder},
                                   {"missing_records", missing},
                                   {"unreadable_bytes", report.unreadable_bytes},
                                   {"invalid_records", report.invalid_records},
                                   {"manifest_lost", report.manifest_lost},
                                   {"lost_messages", report.lost_messages},
                                   {"uncertain_messages", report.incomplete_histories.size()}});
  }

  void Quarantine(const UnreadableBytes& unreadable) {
    const std::string path = PathOf(unreadable.file_name);
    if (files_.Open(path, FileSystem::Mode::kRead).ok()) return;  // an earlier recovery has written the file
    const auto created = files_.Open(path, FileSystem::Mode::kCreate);
    const int error = created.ok() ? WriteAll(*created.value, unreadable.bytes).error : created.error;
    if (error != 0) {
      log_.Warn("journal.quarantine_failed", {{"file", unreadable.file_name}, {"error", ErrorText(error)}});
      return;
    }
    recovered_.quarantine_disk_bytes += DiskBlocks(unreadable.bytes.size());
    log_.Warn("journal.quarantined", {{"file", path}, {"bytes", unreadable.bytes.size()}});
  }

  FileSystem& files_;
  const JournalSettings& settings_;
  MessageTable& messages_;
  Logger& log_;
  RecoveredJournal recovered_;
  std::vector<UnreadableBytes> unreadable_;
  std::uint64_t unreadable_size_ = 0;
};

}  // namespace

RecoveredJournal RecoverJournal(FileSystem& files, const JournalSettings& settings, MessageTable& messages,
                                Logger& log) {
  return JournalRecovery(files, settings, messages, log).Run();
}

std::string RecoverySummary(std::uint64_t records, int pending_messages, std::uint64_t torn_bytes) {
  std::string note = fmt::format("{} records read, {} messages pending", records, pending_messages);
  if (torn_bytes > 0) note += fmt::format(", discarded {} torn bytes", torn_bytes);
  return note;
}

std::vector<std::uint64_t> RenumberClasses(MessageTable& messages,
                                           const std::vector<std::string>& old_classes,
                                           const std::vector<std::string>& new_classes, Logger& log) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, message] : messages.messages()) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    Message& message = *messages.Find(number);
    const auto old_class = static_cast<std::size_t>(message.request.message_class);
    const auto new_class = old_class < old_classes.size()
                               ? std::find(new_classes.begin(), new_classes.end(), old_classes[old_class])
                               : new_classes.end();
    if (new_class != new_classes.end()) {
      message.request.message_class = static_cast<int>(new_class - new_classes.begin());
      continue;
    }
    // The class is no longer configured, so the message can't be sent, but its client still has to be
    // notified.
    message.request.message_class = kUnknownClass;
    if (message.final_status == FinalStatus::kPending) {
      log.Warn("journal.class_removed", {{"number", number}, {"id", message.request.id}});
    }
  }
  return numbers;
}

}  // namespace sagetally
