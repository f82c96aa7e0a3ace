// Writes the golden data in this folder by driving the service's own code with a fixed clock: journals of
// both formats, a snapshot, a dead-letter database, the packets of a process handover, and a page of metrics,
// each with the values that a reader must find, in expected/*.json. README.md describes the files. This
// generator compiles only against the older program that README.md names, and is kept as a record of how the
// data was made.
//
// Usage: make_golden OUTPUT_FOLDER. The folder must exist and hold none of the files.
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>
#include <zlib.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "app/handover_node.h"
#include "handover/state.h"
#include "kept/judge.h"
#include "kept/keeper.h"
#include "kept/rules.h"
#include "kept/storage/database.h"
#include "operate/figures.h"
#include "operate/readiness.h"
#include "store/bytes.h"
#include "store/fs/faulty.h"
#include "store/fs/real.h"
#include "store/journal.h"
#include "store/legacy.h"
#include "store/segment.h"
#include "store/snapshot.h"

namespace sagetally {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{1'700'000'000'000'000};
constexpr std::uint64_t kBoot = 9;
constexpr std::uint64_t kRulesHash = 1234;
const std::string kRefusal = "the journal can't be written";
constexpr int kOutcomes = 8;
constexpr int kReasons = 9;  // number of failure reasons, not counting "none"
const std::vector<std::string> kClasses = {"aviso", "pedido", "pagamento"};
const std::string kBinaryBody("\x00\x01\xff\"\n body with \xc3\xa9", 18);

// Throws if `condition` is false, because the data made would not be what the golden files have to hold.
void Require(bool condition, const char* what) {
  if (!condition) throw std::runtime_error(std::string("not as expected: ") + what);
}

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

void WriteFile(const fs::path& path, std::string_view bytes) {
  fs::create_directories(path.parent_path());
  std::ofstream(path, std::ios::binary) << bytes;
}

std::string Hex(std::string_view bytes) {
  std::string hex;
  for (const char byte : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(byte));
    hex += digits;
  }
  return hex;
}

// Appends `value` as JSON text. The outer kOpenLevels levels are written with one entry per line, and deeper
// values and the elements of arrays on one line each.
constexpr int kOpenLevels = 2;
void AppendLines(const Json& value, int level, std::string& text) {
  const bool is_open = value.is_structured() && !value.empty() && level < kOpenLevels;
  if (!is_open) {
    text += value.dump();
    return;
  }
  const std::string indent(static_cast<std::size_t>(level) + 1, ' ');
  text += value.is_array() ? "[" : "{";
  bool is_first = true;
  for (const auto& [key, entry] : value.items()) {
    text += (is_first ? "\n" : ",\n") + indent;
    is_first = false;
    if (value.is_array()) {
      text += entry.dump();
    } else {
      text += Json(key).dump() + ": ";
      AppendLines(entry, level + 1, text);
    }
  }
  text += "\n" + indent.substr(1) + (value.is_array() ? "]" : "}");
}

void WriteJson(const fs::path& path, const Json& value) {
  std::string text;
  AppendLines(value, 0, text);
  WriteFile(path, text + "\n");
}

// ---- Conversion of values to JSON, under the names that the operators' commands print.

Json ToJson(const Moment& moment) {
  return {{"wall_us", moment.wall.count()}, {"steady_us", moment.steady.count()}, {"boot", moment.boot}};
}

Json ToJson(const std::vector<AttemptNote>& history) {
  Json list = Json::array();
  for (const AttemptNote& note : history) {
    list.push_back({{"sent", ToJson(note.sent)},
                    {"endpoint", note.endpoint},
                    {"outcome", note.outcome ? Json(kept::Name(*note.outcome)) : Json(nullptr)},
                    {"told_wait_us", note.told_wait.count()}});
  }
  return list;
}

Json ToJson(const Message& m) {
  const Request& request = m.request;
  return {{"number", m.number},
          {"id", request.id},
          {"class_number", request.message_class},
          {"destination", request.destination},
          {"deadline_us", m.deadline.count()},
          {"key", request.key},
          {"body_hex", Hex(request.body)},
          {"form", request.form == Form::kEvent ? "event" : "plain"},
          {"attributes", request.attributes},
          {"attempts", m.attempts},
          {"out", m.out},
          {"out_since_us", m.out_since.count()},
          {"out_at", m.out_at},
          {"may_have_run_us", m.may_have_run ? Json(m.may_have_run->count()) : Json(nullptr)},
          {"may_have_run_at", m.may_have_run_at},
          {"end", kept::Name(m.end)},
          {"again_us", m.again.count()},
          {"ended_us", m.ended_at.count()},
          {"notice_owed", m.notice_owed},
          {"taken_us", m.taken_at.count()},
          {"reason", kept::Name(m.reason)},
          {"kept_owed", m.kept_owed},
          {"kept_as", m.kept_as},
          {"kept_life", m.kept_life},
          {"kept_node", m.kept_node},
          {"history", ToJson(m.history)}};
}

Json ToJson(const Ledger& ledger) {
  Json list = Json::array();
  for (const auto& [number, message] : ledger.messages()) list.push_back(ToJson(message));
  return list;
}

Json ToJson(const Manifest& manifest) {
  return {{"node", manifest.node},
          {"epoch", manifest.epoch},
          {"oldest", manifest.oldest},
          {"newest", manifest.newest},
          {"unknown_from", manifest.unknown_from},
          {"migrating", manifest.migrating},
          {"salt", manifest.salt},
          {"classes", manifest.classes},
          {"written", ToJson(manifest.written)}};
}

Json ToJson(const ReplayReport& report) {
  Json segments = Json::array();
  for (const SegmentReport& segment : report.segments) {
    Json unreadable = Json::array();
    for (const Unreadable& part : segment.unreadable) {
      unreadable.push_back({{"offset", part.offset}, {"bytes", part.bytes}});
    }
    segments.push_back({{"number", segment.number},
                        {"epoch", segment.epoch},
                        {"bytes", segment.bytes},
                        {"frames", segment.frames},
                        {"missing", segment.missing},
                        {"no_header", segment.no_header},
                        {"unreadable", unreadable}});
  }
  Json missing = Json::array();
  for (const MissingRecords& gap : report.missing) missing.push_back({{"from", gap.from}, {"to", gap.to}});
  return {{"manifest", ToJson(report.manifest)},
          {"manifest_lost", report.manifest_lost},
          {"segments", segments},
          {"records", report.records},
          {"bytes", report.bytes},
          {"unreadable_bytes", report.unreadable_bytes},
          {"missing_records", missing},
          {"rejected_records", report.rejected},
          {"next_sequence", report.next_sequence},
          {"may_have_run", report.suspects},
          {"messages_lost", report.lost},
          {"last_moment", ToJson(report.last_moment)},
          {"damaged", report.damaged()}};
}

// ---- The journal.

struct FixedClock : Clock {
  Time Now() const override { return now; }
  Moment Stamp() const override { return {now, now - kStart + seconds(1000), kBoot}; }
  Time now = kStart;
};

// Simulates one process that writes a journal to an in-memory disk.
class JournalWriter : public JournalHost {
 public:
  JournalWriter(FaultyFileSystem& disk, FixedClock& clock, const JournalSettings& settings)
      : clock_(clock), journal_(disk, settings, ledger_, clock, log_, *this) {}

