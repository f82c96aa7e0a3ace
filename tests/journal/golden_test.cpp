// Reads journals that an earlier version wrote (tests/golden) with the present code. Checks that all values
// are as expected, and that encoding what was read gives the same bytes. Argument: the folder of golden data,
// which the test copies and does not change.
#undef NDEBUG
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/byte_codec.h"
#include "golden_json.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/format1_reader.h"
#include "journal/segment_journal.h"
#include "journal/snapshot.h"

namespace sagetally {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  assert(file);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

// ---- The golden data.

// A temporary copy of the folder of golden data.
class Golden {
 public:
  explicit Golden(const fs::path& source) {
    std::string pattern = (fs::temp_directory_path() / "golden_journal.XXXXXX").string();
    assert(::mkdtemp(pattern.data()) != nullptr);
    root_ = pattern;
    fs::copy(source, root_, fs::copy_options::recursive | fs::copy_options::overwrite_existing);
  }
  ~Golden() { fs::remove_all(root_); }
  Golden(const Golden&) = delete;
  Golden& operator=(const Golden&) = delete;

  fs::path Path(const std::string& name) const { return root_ / name; }
  Json Expected(const std::string& name) const {
    return Json::parse(ReadFile(root_ / "expected" / (name + ".json")));
  }

 private:
  fs::path root_;
};

// Returns `expected` with all its messages. The golden file leaves out the messages that `other`, the content
// of another golden file, contains with the same values, and lists only the numbers of all messages.
Json WithAllMessages(Json expected, const Json& other) {
  if (!expected.contains("other_messages")) return expected;
  std::map<std::uint64_t, Json> by_number;
  for (const Json* list : {&other.at("messages"), &std::as_const(expected).at("messages")}) {
    for (const Json& message : *list) by_number[message.at("number").get<std::uint64_t>()] = message;
  }
  Json messages = Json::array();
  for (const Json& number : expected.at("message_numbers")) {
    messages.push_back(by_number.at(number.get<std::uint64_t>()));
  }
  expected["messages"] = messages;
  expected.erase("message_numbers");
  expected.erase("other_messages");
  return expected;
}

void AssertEqual(const std::string& name, const Json& found, const Json& expected) {
  if (found == expected) return;
  std::fprintf(stderr, "%s: the found values differ from the expected ones by this patch:\n%s\n",
               name.c_str(), Json::diff(expected, found).dump(1).c_str());
  assert(false);
}

// The decoded content of a segment file.
struct SegmentFile {
  std::string bytes;
  DecodedSegmentHeader decoded;
  struct Record {
    std::string bytes;
    std::uint64_t sequence = 0;
  };
  std::vector<Record> records;
  FrameScan scan;
};

SegmentFile ReadSegment(const fs::path& path) {
  SegmentFile file;
  file.bytes = ReadFile(path);
  const auto decoded = DecodeSegmentHeader(file.bytes);
  assert(decoded);
  file.decoded = *decoded;
  const std::string_view bytes = file.bytes;
  file.scan = ScanFrames(bytes.substr(decoded->size), decoded->header.salt, decoded->header.first_sequence,
                         [&](std::string_view record, std::uint64_t sequence) {
                           file.records.push_back({std::string(record), sequence});
                         });
  return file;
}

std::vector<SegmentFile> ReadSegments(const fs::path& folder) {
  PosixFileSystem files;
  std::vector<SegmentFile> segments;
  for (const std::uint64_t number : ListSegments(files, folder.string())) {
    segments.push_back(ReadSegment(folder / SegmentName(number)));
    assert(segments.back().decoded.header.number == number);
  }
  return segments;
}

Json ReadJournal(const fs::path& folder) {
  PosixFileSystem files;
  MessageTable messages;
  RecordApplier applier(messages);
  const ReplayReport report = Replay(files, folder.string(), applier);
  std::map<std::string, int> kinds;
  for (const SegmentFile& segment : ReadSegments(folder)) {
    for (const SegmentFile::Record& record : segment.records) ++kinds[record.bytes.substr(0, 1)];
  }
  return {{"replay", ToJson(report)},
          {"record_kinds", kinds},
          {"highest_number", applier.highest_number()},
          {"held", messages.pending_count()},
          {"messages", ToJson(messages)}};
}

// ---- Encoding decoded records again.

std::string EncodeBatchAgain(std::string_view record) {
  ByteReader in(record);
  in.ReadNumber<char>();
  std::vector<std::string> states;
  for (auto left = in.ReadNumber<std::uint32_t>(); left > 0; --left) {
    const auto state = DecodeState(in.ReadView());
    assert(state);
    states.push_back(EncodeState(state->message, state->ordinal));
  }
  return EncodeBatch(states);
}

// Applies records one by one, encodes each of them again from its message as it is after that, and compares
// the bytes.
class RecordReencoder {
 public:
  RecordReencoder() {
    messages_.on_message_removed = [this](const Message& message) { removed_ = message; };
  }
  ~RecordReencoder() { messages_.on_message_removed = nullptr; }
  RecordReencoder(const RecordReencoder&) = delete;
  RecordReencoder& operator=(const RecordReencoder&) = delete;

