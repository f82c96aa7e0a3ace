#include "cli/journal_commands.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/table.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/snapshot.h"

namespace sagetally {
namespace {

using Json = nlohmann::ordered_json;

std::string FolderOf(const std::string& given) {
  PosixFileSystem files;
  for (const std::string& folder : {given + "/journal", given}) {
    int error = 0;
    files.Open(folder + "/" + kManifestName, FileSystem::Mode::kRead, error);
    if (error == 0 || !ListSegments(files, folder).empty()) return folder;
  }
  throw std::runtime_error(given + ": expected a state folder, a journal or a snapshot of one");
}

const char* EndName(const Message& m) {
  switch (m.final_status) {
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

std::string ClassName(const Manifest& manifest, int number) {
  const auto at = static_cast<std::size_t>(number);
  return at < manifest.classes.size() ? manifest.classes[at] : std::to_string(number);
}

Json StatsOf(const ReplayReport& r, const MessageTable& ledger) {
  std::uint64_t missing = 0;
  for (const MissingRecords& m : r.missing) missing += m.to - m.from;
  std::uint64_t owed = 0, live = 0;
  for (const auto& [number, m] : ledger.messages()) {
    owed += m.notification_pending ? 1 : 0;
    live += MaxLiveBytes(m);
  }
  return {{"node", r.manifest.node},
          {"format", kJournalFormat},
          {"epoch", r.manifest.epoch},
          {"segments", r.segments.size()},
          {"bytes", r.bytes},
          {"records", r.records},
          {"next_sequence", r.next_sequence},
          {"held", ledger.pending_count()},
          {"notices_owed", owed},
          {"remembered", ledger.size() - static_cast<std::size_t>(ledger.pending_count())},
          {"live_bytes", live},
          {"unreadable_bytes", r.unreadable_bytes},
          {"missing_records", missing},
          {"rejected_records", r.invalid_records},
          {"messages_lost", r.lost_messages},
          {"manifest_lost", r.manifest_lost},
          {"may_have_run", r.incomplete_histories.size()},
          {"damaged", r.is_damaged()}};
}

void PrintObject(const Json& object, std::ostream& out) {
  Table table({"what", "value"});
  for (const auto& [key, value] : object.items()) {
    table.Add({key, value.is_string() ? value.get<std::string>() : value.dump()});
  }
  table.Print(out);
}

int Verify(const JournalOptions& o, const ReplayReport& r, const MessageTable& ledger, std::ostream& out) {
  if (o.as_json) {
    out << StatsOf(r, ledger).dump() << "\n";
    return r.is_damaged() ? 1 : 0;
  }
  for (const SegmentReport& s : r.segments) {
    const std::string name = SegmentName(s.number);
    if (s.missing) out << name << ": missing\n";
    if (s.header_missing && !s.missing) out << name << ": its header can't be read\n";
    for (const UnreadableRange& u : s.unreadable) {
      out << name << ": " << u.bytes << " bytes at " << u.offset << " can't be read\n";
    }
  }
  for (const MissingRecords& m : r.missing) {
    out << "records " << m.from << " to " << m.to - 1 << " are missing\n";
  }
  if (r.manifest_lost) out << kManifestName << ": can't be read; the segments' headers were used\n";
  if (r.invalid_records > 0) out << r.invalid_records << " records can't be read\n";
  if (r.lost_messages > 0) out << r.lost_messages << " messages are lost\n";
  out << (r.is_damaged() ? "damaged" : "sound") << ": " << r.segments.size() << " segments, " << r.records
      << " records, " << ledger.pending_count() << " messages held";
  if (!r.is_damaged() && r.unreadable_bytes > 0) out << ", " << r.unreadable_bytes << " torn bytes";
  out << "\n";
  return r.is_damaged() ? 1 : 0;
}

void Show(const JournalOptions& o, const ReplayReport& r, const MessageTable& ledger, std::ostream& out) {
  Table table({"number", "id", "class", "to", "state", "attempts", "may have run", "deadline"});
  int shown = 0, left = 0;
  for (const auto& [number, m] : ledger.messages()) {
    if (!o.all && m.final_status != FinalStatus::kPending && !m.notification_pending) continue;
    if (shown == o.limit) {
      ++left;
      continue;
    }
    ++shown;
    const std::string cls = ClassName(r.manifest, m.request.message_class);
    if (o.as_json) {
      out << Json{{"number", number},
                  {"id", m.request.id},
                  {"class", cls},
                  {"destination", m.request.destination},
                  {"state", EndName(m)},
                  {"notice_owed", m.notification_pending},
                  {"attempts", m.attempts},
                  {"may_have_run", m.first_uncertain_attempt.has_value()},
                  {"deadline_us", m.deadline.count()},
                  {"body_bytes", m.request.body.size()}}
                 .dump(-1, ' ', false, Json::error_handler_t::replace)
          << "\n";
      continue;
    }
    table.Add({std::to_string(number), m.request.id, cls, std::to_string(m.request.destination), EndName(m),
               std::to_string(m.attempts), m.first_uncertain_attempt ? "yes" : "no",
               TimeText(m.deadline.count())});
  }
  if (o.as_json) return;
  table.Print(out);
  if (left > 0) out << left << " more (--limit)\n";
}

int Read(const JournalOptions& o, std::ostream& out) {
  PosixFileSystem files;
  MessageTable ledger;
  const ReplayReport report = ReplayLive(files, FolderOf(o.state), ledger);
  if (o.command == "verify") return Verify(o, report, ledger, out);
  if (o.command == "show") return Show(o, report, ledger, out), 0;
  const Json stats = StatsOf(report, ledger);
  if (o.as_json) {
    out << stats.dump() << "\n";
  } else {
    PrintObject(stats, out);
  }
  return 0;
}

void Told(const JournalOptions& o, const char* what, const std::string& where, const SnapshotResult& copied,
          std::ostream& out) {
  if (o.as_json) {
    out << Json{{what, where},
                {"segments", copied.segments},
                {"bytes", copied.bytes},
                {"node", copied.manifest.node},
                {"epoch", copied.manifest.epoch}}
               .dump()
        << "\n";
    return;
  }
  out << what << ": " << where << ", " << copied.segments << " segments, "
      << SizeText(static_cast<std::int64_t>(copied.bytes)) << ", node " << copied.manifest.node << ", epoch "
      << copied.manifest.epoch << "\n";
}

}  // namespace

int RunJournalCommand(const JournalOptions& o, std::ostream& out) {
  PosixFileSystem files;
  if (o.command == "snapshot") {
    Told(o, "snapshot", o.output, WriteSnapshot(files, FolderOf(o.state), o.output), out);
    return 0;
  }
  if (o.command == "restore") {
    files.MakeFolder(o.state);
    const SnapshotResult copied =
        RestoreSnapshot(files, FolderOf(o.snapshot), o.state + "/journal",
                        {.replace = o.replace, .exact = o.exact, .allow_damaged = o.damaged});
    Told(o, "restored", o.state, copied, out);
    return 0;
  }
  return Read(o, out);
}

}  // namespace sagetally