  void TurnAfter(Duration d) override { due_ = clock_.now + d; }
  void Progress() override {}
  void Sync(std::shared_ptr<File> file, std::function<void(int)> done) override { done(file->Sync()); }
  void Fenced() override { throw std::runtime_error("fenced"); }

  void Pass(Duration d) {
    const Time until = clock_.now + d;
    while (due_ <= until) {
      clock_.now = std::max(clock_.now, due_);
      due_ = Time::max();
      journal_.Turn();
    }
    clock_.now = until;
  }

  Message New(const std::string& id, int message_class = 0) const {
    Message m;
    m.request.id = id;
    m.request.message_class = message_class;
    m.request.destination = 7;
    m.request.key = "key-" + id;
    m.request.body = "body of " + id;
    m.deadline = clock_.now + seconds(20);
    m.taken_at = clock_.now;
    return m;
  }
  Message& Accept(Message message) {
    Message& added = ledger_.Add(std::move(message));
    const Message* one[] = {&added};
    Require(journal_.Taken(one), "the journal has room for a message");
    return added;
  }
  void AcceptBatch(std::vector<Message> messages) {
    std::vector<const Message*> added;
    for (Message& message : messages) added.push_back(&ledger_.Add(std::move(message)));
    Require(journal_.Taken(added), "the journal has room for a batch");
  }
  // With `recorded`, the attempt is added to the message's history, as it is where undeliverable messages are
  // dead-lettered. Without it, no history is written.
  void StartAttempt(Message& m, const std::string& endpoint, bool recorded = true) {
    m.out = true;
    m.attempts += 1;
    m.out_since = clock_.now;
    m.out_at = endpoint;
    if (recorded) m.history.push_back({clock_.Stamp(), endpoint, {}, Duration(0)});
    journal_.Attempted(m);
    Pass(milliseconds(3));
  }
  void FinishAttempt(Message& m, Outcome outcome, Duration told_wait = Duration(0)) {
    m.out = false;
    if (MayHaveRun(outcome)) NoteMayHaveRun(m);
    if (!m.history.empty()) {
      m.history.back().outcome = outcome;
      m.history.back().told_wait = told_wait;
    }
    journal_.Outcame(m, outcome);
    Pass(milliseconds(2));
  }
  void Complete(Message& m, End end, Reason reason = Reason::kNone, bool kept_owed = false,
                Duration again = Duration(0)) {
    m.reason = reason;
    m.kept_owed = kept_owed;
    ledger_.End(m, end, again, clock_.now);
    journal_.Ended(m);
    ledger_.Settle(m);
  }
  // Delivers the message with one successful attempt.
  void Deliver(Message& m) {
    StartAttempt(m, "s-1");
    m.out = false;
    m.history.back().outcome = Outcome::kOk;
    Complete(m, End::kDelivered);
  }
  void Notified(Message& m) {
    m.notice_owed = false;
    journal_.Told(m);
    ledger_.Settle(m);
  }
  void DeadLettered(Message& m) {
    journal_.Kept(m);
    ledger_.Kept(m);
  }
  Message* Find(std::uint64_t number) { return ledger_.Find(number); }
  const SegmentJournal& journal() const { return journal_; }