  void Check(const SegmentFile::Record& record, std::uint64_t segment) {
    const auto kind = static_cast<RecordKind>(record.bytes.front());
    removed_.reset();
    assert(applier_.Apply(record.bytes, record.sequence, segment));
    const std::optional<std::string> again = EncodeAgain(kind, record.bytes);
    if (!again) return;
    assert(*again == record.bytes);
    ++checked_[record.bytes.front()];
  }
  // Returns how many records of a kind were encoded again.
  int checked(RecordKind kind) const {
    const auto entry = checked_.find(static_cast<char>(kind));
    return entry == checked_.end() ? 0 : entry->second;
  }

 private:
  // Returns nothing if the message of the record is not known, because its state was in a segment that was
  // dropped.
  std::optional<std::string> EncodeAgain(RecordKind kind, std::string_view record) {
    if (kind == RecordKind::kBatch) return EncodeBatchAgain(record);
    ByteReader in(record);
    in.ReadNumber<char>();
    const auto number = in.ReadNumber<std::uint64_t>();
    const auto ordinal = in.ReadNumber<std::uint32_t>();
    if (kind == RecordKind::kState) {
      const auto state = DecodeState(record);
      assert(state && state->message.number == number);
      return EncodeState(state->message, state->ordinal);
    }
    if (kind == RecordKind::kNotified || kind == RecordKind::kDeadLettered || kind == RecordKind::kRemoved) {
      return EncodeBareRecord(kind, number, ordinal);
    }
    const Message* message = messages_.Find(number);
    if (message == nullptr && removed_) message = &*removed_;
    if (message == nullptr) return std::nullopt;
    assert(message->number == number);
    switch (kind) {
      case RecordKind::kAttempt:
        return EncodeAttempt(*message, ordinal);
      case RecordKind::kOutcome:
        return EncodeOutcome(*message, ordinal, static_cast<Outcome>(in.ReadNumber<std::int8_t>()));
      case RecordKind::kCompletion:
        return EncodeCompletion(*message, ordinal);
      default:
        assert(false);
        return std::nullopt;
    }
  }

