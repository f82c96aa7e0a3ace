#include "cli/journal_commands.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "base/utf8.h"
#include "cli/table.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/snapshot.h"

namespace sagetally {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kExitDamaged = 1;

// Returns the journal's folder. `path` is a state folder, a journal's folder or a snapshot of one of these.
// Throws std::runtime_error if there is no journal.
std::string FindJournalFolder(const std::string& path) {
  PosixFileSystem files;
  for (const std::string& folder : {path + "/journal", path}) {
    int error = 0;
    files.Open(folder + "/" + kManifestName, FileSystem::Mode::kRead, error);
    if (error == 0 || !ListSegments(files, folder).empty()) return folder;
  }
  throw std::runtime_error(path + ": expected a state folder, a journal or a snapshot of one");
}

// Operators' scripts parse the output, so its names and fields are stable and differ from those of the code.
const char* FinalStatusName(const Message& message) {
  switch (message.final_status) {
    case FinalStatus::kPending:
      return "held";
    case FinalStatus::kDelivered:
      return "delivered";
    case FinalStatus::kFailed:
      return "undeliverable";
    case FinalStatus::kRejected:
      return "deferred";
    case FinalStatus::kExpired:
      return "over";
  }
  return "?";
}

// Returns the name of a class, or its number as text if the manifest doesn't have the class.
std::string ClassName(const Manifest& manifest, int number) {
  const auto index = static_cast<std::size_t>(number);
  return index < manifest.classes.size() ? manifest.classes[index] : std::to_string(number);
}

std::uint64_t CountMissingRecords(const ReplayReport& report) {
  std::uint64_t count = 0;
  for (const MissingRecords& missing : report.missing) count += missing.to - missing.from;
  return count;
}

Json MakeStats(const ReplayReport& report, const MessageTable& messages) {
  std::uint64_t pending_notifications = 0;
  std::uint64_t live_bytes = 0;
  for (const auto& [number, message] : messages.messages()) {
    pending_notifications += message.notification_pending ? 1 : 0;
    live_bytes += MaxLiveBytes(message);
  }
  return {{"node", report.manifest.node},
          {"format", kJournalFormat},
          {"epoch", report.manifest.epoch},
          {"segments", report.segments.size()},
          {"bytes", report.bytes},
          {"records", report.records},
          {"next_sequence", report.next_sequence},
          {"held", messages.pending_count()},
          {"notices_owed", pending_notifications},
          {"remembered", messages.size() - static_cast<std::size_t>(messages.pending_count())},
          {"live_bytes", live_bytes},
          {"unreadable_bytes", report.unreadable_bytes},
          {"missing_records", CountMissingRecords(report)},
          {"rejected_records", report.invalid_records},
          {"messages_lost", report.lost_messages},
          {"manifest_lost", report.manifest_lost},
          {"may_have_run", report.incomplete_histories.size()},
          {"damaged", report.is_damaged()}};
}

void PrintAsTable(const Json& object, std::ostream& out) {
  Table table({"what", "value"});
  for (const auto& [key, value] : object.items()) {
    table.Add({key, value.is_string() ? value.get<std::string>() : value.dump()});
  }
  table.Print(out);
}

void PrintStats(const JournalOptions& options, const ReplayReport& report, const MessageTable& messages,
                std::ostream& out) {
  const Json stats = MakeStats(report, messages);
  if (options.as_json) {
    out << stats.dump() << "\n";
  } else {
    PrintAsTable(stats, out);
  }
}

void PrintSegmentProblems(const SegmentReport& segment, std::ostream& out) {
  const std::string name = SegmentName(segment.number);
  if (segment.missing) out << name << ": missing\n";
  if (segment.header_missing && !segment.missing) out << name << ": its header can't be read\n";
  for (const UnreadableRange& range : segment.unreadable) {
    out << name << ": " << range.bytes << " bytes at " << range.offset << " can't be read\n";
  }
}

void PrintProblems(const ReplayReport& report, std::ostream& out) {
  for (const SegmentReport& segment : report.segments) PrintSegmentProblems(segment, out);
  for (const MissingRecords& missing : report.missing) {
    out << "records " << missing.from << " to " << missing.to - 1 << " are missing\n";
  }
  if (report.manifest_lost) out << kManifestName << ": can't be read; the segments' headers were used\n";
  if (report.invalid_records > 0) out << report.invalid_records << " records can't be read\n";
  if (report.lost_messages > 0) out << report.lost_messages << " messages are lost\n";
}

int VerifyJournal(const JournalOptions& options, const ReplayReport& report, const MessageTable& messages,
                  std::ostream& out) {
  const int exit_code = report.is_damaged() ? kExitDamaged : 0;
  if (options.as_json) {
    out << MakeStats(report, messages).dump() << "\n";
    return exit_code;
  }
  PrintProblems(report, out);
  out << (report.is_damaged() ? "damaged" : "sound") << ": " << report.segments.size() << " segments, "
      << report.records << " records, " << messages.pending_count() << " messages held";
  if (!report.is_damaged() && report.unreadable_bytes > 0) {
    out << ", " << report.unreadable_bytes << " torn bytes";
  }
  out << "\n";
  return exit_code;
}

std::string MessageAsJson(std::uint64_t number, const Message& message, const std::string& class_name) {
  const Json json = {{"number", number},
                     {"id", message.request.id},
                     {"class", class_name},
                     {"destination", message.request.destination},
                     {"state", FinalStatusName(message)},
                     {"notice_owed", message.notification_pending},
                     {"attempts", message.attempts},
                     {"may_have_run", message.first_uncertain_attempt.has_value()},
                     {"deadline_us", message.deadline.count()},
                     {"body_bytes", message.request.body.size()}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void AddRow(Table& table, std::uint64_t number, const Message& message, const std::string& class_name) {
  table.Add({std::to_string(number), ReplaceInvalidUtf8(message.request.id), class_name,
             std::to_string(message.request.destination), FinalStatusName(message),
             std::to_string(message.attempts), message.first_uncertain_attempt ? "yes" : "no",
             FormatTime(message.deadline.count())});
}

bool IsShown(const JournalOptions& options, const Message& message) {
  return options.all || message.final_status == FinalStatus::kPending || message.notification_pending;
}

void ShowMessages(const JournalOptions& options, const ReplayReport& report, const MessageTable& messages,
                  std::ostream& out) {
  Table table({"number", "id", "class", "to", "state", "attempts", "may have run", "deadline"});
  int shown = 0;
  int omitted = 0;
  for (const auto& [number, message] : messages.messages()) {
    if (!IsShown(options, message)) continue;
    if (shown == options.limit) {
      ++omitted;
      continue;
    }
    ++shown;
    const std::string class_name = ClassName(report.manifest, message.request.message_class);
    if (options.as_json) {
      out << MessageAsJson(number, message, class_name) << "\n";
    } else {
      AddRow(table, number, message, class_name);
    }
  }
  if (options.as_json) return;
  table.Print(out);
  if (omitted > 0) out << omitted << " more (--limit)\n";
}

struct CopyDescription {
  const char* label;   // "snapshot" or "restored"; also the name of the field in JSON
  std::string folder;  // the folder that was written
};

void PrintCopy(const JournalOptions& options, const CopyDescription& copy, const SnapshotResult& result,
               std::ostream& out) {
  if (options.as_json) {
    const Json json = {{copy.label, copy.folder},
                       {"segments", result.segments},
                       {"bytes", result.bytes},
                       {"node", result.manifest.node},
                       {"epoch", result.manifest.epoch}};
    out << json.dump() << "\n";
    return;
  }
  out << copy.label << ": " << copy.folder << ", " << result.segments << " segments, "
      << FormatSize(static_cast<std::int64_t>(result.bytes)) << ", node " << result.manifest.node
      << ", epoch " << result.manifest.epoch << "\n";
}

void TakeSnapshot(const JournalOptions& options, std::ostream& out) {
  PosixFileSystem files;
  const SnapshotResult result = WriteSnapshot(files, FindJournalFolder(options.state), options.output);
  PrintCopy(options, {"snapshot", options.output}, result, out);
}

void RestoreJournal(const JournalOptions& options, std::ostream& out) {
  PosixFileSystem files;
  files.MakeFolder(options.state);
  const SnapshotResult result =
      RestoreSnapshot(files, FindJournalFolder(options.snapshot), options.state + "/journal",
                      {.replace = options.replace, .exact = options.exact, .allow_damaged = options.damaged});
  PrintCopy(options, {"restored", options.state}, result, out);
}

int ReadJournal(const JournalOptions& options, std::ostream& out) {
  PosixFileSystem files;
  MessageTable messages;
  const ReplayReport report = ReplayLive(files, FindJournalFolder(options.state), messages);
  switch (options.command.value()) {
    case JournalCommand::kVerify:
      return VerifyJournal(options, report, messages, out);
    case JournalCommand::kShow:
      ShowMessages(options, report, messages, out);
      return 0;
    default:
      PrintStats(options, report, messages, out);
      return 0;
  }
}

}  // namespace

int RunJournalCommand(const JournalOptions& options, std::ostream& out) {
  switch (options.command.value()) {
    case JournalCommand::kSnapshot:
      TakeSnapshot(options, out);
      return 0;
    case JournalCommand::kRestore:
      RestoreJournal(options, out);
      return 0;
    default:
      return ReadJournal(options, out);
  }
}

}  // namespace sagetally