 private:
  FixedClock& clock_;
  Logger log_{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  Ledger ledger_;
  Time due_ = Time::max();
  SegmentJournal journal_;
};

JournalSettings SmallJournal() {
  JournalSettings settings;
  settings.folder = "/state/journal";
  settings.node = "n0";
  settings.budget = 56'000;
  settings.segment_bytes = 4'096;
  settings.classes = kClasses;
  return settings;
}

// Keeps a few old messages pending while newer ones are delivered, until the journal has copied states out of
// old segments and dropped segments.
std::vector<std::uint64_t> WriteFirstEpoch(FaultyFileSystem& disk, FixedClock& clock) {
  JournalWriter writer(disk, clock, SmallJournal());
  std::vector<std::uint64_t> old;
  for (int i = 0; i < 3; ++i) {
    Message& m = writer.Accept(writer.New("old-" + std::to_string(i), i));
    old.push_back(m.number);
    writer.StartAttempt(m, "s-0");
    writer.FinishAttempt(m, Outcome::kConnectFailed);
  }
  for (int i = 0; i < 70; ++i) {
    Message m = writer.New("passing-" + std::to_string(i), i % 3);
    m.request.body = std::string(500, static_cast<char>('a' + i % 26));
    writer.Deliver(writer.Accept(std::move(m)));
    writer.Pass(milliseconds(5));
  }
  Require(writer.journal().counters().drops > 0, "segments were dropped");
  Require(writer.journal().counters().copied > 0, "states were copied");
  return old;
}

// Writes messages that each complete in a different way.
void WriteEnds(JournalWriter& writer) {
  for (int i = 1; i <= kReasons; ++i) {
    Message& m = writer.Accept(writer.New("reason-" + std::to_string(i), i % 3));
    writer.StartAttempt(m, "s-" + std::to_string(i));
    writer.FinishAttempt(m, Outcome::kError);
    writer.Complete(m, End::kFailed, static_cast<Reason>(i), true);
  }
  Message& deferred = writer.Accept(writer.New("deferred"));
  writer.Complete(deferred, End::kRefused, Reason::kShed, false, milliseconds(1500));
  Message& notified = writer.Accept(writer.New("notified-not-kept"));
  writer.Complete(notified, End::kFailed, Reason::kOutOfTimeUnsent, true);
  writer.Notified(notified);
  Message& kept = writer.Accept(writer.New("kept-not-notified"));
  writer.Complete(kept, End::kFailed, Reason::kOutOfTimeUnsent, true);
  writer.DeadLettered(kept);
  Message& over = writer.Accept(writer.New("over-and-gone"));
  writer.Complete(over, End::kOver);
  Message& both = writer.Accept(writer.New("notified-and-kept"));
  writer.Complete(both, End::kFailed, Reason::kOutOfTimeUnsent, true);
  writer.Notified(both);
  writer.DeadLettered(both);
  Message& ended_out = writer.Accept(writer.New("ended-with-its-call-out"));
  writer.StartAttempt(ended_out, "s-4");
  writer.Complete(ended_out, End::kFailed, Reason::kOutOfTimeAfterCalls, true);
}

// Accepts a batch of events. Unlike other messages, events are remembered after their completion.
void WriteEvents(JournalWriter& writer) {
  std::vector<Message> batch;
  for (int i = 0; i < 4; ++i) {
    Message m = writer.New("event-" + std::to_string(i), i % 3);
    m.request.form = Form::kEvent;
    m.request.attributes = {{"source", "/golden"}, {"type", "order.\xc3\xa9"}, {"id", m.request.id}};
    batch.push_back(std::move(m));
  }
  writer.AcceptBatch(std::move(batch));
}

void EndEvents(JournalWriter& writer, std::uint64_t first) {
  writer.Deliver(*writer.Find(first));
  writer.Complete(*writer.Find(first + 1), End::kFailed, Reason::kOutOfTimeUnsent);
  writer.Notified(*writer.Find(first + 1));
  writer.Complete(*writer.Find(first + 2), End::kRefused, Reason::kShed, false, seconds(3));
}

void WriteHeld(JournalWriter& writer) {
  Message every = writer.New("every-outcome", 1);
  every.request.body = kBinaryBody;
  Message& attempted = writer.Accept(std::move(every));
  for (int i = 1; i < kOutcomes; ++i) {
    const auto outcome = static_cast<Outcome>(i);
    writer.StartAttempt(attempted, "s-" + std::to_string(i));
    writer.FinishAttempt(attempted, outcome, outcome == Outcome::kFull ? milliseconds(250) : Duration(0));
  }
  writer.StartAttempt(writer.Accept(writer.New("call-out", 2)), "s-9");
  Message& twice = writer.Accept(writer.New("without-history", 2));
  writer.StartAttempt(twice, "s-2", false);
  writer.FinishAttempt(twice, Outcome::kTimeout);
  writer.StartAttempt(twice, "s-3", false);
  Message again = writer.New("redriven", 1);
  again.kept_as = 41;
  again.kept_life = 2;
  again.kept_node = "n1";
  again.attempts = 1;
  again.history = {{{kStart - seconds(5), seconds(995), kBoot}, "s-8", Outcome::kReset, Duration(0)}};
  again.may_have_run = kStart - seconds(5);
  again.may_have_run_at = "s-8";
  writer.Accept(std::move(again));
}

// Fills the disk, so that the completion of one message and the attempt of another cannot be written until
// the disk has room again.
void WriteAfterFullDisk(JournalWriter& writer, FaultyFileSystem& disk) {
  Message& gone = writer.Accept(writer.New("gone"));
  Message& rewritten = writer.Accept(writer.New("written-anew"));
  disk.plan = [](std::uint64_t, std::string_view what) {
    const bool fails = what == "append";
    return FaultyFileSystem::Step{fails ? FaultyFileSystem::Fault::kError : FaultyFileSystem::Fault::kNone,
                                  fails ? ENOSPC : 0};
  };
  writer.Complete(gone, End::kOver);
  writer.StartAttempt(rewritten, "s-5");
  disk.plan = nullptr;
  writer.Pass(seconds(5));
  Require(writer.journal().writable() && !writer.journal().dirty(), "the disk has room again");
}

void CopyFromDisk(FaultyFileSystem& disk, const fs::path& to) {
  int error = 0;
  for (const std::string& name : disk.List("/state/journal", error)) {
    if (name != "lock") WriteFile(to / name, disk.Content("/state/journal/" + name));
  }
}

std::map<std::string, int> CountKinds(const fs::path& folder, const ReplayReport& report) {
  std::map<std::string, int> kinds;
  std::uint64_t expected = 1;
  for (const SegmentReport& segment : report.segments) {
    const std::string bytes = ReadFile(folder / SegmentName(segment.number));
    SegmentHeader header;
    const auto size = ReadHeader(bytes, header);
    Require(size.has_value(), "a segment has a header");
    expected = header.first;
    ScanFrames(std::string_view(bytes).substr(*size), header.salt, expected,
               [&](std::string_view record, std::uint64_t) { ++kinds[std::string(record.substr(0, 1))]; });
  }
  return kinds;
}

Json ExpectJournal(const fs::path& folder) {
  RealFileSystem files;
  Ledger ledger;
  Applier applier(ledger);
  const ReplayReport report = Replay(files, folder.string(), applier);
  return {{"replay", ToJson(report)},
          {"record_kinds", CountKinds(folder, report)},
          {"highest_number", applier.highest_number()},
          {"held", ledger.held()},
          {"messages", ToJson(ledger)}};
}

// Keeps in `expect` only the messages that `other`, the content of the file `other_name`, does not hold in
// exactly the same form.
void KeepOnlyDifferences(Json& expect, const Json& other, const std::string& other_name) {
  const std::set<std::string> same = [&] {
    std::set<std::string> texts;
    for (const Json& message : other["messages"]) texts.insert(message.dump());
    return texts;
  }();
  Json different = Json::array();
  Json numbers = Json::array();
  for (const Json& message : expect["messages"]) {
    numbers.push_back(message["number"]);
    if (!same.contains(message.dump())) different.push_back(message);
  }
  expect["message_numbers"] = numbers;
  expect["other_messages"] = "as in " + other_name;
  expect["messages"] = different;
}

void MakeJournal(const fs::path& out, const fs::path& expected) {
  FaultyFileSystem disk;
  FixedClock clock;
  const std::vector<std::uint64_t> old = WriteFirstEpoch(disk, clock);
  disk.Restart();
  clock.now += seconds(2);
  {
    JournalWriter writer(disk, clock, SmallJournal());
    writer.Deliver(*writer.Find(old[0]));
    WriteEvents(writer);
    const std::uint64_t last = writer.Accept(writer.New("held", 0)).number;
    EndEvents(writer, last - 4);
    WriteHeld(writer);
    WriteEnds(writer);
    WriteAfterFullDisk(writer, disk);
  }
  disk.Restart();
  clock.now += seconds(2);
  {
    JournalWriter writer(disk, clock, SmallJournal());
    writer.FinishAttempt(*writer.Find(old[1]), Outcome::kFull, milliseconds(40));
    writer.StartAttempt(writer.Accept(writer.New("last-record", 1)), "s-6");
    CopyFromDisk(disk, out / "journal");
  }
  const Json whole = ExpectJournal(out / "journal");
  for (const char* kind : {"S", "B", "A", "O", "E", "N", "K", "G"}) {
    Require(whole["record_kinds"].contains(kind), kind);
  }
  const Json& segments = whole["replay"]["segments"];
  Require(whole["replay"]["manifest"]["oldest"] > 1 && segments.size() > 2,
          "several segments, others dropped");
  Require(segments.front()["epoch"] < segments.back()["epoch"], "segments of several epochs");
  WriteJson(expected / "journal.json", whole);
}

// Makes the journal of a process that was killed during its last write.
void MakeTornJournal(const fs::path& out, const fs::path& expected) {
  const fs::path folder = out / "journal-torn";
  FaultyFileSystem disk;
  FixedClock clock;
  for (int epoch = 1; epoch <= 2; ++epoch) {
    JournalWriter writer(disk, clock, SmallJournal());
    Message& attempted = writer.Accept(writer.New("attempted-" + std::to_string(epoch)));
    writer.StartAttempt(attempted, "s-1");
    writer.Accept(writer.New("torn-attempt-" + std::to_string(epoch)));
    writer.StartAttempt(*writer.Find(attempted.number + 1), "s-2");
    CopyFromDisk(disk, folder);
    disk.Restart();
  }
  const fs::path last = folder / SegmentName(2);
  fs::resize_file(last, fs::file_size(last) - 5);
  const Json torn = ExpectJournal(folder);
  Require(torn["replay"]["unreadable_bytes"] > 0 && torn["replay"]["damaged"] == false, "a torn tail");
  WriteJson(expected / "journal-torn.json", torn);
}

void MakeSnapshot(const fs::path& out, const fs::path& expected) {
  RealFileSystem files;
  const fs::path restored = out / "restored";
  TakeSnapshot(files, (out / "journal").string(), (out / "snapshot").string());
  const Json journal = ExpectJournal(out / "journal");
  Json expect = {{"snapshot", ExpectJournal(out / "snapshot")}};
  for (const bool exact : {false, true}) {
    RestoreSnapshot(files, (out / "snapshot").string(), restored.string(), {.exact = exact});
    expect[exact ? "restored_exact" : "restored"] = ExpectJournal(restored);
    fs::remove_all(restored);
  }
  for (auto& [name, part] : expect.items()) KeepOnlyDifferences(part, journal, "journal.json");
  Require(expect["snapshot"]["messages"].empty() && expect["restored_exact"]["messages"].empty(),
          "a snapshot holds the journal's messages");
  WriteJson(expected / "snapshot.json", expect);
}

// ---- A log of format 1, which only older versions of this program wrote.

class LegacyWriter {
 public:
  void Add(const Writer& record) {
    const std::string& bytes = record.out();
    const auto crc = crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size()));
    log_ += Writer()
                .Number(static_cast<std::uint32_t>(bytes.size()))
                .Number(static_cast<std::uint32_t>(crc))
                .out();
    log_ += bytes;
  }
  // With `kept`, appends the fields that later versions of format 1 added at the end of the record.
  void State(const Message& m, bool kept) {
    Writer w;
    const Request& r = m.request;
    w.Number('S').Number(m.number).Text(r.id);
    w.Number<std::int32_t>(r.message_class).Number<std::int32_t>(r.destination);
    w.At(m.deadline).Text(r.key).Text(r.body).Number(r.form);
    w.Number(static_cast<std::uint32_t>(r.attributes.size()));
    for (const auto& [name, value] : r.attributes) w.Text(name).Text(value);
    w.Number<std::int32_t>(m.attempts).Number(m.out).At(m.out_since).Text(m.out_at);
    w.Number(m.may_have_run.has_value()).At(m.may_have_run.value_or(Time(0))).Text(m.may_have_run_at);
    w.Number(m.end).At(m.again).At(m.ended_at).Number(m.notice_owed);
    if (kept) KeptPart(w, m);
    Add(w);
  }
  const std::string& log() const { return log_; }