  MessageTable messages_;
  RecordApplier applier_{messages_};
  std::optional<Message> removed_;
  std::map<char, int> checked_;
};

// Encodes the header and the frames of a segment from what was read.
std::string EncodeSegmentAgain(const SegmentFile& segment) {
  const SegmentHeader& header = segment.decoded.header;
  std::string bytes = EncodeSegmentHeader(header);
  for (const SegmentFile::Record& record : segment.records) {
    bytes += EncodeFrame(record.bytes, record.sequence, header.salt);
  }
  return bytes;
}

// ---- The tests.

void JournalHasTheExpectedValues(const Golden& golden) {
  AssertEqual("journal", ReadJournal(golden.Path("journal")), golden.Expected("journal"));
}

void TornJournalHasTheExpectedValues(const Golden& golden) {
  AssertEqual("journal-torn", ReadJournal(golden.Path("journal-torn")), golden.Expected("journal-torn"));
}

void Format1LogHasTheExpectedValues(const Golden& golden) {
  const Json expected = golden.Expected("journal-format1");
  for (const std::string name : {"log", "log-torn"}) {
    PosixFileSystem files;
    MessageTable messages;
    const Format1Report report =
        ReadFormat1(files, (golden.Path("journal-format1") / name).string(), messages);
    assert(report.found);
    const Json found = {{"records", report.records},
                        {"torn_bytes", report.torn_bytes},
                        {"held", messages.pending_count()},
                        {"messages", ToJson(messages)}};
    AssertEqual(name, found, WithAllMessages(expected.at(name), expected.at("log")));
  }
}

void SnapshotHasTheExpectedBytesAndValues(const Golden& golden) {
  const Json journal = golden.Expected("journal");
  const Json expected = golden.Expected("snapshot");
  PosixFileSystem files;
  const fs::path snapshot = golden.Path("snapshot");
  AssertEqual("snapshot", ReadJournal(snapshot), WithAllMessages(expected.at("snapshot"), journal));
  const fs::path again = golden.Path("snapshot-again");
  WriteSnapshot(files, golden.Path("journal").string(), again.string());
  std::set<std::string> names;
  for (const fs::path& folder : {snapshot, again}) {
    for (const auto& entry : fs::directory_iterator(folder)) names.insert(entry.path().filename().string());
  }
  assert(names.size() == 5);
  for (const std::string& name : names) assert(ReadFile(again / name) == ReadFile(snapshot / name));
  for (const bool exact : {false, true}) {
    const std::string name = exact ? "restored_exact" : "restored";
    const fs::path restored = golden.Path(name);
    RestoreSnapshot(files, snapshot.string(), restored.string(), {.exact = exact});
    AssertEqual(name, ReadJournal(restored), WithAllMessages(expected.at(name), journal));
  }
}

void ManifestsHaveTheSameBytesWhenEncodedAgain(const Golden& golden) {
  for (const char* folder : {"journal", "journal-torn", "snapshot"}) {
    const std::string text = ReadFile(golden.Path(folder) / kManifestName);
    const auto manifest = DecodeManifest(text);
    assert(manifest && EncodeManifest(*manifest) == text);
  }
}

void SegmentsHaveTheSameBytesWhenEncodedAgain(const Golden& golden) {
  for (const char* folder : {"journal", "journal-torn", "snapshot"}) {
    int torn = 0;
    for (const SegmentFile& segment : ReadSegments(golden.Path(folder))) {
      std::string expected = segment.bytes;
      for (const UnreadableRange& range : segment.scan.unreadable) {  // a torn tail
        ++torn;
        expected.resize(segment.decoded.size + range.offset);
      }
      assert(EncodeSegmentAgain(segment) == expected);
    }
    assert(torn == (folder == std::string_view("journal-torn") ? 1 : 0));
  }
}

void RecordsHaveTheSameBytesWhenEncodedAgain(const Golden& golden) {
  RecordReencoder reencoder;
  const Json kinds = golden.Expected("journal").at("record_kinds");
  for (const SegmentFile& segment : ReadSegments(golden.Path("journal"))) {
    for (const SegmentFile::Record& record : segment.records) {
      reencoder.Check(record, segment.decoded.header.number);
    }
  }
  for (const RecordKind kind :
       {RecordKind::kState, RecordKind::kBatch, RecordKind::kNotified, RecordKind::kDeadLettered,
        RecordKind::kRemoved, RecordKind::kAttempt, RecordKind::kOutcome, RecordKind::kCompletion}) {
    const int present = kinds.at(std::string(1, static_cast<char>(kind))).get<int>();
    const int checked = reencoder.checked(kind);
    std::printf("%c: %d of %d records encoded again\n", static_cast<char>(kind), checked, present);
    const bool needs_message =
        kind == RecordKind::kAttempt || kind == RecordKind::kOutcome || kind == RecordKind::kCompletion;
    assert(needs_message ? checked > 10 : checked == present);
  }
}

struct FixedClock : Clock {
  Time Now() const override { return Time(1'700'000'020'000'000); }
  Timestamp CurrentTimestamp() const override { return {Now(), Time(1'020'000'000), 9}; }
};

struct IdleHost : JournalHost {
  void ScheduleWork(Duration) override {}
  void OnDurabilityProgress() override {}
  void SyncInBackground(std::shared_ptr<File>, std::function<void(int)>) override {}
  void OnFenced() override { assert(false); }
};

// A process that opens the journal must have the messages of the replay, begin one segment and leave the
// other segments as they are.
void OpenedJournalKeepsMessagesAndSegments(const Golden& golden) {
  const Json expected = golden.Expected("journal");
  const fs::path folder = golden.Path("opened");
  fs::copy(golden.Path("journal"), folder);
  JournalSettings settings;
  settings.folder = folder.string();
  settings.node_name = "n0";
  settings.class_names = {"aviso", "pedido", "pagamento"};
  PosixFileSystem files;
  const FixedClock clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  IdleHost host;
  MessageTable messages;
  const SegmentJournal journal(files, settings, messages, clock, log, host);
  AssertEqual("opened", ToJson(messages), expected.at("messages"));
  assert(journal.epoch() == 4 && journal.segments() == 5 && !journal.is_new());
  const SegmentFile new_segment = ReadSegment(folder / SegmentName(20));
  assert(new_segment.records.empty() && new_segment.decoded.header.first_sequence == 319);
  for (int number = 16; number <= 19; ++number) {
    const std::string name = SegmentName(static_cast<std::uint64_t>(number));
    assert(ReadFile(folder / name) == ReadFile(golden.Path("journal") / name));
  }
}

// A process that opens the log of format 1 must have its messages, and the next process the same messages
// from the new journal.
void OpenedFormat1LogIsMigrated(const Golden& golden) {
  const Json expected = golden.Expected("journal-format1").at("log");
  const fs::path state = golden.Path("migrated");
  fs::create_directory(state);
  fs::copy(golden.Path("journal-format1") / "log", state / "log");
  JournalSettings settings;
  settings.folder = (state / "journal").string();
  settings.format1_path = (state / "log").string();
  settings.node_name = "n0";
  settings.class_names = {"aviso", "pedido", "pagamento"};
  const FixedClock clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  IdleHost host;
  for (int start = 1; start <= 2; ++start) {
    PosixFileSystem files;
    MessageTable messages;
    const SegmentJournal journal(files, settings, messages, clock, log, host);
    AssertEqual("migrated", ToJson(messages), expected.at("messages"));
    assert(!fs::exists(state / "log") && !journal.is_new());
  }
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  using namespace sagetally;
  assert(argc == 2);
  const Golden golden(argv[1]);
  JournalHasTheExpectedValues(golden);
  TornJournalHasTheExpectedValues(golden);
  Format1LogHasTheExpectedValues(golden);
  SnapshotHasTheExpectedBytesAndValues(golden);
  ManifestsHaveTheSameBytesWhenEncodedAgain(golden);
  SegmentsHaveTheSameBytesWhenEncodedAgain(golden);
  RecordsHaveTheSameBytesWhenEncodedAgain(golden);
  OpenedJournalKeepsMessagesAndSegments(golden);
  OpenedFormat1LogIsMigrated(golden);
  std::puts("9 passed, 0 failed");
}