 private:
  static void KeptPart(Writer& w, const Message& m) {
    w.At(m.taken_at).Number(m.reason).Number(m.kept_owed).Number(m.kept_as).Number(m.kept_life);
    w.Text(m.kept_node).Number(static_cast<std::uint32_t>(m.history.size()));
    for (const AttemptNote& note : m.history) {
      w.At(note.sent.wall).At(note.sent.steady).Number(note.sent.boot).Text(note.endpoint);
      w.Number<std::int32_t>(note.outcome ? static_cast<std::int32_t>(*note.outcome) : -1);
      w.At(note.told_wait);
    }
  }
  std::string log_;
};

Message LegacyMessage(std::uint64_t number) {
  Message m;
  m.number = number;
  m.request.id = "legacy-" + std::to_string(number);
  m.request.message_class = static_cast<int>(number % 3);
  m.request.destination = 7;
  m.request.key = "key-" + std::to_string(number);
  m.request.body = kBinaryBody;
  m.deadline = kStart + seconds(20);
  return m;
}

Writer LegacyRecord(char kind, std::uint64_t number) {
  Writer w;
  w.Number(kind).Number(number);
  return w;
}

void AddLegacyMessages(LegacyWriter& log) {
  for (std::uint64_t number = 1; number <= 5; ++number) log.State(LegacyMessage(number), false);
  for (std::uint64_t number = 6; number <= 9; ++number) {
    Message m = LegacyMessage(number);
    m.request.form = Form::kEvent;
    m.request.attributes = {{"source", "/golden"}, {"id", m.request.id}};
    m.taken_at = kStart;
    m.attempts = 1;
    m.history = {{{kStart, seconds(1000), kBoot}, "s-1", Outcome::kFull, milliseconds(250)}};
    if (number == 9) {
      m.kept_as = 41;
      m.kept_life = 2;
      m.kept_node = "n1";
    }
    log.State(m, true);
  }
}

void AddLegacyHistory(LegacyWriter& log) {
  const auto attempt = [&](std::uint64_t number, const char* endpoint) {
    return LegacyRecord('A', number).At(kStart + seconds(1)).Text(endpoint);
  };
  const auto outcome = [&](std::uint64_t number, Outcome value) {
    return LegacyRecord('O', number).Number(static_cast<std::int32_t>(value));
  };
  const auto end = [&](std::uint64_t number, End value, Duration again) {
    return LegacyRecord('E', number).Number(value).At(again).At(kStart + seconds(2));
  };
  log.Add(attempt(1, "s-1"));  // the call stays in flight
  log.Add(attempt(2, "s-2"));
  log.Add(outcome(2, Outcome::kTimeout));
  log.Add(attempt(3, "s-3"));
  log.Add(outcome(3, Outcome::kFull));
  log.Add(end(3, End::kRefused, milliseconds(1500)));
  log.Add(end(4, End::kFailed, Duration(0)));
  log.Add(LegacyRecord('N', 4));  // the notification is sent, and the message is forgotten
  log.Add(attempt(5, "s-5"));
  log.Add(end(5, End::kFailed, Duration(0)));
  // Records of versions that dead-lettered undeliverable messages.
  log.Add(attempt(6, "s-6").At(seconds(1001)).Number(kBoot));
  log.Add(outcome(6, Outcome::kFull).At(milliseconds(750)));
  const auto kept_end = [&](std::uint64_t number, End value, Reason reason, std::int32_t last) {
    return end(number, value, Duration(0)).Number(reason).Number(true).Number(last);
  };
  log.Add(kept_end(7, End::kFailed, Reason::kAttemptsUsedUp, static_cast<std::int32_t>(Outcome::kError)));
  log.Add(LegacyRecord('N', 7));
  log.Add(kept_end(8, End::kFailed, Reason::kShed, -1));
  log.Add(LegacyRecord('K', 8));
}

void MakeLegacyLog(const fs::path& out, const fs::path& expected) {
  LegacyWriter log;
  AddLegacyMessages(log);
  AddLegacyHistory(log);
  const fs::path whole = out / "journal-format1" / "log";
  const fs::path torn = out / "journal-format1" / "log-torn";
  WriteFile(whole, log.log());
  WriteFile(torn, log.log().substr(0, log.log().size() - 5));
  Json expect;
  for (const fs::path& path : {whole, torn}) {
    RealFileSystem files;
    Ledger ledger;
    const LegacyReport report = ReadLegacy(files, path.string(), ledger);
    expect[path.filename().string()] = {{"records", report.records},
                                        {"torn_bytes", report.torn_bytes},
                                        {"held", ledger.held()},
                                        {"messages", ToJson(ledger)}};
  }
  KeepOnlyDifferences(expect["log-torn"], expect["log"], "log");
  Require(expect["log"]["records"] == 25 && expect["log"]["torn_bytes"] == 0, "the log of format 1");
  WriteJson(expected / "journal-format1.json", expect);
}

// ---- Dead letters.

Message EndedMessage(std::uint64_t number, Reason reason, End end = End::kFailed) {
  Message m;
  m.number = number;
  m.request.id = "dead-" + std::to_string(number);
  m.request.message_class = static_cast<int>(number % 3);
  m.request.destination = static_cast<int>(number % 4);
  m.request.key = number % 5 == 0 ? "" : "key-" + std::to_string(number);
  m.request.body = "body of " + std::to_string(number) + kBinaryBody;
  if (number % 2 == 0) {
    m.request.form = Form::kEvent;
    m.request.attributes = {{"source", "/golden"}, {"type", "order.\xc3\xa9"}, {"id", m.request.id}};
  }
  m.taken_at = kStart + seconds(number);
  m.deadline = m.taken_at + seconds(20);
  m.end = end;
  m.ended_at = m.taken_at + seconds(10);
  m.reason = reason;
  return m;
}

void AddAttempt(Message& m, std::optional<Outcome> outcome, Duration told_wait = Duration(0)) {
  const Duration after = milliseconds(500 * (m.attempts + 1));
  const std::string endpoint = "s-" + std::to_string(m.attempts);
  m.attempts += 1;
  m.history.push_back({{m.taken_at + after, m.taken_at + after - kStart + seconds(1000), kBoot},
                       endpoint,
                       outcome,
                       told_wait});
  const bool may_have_run = !outcome || MayHaveRun(*outcome);
  if (may_have_run && !m.may_have_run) {
    m.may_have_run = m.history.back().sent.wall;
    m.may_have_run_at = endpoint;
  }
}

kept::Database::Entry EntryOf(const Message& m, const std::string& node) {
  const auto message_class = static_cast<std::size_t>(m.request.message_class);
  kept::Database::Entry entry;
  entry.kept = kept::FromMessage(m, node, kClasses[message_class], 0.5 + static_cast<double>(message_class));
  entry.identity = kept::IdentityOf(m.request);
  entry.resent = m.kept_as != 0;
  return entry;
}

constexpr std::uint64_t kFirstOperated = 110;
kept::Id OperatedId(std::uint64_t offset) { return {"n0", kFirstOperated + offset}; }

void KeepMessages(kept::Database& database) {
  std::vector<kept::Database::Entry> entries;
  for (int i = 1; i <= kReasons; ++i) {
    const auto reason = static_cast<Reason>(i);
    const bool shed = reason == Reason::kShed;
    Message m =
        EndedMessage(static_cast<std::uint64_t>(100 + i), reason, shed ? End::kRefused : End::kFailed);
    if (reason == Reason::kAttemptsUsedUp) {
      for (int o = 1; o < kOutcomes; ++o) AddAttempt(m, static_cast<Outcome>(o));
    } else if (reason == Reason::kRefusedToTheEnd) {
      AddAttempt(m, Outcome::kFull, milliseconds(250));
      AddAttempt(m, Outcome::kFull, milliseconds(2000));
    } else if (reason == Reason::kRestart) {
      AddAttempt(m, std::nullopt);
    } else if (reason != Reason::kOutOfTimeUnsent && !shed) {
      AddAttempt(m, Outcome::kTimeout);
    }
    entries.push_back(EntryOf(m, i % 4 == 0 ? "n1" : "n0"));
  }
  for (std::uint64_t offset = 0; offset < 11; ++offset) {
    Message m = EndedMessage(kFirstOperated + offset, Reason::kOutOfTimeAfterCalls);
    AddAttempt(m, Outcome::kFull, milliseconds(250));
    entries.push_back(EntryOf(m, "n0"));
  }
  database.Keep(entries);
  database.Keep({entries.front()});  // storing the same entry a second time changes nothing
}

// Claims a dead letter for a redrive and stores the outcome of that redrive.
void Redrive(kept::Database& database, const kept::Id& id, End end, Outcome outcome, Time not_before) {
  const auto claimed = database.Claim(id, "again");
  Require(claimed.has_value(), "a message can be claimed");
  Message m = kept::ToMessage(*claimed, kStart + seconds(300));
  m.number = 1000;
  AddAttempt(m, outcome);
  m.request.message_class = static_cast<int>(id.number % 3);
  m.end = end;
  m.ended_at = kStart + seconds(290);
  m.reason = end == End::kFailed ? Reason::kAttemptsUsedUp : Reason::kNone;
  kept::Database::Entry entry = EntryOf(m, "n0");
  entry.not_before = not_before;
  database.Keep({entry});
}

kept::ReviewSettings Review() {
  kept::ReviewSettings review;
  review.class_names = kClasses;
  review.classes.resize(kClasses.size());
  for (ClassSettings& settings : review.classes) settings.effect = Effect::kSafe;
  review.judge.max_attempts = 9;
  return review;
}

void OperateOnMessages(kept::Database& database) {
  using kept::Action;
  const Moment now{kStart + seconds(280), seconds(1280), kBoot};
  const kept::ReviewSettings review = Review();
  const kept::RuleSet rules = kept::ParseRules(
      "rule held: when id = \"dead-119\" then hold;\n"
      "rule dropped: when id = \"dead-120\" then drop;\n",
      kClasses);
  std::map<std::string, kept::Database::Pace> paces;
  database.Due(rules, review, database.Generation(kRulesHash), now, {}, 100, paces);
  Redrive(database, OperatedId(0), End::kDelivered, Outcome::kOk, Time(0));
  Redrive(database, OperatedId(1), End::kFailed, Outcome::kReset, kStart + seconds(400));
  Redrive(database, OperatedId(1), End::kFailed, Outcome::kError, kStart + seconds(500));
  database.Claim(OperatedId(2), "again");
  database.Claim(OperatedId(3), "again");
  database.Unclaim(OperatedId(3), kStart + seconds(600));
  Require(database.HandedInAgain(kept::IdentityOf(EndedMessage(114, Reason::kNone).request), 2000) == 1,
          "a message is handed in again");
  const auto act = [&](Action::Kind action, const std::string& id) {
    const auto condition = kept::ParseCondition("id = \"" + id + "\"", kClasses);
    const auto acted = database.Act(action, condition, review, now, 0, 10, false);
    Require(acted.changed == 1, "an operator's action changes one message");
  };
  act(Action::Kind::kHold, "dead-115");
  act(Action::Kind::kDrop, "dead-116");
  act(Action::Kind::kResend, "dead-117");
  database.Claim(OperatedId(8), "again");
  // The journal was lost while the claim on the third message was open, so that message may have run.
  database.Reconcile({OperatedId(2)}, true, kStart + seconds(310));
}

Json ToJson(const kept::KeptMessage& k) {
  Json json = Json::parse(kept::ToJson(k, true));
  json["may_have_run_moment"] = k.may_have_run ? ToJson(*k.may_have_run) : Json(nullptr);
  json["may_have_run_at"] = k.may_have_run_at;
  json["life"] = k.life;
  json["worth"] = k.worth;
  json["not_before_us"] = k.not_before.count();
  json["by_hand"] = k.by_hand;
  json["last_outcome"] = kept::Name(k.LastOutcome());
  return json;
}

Json ExpectDeadLetters(kept::Database& database) {
  Json messages = Json::array();
  const Time now = kStart + seconds(320);
  database.ForEach(kept::Condition(), now, true, [&](const kept::KeptMessage& message) {
    messages.push_back(ToJson(message));
    return true;
  });
  Json counts;
  for (const char* column : {"reason", "class", "destination", "state", "end"}) {
    counts[column] = database.CountBy(column);
  }
  return {{"schema_version", kept::Database::kVersion},
          {"rules_hash", kRulesHash},
          {"rules_generation", 1},
          {"all", database.Count(kept::Condition(), now)},
          {"highest_number", {{"n0", database.HighestNumber("n0")}, {"n1", database.HighestNumber("n1")}}},
          {"identities", database.Identities()},
          {"counts", counts},
          {"messages", messages}};
}

void MakeDeadLetters(const fs::path& out, const fs::path& expected) {
  fs::create_directories(out / "dead_letters");
  kept::Database::Settings settings;
  settings.path = (out / "dead_letters" / "kept.db").string();
  Json expect;
  {
    kept::Database database(settings);
    KeepMessages(database);
    OperateOnMessages(database);
    expect = ExpectDeadLetters(database);
  }  // closing the database moves the write-ahead log into its file
  Require(!fs::exists(settings.path + "-wal"), "the database is one file");
  WriteJson(expected / "dead_letters.json", expect);
}

// ---- The handover.

HandoverState SampleState() {
  HandoverState state;
  state.now = {kStart, seconds(1000), kBoot};
  state.classes = kClasses;
  state.revision = 41;
  for (int i = 0; i < 3; ++i) {
    EndpointNews news;
    news.entry = {
        "s-" + std::to_string(i), 7 + i, 1 + i, 2 + i, 12.5 + i, static_cast<EndpointEntry::State>(i)};
    news.address = "10.0.0." + std::to_string(i + 1) + ":8443";
    state.endpoints.push_back(news);
  }
  for (int i = 0; i < kOutcomes; ++i) {
    PastAttempt attempt;
    attempt.sent = kStart - seconds(30 - i);
    attempt.ended = attempt.sent + milliseconds(120 + i);
    attempt.deadline = attempt.sent + seconds(20);
    attempt.destination = 7 + i % 3;
    attempt.message_class = i % 3;
    attempt.attempts = 1 + i;
    attempt.endpoint = "s-" + std::to_string(i % 3);
    attempt.outcome = static_cast<Outcome>(i);
    attempt.told_wait = milliseconds(10 * i);
    attempt.load = {0.125 * i, 25.0 + i};
    state.recent.push_back(attempt);
  }
  state.out = {{21, "s-0", kStart - seconds(1), kStart - seconds(3), "s-1"}, {22, "s-1", kStart, {}, ""}};
  return state;
}

CallResult SampleResult(int outcome) {
  CallResult result;
  result.number = static_cast<std::uint64_t>(21 + outcome);
  result.outcome = static_cast<Outcome>(outcome);
  result.over = outcome % 2 == 1;
  result.told_wait = milliseconds(10 * outcome);
  result.load = {0.125 * outcome, 25.0 + outcome};
  return result;
}

Json ToJson(const LoadReport& load) {
  return {{"allowance_left", load.allowance_left}, {"limit", load.limit}};
}

Json ToJson(const HandoverState& state) {
  Json endpoints = Json::array();
  Json recent = Json::array();
  Json out = Json::array();
  for (const EndpointNews& news : state.endpoints) {
    const EndpointEntry& entry = news.entry;
    endpoints.push_back({{"endpoint", entry.endpoint},
                         {"address", news.address},
                         {"destination", entry.destination},
                         {"zone", entry.zone},
                         {"kind", entry.kind},
                         {"rate", entry.rate},
                         {"state_number", static_cast<int>(entry.state)}});
  }
  for (const PastAttempt& attempt : state.recent) {
    recent.push_back({{"sent_us", attempt.sent.count()},
                      {"ended_us", attempt.ended.count()},
                      {"deadline_us", attempt.deadline.count()},
                      {"destination", attempt.destination},
                      {"class_number", attempt.message_class},
                      {"attempts", attempt.attempts},
                      {"endpoint", attempt.endpoint},
                      {"outcome", kept::Name(attempt.outcome)},
                      {"told_wait_us", attempt.told_wait.count()},
                      {"load", ToJson(attempt.load)}});
  }
  for (const CallOut& call : state.out) {
    out.push_back({{"number", call.number},
                   {"endpoint", call.endpoint},
                   {"sent_us", call.sent.count()},
                   {"may_have_run_us", call.may_have_run ? Json(call.may_have_run->count()) : Json(nullptr)},
                   {"may_have_run_at", call.may_have_run_at}});
  }
  return {{"version", kHandoverVersion},
          {"now", ToJson(state.now)},
          {"classes", state.classes},
          {"revision", state.revision},
          {"endpoints", endpoints},
          {"recent_attempts", recent},
          {"calls_out", out}};
}

Json ToJson(const CallResult& result) {
  return {{"number", result.number},
          {"outcome", kept::Name(result.outcome)},
          {"over", result.over},
          {"told_wait_us", result.told_wait.count()},
          {"load", ToJson(result.load)}};
}

// One datagram of the handover channel. Its bytes start with the kind of the packet and a flag that tells
// whether more of the packet follows. It may carry a file descriptor.
struct Datagram {
  std::string bytes;
  Fd fd = Fd();
};

std::optional<Datagram> ReceiveDatagram(int socket) {
  Datagram datagram;
  datagram.bytes.resize(64 * 1024);
  iovec piece{datagram.bytes.data(), datagram.bytes.size()};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t size = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC);
  if (size <= 0) return std::nullopt;
  datagram.bytes.resize(static_cast<std::size_t>(size));
  if (const cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr) {
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
    datagram.fd = Fd(fd);
  }
  return datagram;
}

void SendDatagram(int socket, const Datagram& datagram) {
  iovec piece{const_cast<char*>(datagram.bytes.data()), datagram.bytes.size()};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  if (datagram.fd.get() >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    const int fd = datagram.fd.get();
    std::memcpy(CMSG_DATA(header), &fd, sizeof fd);
  }
  ::sendmsg(socket, &message, MSG_NOSIGNAL);
}

sockaddr_un SocketAddress(const fs::path& folder) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = (folder / "handover").string();
  Require(path.size() < sizeof address.sun_path, "the folder's path is short");
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

// Forwards datagrams between the new process and the old one, and records each of them.
class RecordingProxy {
 public:
  RecordingProxy(const fs::path& new_side, const fs::path& old_side)
      : listener_(::socket(AF_UNIX, SOCK_SEQPACKET, 0)), old_process_(::socket(AF_UNIX, SOCK_SEQPACKET, 0)) {
    const sockaddr_un here = SocketAddress(new_side), there = SocketAddress(old_side);
    Require(::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&here), sizeof here) == 0, "bind");
    Require(::listen(listener_.get(), 1) == 0, "listen");
    Require(::connect(old_process_.get(), reinterpret_cast<const sockaddr*>(&there), sizeof there) == 0,
            "connect");
    threads_.emplace_back([this] { Run(); });
  }
  // Waits until both sides have closed their connections.
  void Join() {
    for (std::thread& thread : threads_) thread.join();
  }
  std::vector<Datagram> from_new, from_old;

 private:
  void Run() {
    new_process_ = Fd(::accept(listener_.get(), nullptr, nullptr));
    std::thread back([this] { Forward(old_process_.get(), new_process_.get(), from_old); });
    Forward(new_process_.get(), old_process_.get(), from_new);
    back.join();
  }
  static void Forward(int from, int to, std::vector<Datagram>& record) {
    while (std::optional<Datagram> datagram = ReceiveDatagram(from)) {
      SendDatagram(to, *datagram);
      record.push_back(std::move(*datagram));
    }
    ::shutdown(to, SHUT_WR);
  }
  Fd listener_, old_process_, new_process_;
  std::vector<std::thread> threads_;
};

Fd AnyDescriptor() { return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

Offer SampleOffer(const Fd& descriptor) {
  Offer offer;
  offer.state = SampleState();
  offer.lock = offer.listener = offer.events_listener = offer.peers = descriptor.get();
  offer.clients = {{descriptor.get(), false, milliseconds(5), ""},
                   {descriptor.get(), true, milliseconds(1234), "POST /aviso HTTP/1.1\r\nHost: h\r\n"}};
  offer.event_clients = {{descriptor.get(), true, seconds(2), "POST /events HTTP/1.1\r\n"}};
  return offer;
}

Config ConfigOf(const std::string& name, const fs::path& folder) {
  Config config;
  config.name = name;
  config.state_folder = folder.string();
  return config;
}

// Plays the new process: takes everything over, then cancels one call and withdraws another. Returns the
// error text, or an empty string on success.
std::string RunNewProcess(const Config& config) {
  try {
    const auto predecessor = Predecessor::Find(config);
    Require(predecessor != nullptr, "the old process is found");
    Require(Encode(predecessor->state) == Encode(SampleState()), "the state comes through");
    Require(predecessor->clients.size() == 2 && predecessor->event_clients.size() == 1,
            "clients come through");
    predecessor->Ready();
    predecessor->Begun();
    std::set<std::uint64_t> calls;
    for (int i = 0; i < kOutcomes; ++i) calls.insert(SampleResult(i).number);
    Loop loop;
    predecessor->Follow(loop, calls, [&](const CallResult&) {
      if (!predecessor->owes()) loop.Break();
    });
    predecessor->Cancel(21);
    predecessor->Recall(22);
    loop.Run();
    return "";
  } catch (const std::exception& error) {
    return error.what();
  }
}

struct RecordedHandover {
  std::vector<Datagram> from_new, from_old;
};

// Returns the datagrams of a complete handover or, if `refusal` is not empty, of one that is refused with it.
RecordedHandover RecordHandover(const fs::path& scratch, const std::string& refusal) {
  const fs::path new_side = scratch / "new", old_side = scratch / "old";
  fs::create_directories(new_side);
  fs::create_directories(old_side);
  const Fd descriptor = AnyDescriptor();
  Loop loop;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  std::optional<Successor> successor;
  Successor::Heard heard;
  heard.settled = [] { return true; };
  heard.refusal = [&] { return refusal; };
  heard.offer = [&] { return SampleOffer(descriptor); };
  heard.taken_back = [] { return false; };
  heard.let_go = [] {};
  heard.lost = [] {};
  heard.cancel = [](std::uint64_t number) { Require(number == 21, "the call to cancel"); };
  heard.recall = [&](std::uint64_t number) {
    Require(number == 22, "the call to withdraw");
    for (int i = 0; i < kOutcomes; ++i) successor->Report(SampleResult(i));
    loop.Break();
  };
  successor.emplace(loop, log, ConfigOf("n0", old_side), heard);
  RecordingProxy proxy(new_side, old_side);
  std::string failure;
  std::thread new_process([&] { failure = RunNewProcess(ConfigOf("n0", new_side)); });
  Timer stop(loop, [&] { loop.Break(); });
  stop.After(seconds(3));
  loop.Run();
  new_process.join();
  successor.reset();
  proxy.Join();
  fs::remove_all(scratch);
  Require(refusal.empty() ? failure.empty() : failure.ends_with(refusal), failure.c_str());
  return {std::move(proxy.from_new), std::move(proxy.from_old)};
}

// Writes one file for each datagram, named for its position and kind, such as 02-k. Returns their
// descriptions.
Json SaveDatagrams(const std::vector<Datagram>& datagrams, const fs::path& folder) {
  Json list = Json::array();
  int at = 0;
  for (const Datagram& datagram : datagrams) {
    char name[16];
    std::snprintf(name, sizeof name, "%02d-%c", ++at, datagram.bytes[0]);
    WriteFile(folder / name, datagram.bytes);
    list.push_back({{"file", folder.filename().string() + "/" + name},
                    {"kind", datagram.bytes.substr(0, 1)},
                    {"more", datagram.bytes[1] != 0},
                    {"descriptor", datagram.fd.get() >= 0}});
  }
  return list;
}

void MakeHandover(const fs::path& out, const fs::path& expected) {
  const fs::path folder = out / "handover";
  WriteFile(folder / "state", Encode(SampleState()));
  Json results;
  for (int i = 0; i < kOutcomes; ++i) {
    const std::string name = "result-" + std::string(kept::Name(static_cast<Outcome>(i)));
    WriteFile(folder / name, EncodeResult(SampleResult(i)));
    results[name] = ToJson(SampleResult(i));
  }
  const RecordedHandover whole = RecordHandover(out / "scratch", "");
  const RecordedHandover refused = RecordHandover(out / "scratch", kRefusal);
  const Json sent_by_new = SaveDatagrams(whole.from_new, folder / "from-new-process");
  const Json sent_by_old = SaveDatagrams(whole.from_old, folder / "from-old-process");
  const Json sent_to_refuse = SaveDatagrams(refused.from_old, folder / "from-old-process-refusing");
  const Offer offer = SampleOffer(Fd());
  Json clients = Json::array();
  Json event_clients = Json::array();
  const auto add = [](Json& list, const std::vector<Server::Passing>& passing) {
    for (const Server::Passing& client : passing) {
      list.push_back({{"asked", client.asked}, {"age_us", client.age.count()}, {"bytes", client.bytes}});
    }
  };
  add(clients, offer.clients);
  add(event_clients, offer.event_clients);
  const Json expect = {{"state", ToJson(SampleState())},
                       {"results", results},
                       {"hello", {{"version", kHandoverVersion}, {"name", "n0"}}},
                       {"clients", clients},
                       {"event_clients", event_clients},
                       {"cancelled_call", 21},
                       {"withdrawn_call", 22},
                       {"refusal", kRefusal},
                       {"from_new_process", sent_by_new},
                       {"from_old_process", sent_by_old},
                       {"from_old_process_refusing", sent_to_refuse}};
  WriteJson(expected / "handover.json", expect);
}

// ---- Metrics and status.

void MakeMetrics(const fs::path& out, const fs::path& expected) {
  Figures figures(kClasses);
  const auto ended = [&](int message_class, End end, int attempts, int times) {
    Message m;
    m.request.message_class = message_class;
    m.end = end;
    m.attempts = attempts;
    for (int i = 0; i < times; ++i) figures.Ended(m);
  };
  for (int i = 0; i < static_cast<int>(kClasses.size()); ++i) {
    ended(i, End::kDelivered, 1, 811 + i);
    ended(i, End::kRefused, 0, 11 + i);
    ended(i, End::kOver, 0, 3 + i);
    ended(i, End::kOver, 1, 2 + i);
    ended(i, End::kFailed, 2, 21 + i);
    figures.Refused(i);
  }
  ended(kNoClass, End::kDelivered, 1, 1);  // a class that is not configured is not counted
  for (int i = 0; i < 1234; ++i) figures.Written();
  WriteFile(out / "metrics.txt", figures.Text({14, 9, 2}));

  Json words = Json::array();
  const auto add = [&](const Readiness& readiness, std::size_t held, std::size_t connections) {
    words.push_back({{"phase_number", static_cast<int>(readiness.phase())},
                     {"held", held},
                     {"connections", connections},
                     {"ready", readiness.Ready()},
                     {"word", readiness.Word(held, connections)}});
  };
  Readiness readiness;
  add(readiness, 0, 0);
  readiness.Started();
  add(readiness, 3, 2);
  readiness.able = [] { return false; };
  add(readiness, 3, 2);
  readiness.able = nullptr;
  readiness.Pause(kStart);
  add(readiness, 3, 0);
  add(readiness, 0, 2);
  add(readiness, 0, 0);
  Readiness handed_over = readiness;
  handed_over.HandOver();
  add(handed_over, 0, 1);
  readiness.Stop(kStart);
  add(readiness, 0, 0);
  const Json expect = {
      {"metrics_gauges", {{"in_progress", 14}, {"known_endpoints", 9}, {"skipped_endpoints", 2}}},
      {"status", words}};
  WriteJson(expected / "operate.json", expect);
}

void MakeAll(const fs::path& out) {
  const fs::path expected = out / "expected";
  MakeJournal(out, expected);
  MakeTornJournal(out, expected);
  MakeSnapshot(out, expected);
  MakeLegacyLog(out, expected);
  MakeDeadLetters(out, expected);
  MakeHandover(out, expected);
  MakeMetrics(out, expected);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: make_golden OUTPUT_FOLDER\n");
    return 2;
  }
  try {
    sagetally::MakeAll(argv[1]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "make_golden: %s\n", error.what());
    return 1;
  }
  return 0;
}
