// Cases of the journal: torn and damaged files, batches, older and newer formats, two processes, full disks,
// clocks.
#include <functional>

#include "base/byte_codec.h"
#include "format1_log.h"
#include "journal/format1_reader.h"
#include "journal_world.h"

namespace sagetally {
namespace {

constexpr char kFirstSegment[] = "/state/journal/0000000000000001.seg";

std::string ErrorOf(const std::function<void()>& call) {
  try {
    call();
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

JournalSettings OneSegmentJournal() {
  JournalSettings s = SmallJournal();
  s.segment_bytes = 1'000'000;
  s.disk_budget = 30'000'000;
  return s;
}

// Offsets at which the frames of a segment begin, and its end.
std::vector<std::size_t> FrameOffsets(const std::string& bytes) {
  std::vector<std::size_t> at = {DecodeSegmentHeader(bytes)->size};
  while (at.back() < bytes.size()) {
    ByteReader in(std::string_view(bytes).substr(at.back(), 4));
    at.push_back(at.back() + kFrameBytes + in.ReadNumber<std::uint32_t>());
  }
  return at;
}

// Three messages, the first with an attempt in flight.
void AcceptThreeMessages(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings) {
  JournalProcess process(disk, clock, settings);
  for (const char* id : {"a", "b", "c"}) assert(process.Accept(id, 40, 2) != nullptr);
  process.StartAttempt(*process.messages.Find(1));
}

void TornTailIsDiscardedAtAnyLength() {
  FaultInjectingFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  AcceptThreeMessages(whole, clock, settings);
  const std::string bytes = whole.Content(kFirstSegment);
  const std::vector<std::size_t> frames = FrameOffsets(bytes);
  for (std::size_t cut = frames.front(); cut < bytes.size(); ++cut) {
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirstSegment, bytes.substr(0, cut));
    JournalProcess process(disk, clock, settings);
    const auto whole_records = std::upper_bound(frames.begin(), frames.end(), cut) - frames.begin() - 1;
    assert(process.messages.pending_count() == std::min<long>(3, whole_records) &&
           !process.journal.report().is_damaged());
    assert(whole_records == 0 || !process.messages.Find(1)->first_uncertain_attempt);
    assert((process.journal.report().unreadable_bytes == 0) ==
           (cut == frames[static_cast<std::size_t>(whole_records)]));
  }
}

// One bit in the middle: what is sound on both sides is recovered, the rest quarantined, and a message of
// which a record may be missing counts as uncertain.
void DamageInTheMiddleLosesOnlyTheRecordsHit() {
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  FaultInjectingFileSystem whole;
  {
    JournalProcess process(whole, clock, settings);
    Message& early = *process.Accept("early", 40, 2);      // no record after the damage
    Message& through = *process.Accept("through", 40, 2);  // records on both sides, none of its own missing
    process.StartAttempt(through);
    process.Accept("hit", 40, 2);
    process.FinishAttempt(through, Outcome::kRejected);
    Message& late = *process.Accept("late", 40, 2);
    process.StartAttempt(late);
    process.FinishAttempt(late, Outcome::kRejected);
    assert(early.number == 1 && through.number == 2 && late.number == 4);
  }
  const std::string bytes = whole.Content(kFirstSegment);
  const std::vector<std::size_t> frames = FrameOffsets(bytes);
  for (std::size_t at = frames[3]; at < frames[4]; at += 3) {  // the state of "hit"
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.FlipBit(kFirstSegment, at, static_cast<int>(at % 8));
    auto process = std::make_unique<JournalProcess>(disk, clock, settings);
    const ReplayReport& report = process->journal.report();
    assert(report.is_damaged() && report.missing.size() == 1 &&
           report.missing[0].to - report.missing[0].from == 1);
    assert(process->messages.pending_count() == 3 && process->messages.Find(3) == nullptr);
    assert(process->messages.Find(1)->first_uncertain_attempt == Time(0));
    assert(!process->messages.Find(2)->first_uncertain_attempt &&
           !process->messages.Find(4)->first_uncertain_attempt);
    int quarantined = 0;
    for (const std::string& name : disk.List(settings.folder).value) {
      if (!name.starts_with("quarantine-")) continue;
      ++quarantined;
      assert(disk.Content(settings.folder + "/" + name).size() == frames[4] - frames[3]);
    }
    assert(quarantined == 1);
    // All live messages were copied and the damaged file dropped: the next start finds the journal sound.
    process.reset();
    disk.Restart();
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    assert(!process->journal.report().is_damaged() &&
           process->messages.Find(1)->first_uncertain_attempt == Time(0));
    assert(!process->messages.Find(2)->first_uncertain_attempt);
  }
  // A record that is erased whole leaves only a gap in the sequence numbers.
  FaultInjectingFileSystem disk = whole;
  disk.Restart();
  disk.EraseBytes(kFirstSegment, frames[4], frames[5] - frames[4]);  // the outcome of "through"
  JournalProcess process(disk, clock, settings);
  assert(process.journal.report().missing.size() == 1 && process.journal.report().unreadable_bytes == 0);
  assert(process.messages.pending_count() == 4 && process.messages.Find(2)->first_uncertain_attempt &&
         process.messages.Find(1)->first_uncertain_attempt);
}

void MissingSegmentIsDamageAndLostManifestIsRebuilt() {
  TestClock clock;
  JournalSettings settings = SmallJournal();
  FaultInjectingFileSystem whole;
  {
    JournalProcess process(whole, clock, settings);
    for (int i = 0; i < 40; ++i) assert(process.Accept("m" + std::to_string(i), 300) != nullptr);
    assert(process.journal.segments() > 4);
  }
  FaultInjectingFileSystem disk = whole;
  disk.Restart();
  disk.Remove(settings.folder + "/" + SegmentName(3));
  {
    JournalProcess process(disk, clock, settings);
    assert(process.journal.report().is_damaged() && !process.journal.report().missing.empty());
    assert(process.messages.pending_count() > 20 && process.messages.pending_count() < 40);
  }
  FaultInjectingFileSystem bare = whole;
  bare.Restart();
  bare.FlipBit(settings.folder + "/" + kManifestName, 20, 3);
  JournalProcess process(bare, clock, settings);
  assert(process.journal.report().manifest_lost && process.messages.pending_count() == 40 &&
         process.journal.epoch() == 2);
}

void BatchIsRecoveredWholeOrNotAtAll() {
  FaultInjectingFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  {
    JournalProcess process(whole, clock, settings);
    assert(process.AcceptBatch("e", 5, 200));
  }
  const std::string bytes = whole.Content(kFirstSegment);
  const std::size_t first_frame = FrameOffsets(bytes).front();
  for (std::size_t cut = first_frame; cut <= bytes.size(); cut += cut + 40 < bytes.size() ? 17 : 1) {
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirstSegment, bytes.substr(0, cut));
    JournalProcess process(disk, clock, settings);
    assert(process.messages.pending_count() == (cut == bytes.size() ? 5 : 0));
  }
}

void LongRecordsFillSegmentsWithinTheBudget() {
  FaultInjectingFileSystem disk;
  TestClock clock;
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 600'000;
  auto process = std::make_unique<JournalProcess>(disk, clock, settings);
  for (int i = 0; process->Accept("m" + std::to_string(i), i % 3 == 0 ? 65'536 : 1'000) != nullptr; ++i) {
  }
  const int pending = process->messages.pending_count();
  assert(pending >= 7 && disk.Used() <= settings.disk_budget);
  process.reset();
  disk.Restart();
  process = std::make_unique<JournalProcess>(disk, clock, settings);
  assert(process->messages.pending_count() == pending &&
         process->messages.Find(1)->request.body.size() == 65'536);
}

void Format1LogIsMigratedThroughAnyCrash() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  for (const bool torn : {false, true}) {
    FaultInjectingFileSystem fresh;
    fresh.Put(settings.format1_path, LegacyLog(9, torn));
    const auto check = [&](FaultInjectingFileSystem& disk) {
      JournalProcess process(disk, clock, settings);
      assert(process.messages.pending_count() == 9 && process.messages.Find(9)->request.id == "old9");
      assert(process.messages.Find(1)->first_uncertain_attempt.has_value() == !torn &&
             !process.journal.is_new());
      assert(!disk.Exists(settings.format1_path));
    };
    FaultInjectingFileSystem clean = fresh;
    check(clean);
    const std::uint64_t calls = clean.calls();
    clean.Restart();
    check(clean);
    for (const Fault fault : {Fault::kCrash, Fault::kCrashAfter, Fault::kTorn}) {
      for (std::uint64_t at = 1; at <= calls; ++at) {  // the process ends while it takes over
        FaultInjectingFileSystem disk = fresh;
        disk.plan = [&](std::uint64_t call, std::string_view) {
          return Step{call == at ? fault : Fault::kNone, 0};
        };
        try {
          JournalProcess process(disk, clock, settings);
        } catch (const Crash&) {
        }
        disk.plan = nullptr;
        disk.Restart();
        check(disk);
      }
    }
  }
}

void NewerFormatIsRejected() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  AcceptThreeMessages(disk, clock, settings);
  disk.Restart();
  const std::string bytes = disk.Content(kFirstSegment);
  DecodedSegmentHeader decoded = *DecodeSegmentHeader(bytes);
  decoded.header.format = 3;
  disk.Put(kFirstSegment, EncodeSegmentHeader(decoded.header) + bytes.substr(decoded.size));
  std::string error_text = ErrorOf([&] { JournalProcess(disk, clock, settings); });
  assert(error_text.find("0000000000000001.seg") != error_text.npos &&
         error_text.find("format 3") != error_text.npos);
  disk.Restart();
  disk.Put(settings.folder + "/" + kManifestName, R"({"format":7})");
  error_text = ErrorOf([&] { JournalProcess(disk, clock, settings); });
  assert(error_text.find("format 7") != error_text.npos);
}

void SecondProcessIsLockedOutAndFirstIsFenced() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  JournalProcess first(disk, clock, settings);
  assert(first.Accept("a", 100) != nullptr);
  const std::string error_text = ErrorOf([&] { JournalProcess(disk, clock, settings); });
  assert(error_text.find("another process holds this journal") != error_text.npos);
  // The lock file was removed and made anew, so both have a lock. The older process notices and writes no
  // more.
  FaultInjectingFileSystem shared(disk);
  const Manifest newer = [&] {
    Manifest m = *ReadManifestFile(shared, settings.folder).manifest;
    m.epoch += 1;
    return m;
  }();
  assert(WriteManifest(disk, settings.folder, newer, false) == 0);
  Message& a = *first.messages.Find(1);
  for (int i = 0; i < 60 && !first.fenced; ++i) first.Accept("b" + std::to_string(i), 300);
  assert(first.fenced && !first.journal.is_writable() && first.Accept("c", 10) == nullptr);
  first.StartAttempt(a);
  assert(!first.journal.IsDurable(a));
}

// Copies the files of a process that was to continue with this journal and died.
void CopyChangedFiles(FaultInjectingFileSystem& disk, FaultInjectingFileSystem& other) {
  for (const std::string& name : other.List("/state/journal").value) {
    const std::string path = "/state/journal/" + name;
    if (!disk.Exists(path) || disk.Content(path) != other.Content(path)) disk.Put(path, other.Content(path));
  }
}

void ReclaimContinuesAfterASuccessorDied() {
  TestClock clock;
  for (const bool reserve : {false, true}) {
    JournalSettings settings = SmallJournal();
    settings.reserve_disk_space = reserve;
    FaultInjectingFileSystem disk;
    {
      JournalProcess old(disk, clock, settings);
      old.Accept("a", 40, 2);
      old.StartAttempt(*old.messages.Find(1));
      assert(old.journal.Reclaim() && old.journal.epoch() == 1);  // there is no successor
      for (const std::uint64_t epoch : {3, 5}) {                  // more than once
        FaultInjectingFileSystem other = disk;
        other.Restart();
        {
          const JournalProcess next(other, clock, settings);
          assert(next.journal.epoch() == epoch - 1);
        }
        CopyChangedFiles(disk, other);
        assert(old.journal.Reclaim() && old.journal.epoch() == epoch && old.journal.is_writable());
        assert(old.Accept("b" + std::to_string(epoch), 40) != nullptr && !old.fenced);
      }
      old.FinishAttempt(*old.messages.Find(1), Outcome::kRejected);  // continues the attempt before
      for (int i = 0; i < 100; ++i) old.Accept("more", 200);
      assert(old.messages.pending_count() > 20 && !old.fenced);
    }
    disk.Restart();
    const JournalProcess after(disk, clock, settings);
    assert(after.messages.pending_count() > 20 && !after.journal.report().is_damaged());
    assert(!after.messages.messages().at(1).first_uncertain_attempt &&
           after.messages.messages().at(1).attempts == 1);
  }
  // A successor that wrote more than the beginning of its epoch: records, or other classes.
  for (const bool classes : {false, true}) {
    FaultInjectingFileSystem disk;
    JournalSettings settings = SmallJournal();
    JournalProcess old(disk, clock, settings);
    old.Accept("a", 40, 2);
    FaultInjectingFileSystem other = disk;
    other.Restart();
    if (classes) std::swap(settings.class_names[0], settings.class_names[2]);
    {
      JournalProcess next(other, clock, settings);
      if (!classes) next.Accept("b", 40);
    }
    CopyChangedFiles(disk, other);
    assert(!old.journal.Reclaim());
  }
  // No space for another epoch.
  FaultInjectingFileSystem disk;
  JournalProcess old(disk, clock, SmallJournal());
  FaultInjectingFileSystem other = disk;
  other.Restart();
  { const JournalProcess next(other, clock, SmallJournal()); }
  CopyChangedFiles(disk, other);
  disk.capacity = disk.Used();
  assert(!old.journal.Reclaim());
}

void UnwritableFolderIsReported() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  for (const char* call : {"mkdir", "lock", "create", "append", "rename"}) {
    FaultInjectingFileSystem disk;
    disk.plan = [&](std::uint64_t, std::string_view what) {
      return Step{what == call ? Fault::kError : Fault::kNone, EROFS};
    };
    const std::string error_text = ErrorOf([&] { JournalProcess(disk, clock, settings); });
    assert(error_text.starts_with("/state/journal: ") && error_text.find("Read-only") != error_text.npos);
  }
}

// With a reserve, all accepted messages are completed although the disk is full; new ones are rejected until
// there is space.
void FullDiskRejectsOnlyNewMessages() {
  for (const bool reserve : {false, true}) {
    JournalSettings settings = SmallJournal();
    settings.reserve_disk_space = reserve;
    settings.disk_budget = 400'000;
    FaultInjectingFileSystem disk;
    TestClock clock;
    auto process = std::make_unique<JournalProcess>(disk, clock, settings);
    std::vector<Message*> all;
    for (int i = 0; i < 40; ++i) all.push_back(process->Accept("m" + std::to_string(i), 200, 2));
    disk.capacity = disk.Used();  // files of others
    int durable = 0;
    for (Message* m : all) {
      for (int call = 0; call < 5; ++call) {
        process->StartAttempt(*m);
        durable += process->journal.IsDurable(*m) ? 1 : 0;
        process->FinishAttempt(*m, Outcome::kRejected);
      }
      process->Complete(*m, FinalStatus::kFailed);
      durable += process->journal.IsDurable(*m) ? 1 : 0;
      if (reserve) process->AcknowledgeNotification(*m);
    }
    assert(process->journal.is_full() && process->Accept("new", 100) == nullptr);
    if (reserve) {
      assert(durable == 40 * 6 && process->journal.is_writable() && process->messages.size() == 0);
    } else {
      assert(durable < 40 && !process->journal.is_writable());
    }
    disk.capacity = UINT64_MAX;
    process->AdvanceTime(std::chrono::seconds(5));
    assert(!process->journal.is_full() && process->journal.is_writable() &&
           process->Accept("again", 100) != nullptr);
    const Descriptions known = DescribeAll(process->messages);
    process.reset();
    disk.Restart();
    assert(DescribeAll(JournalProcess(disk, clock, settings).messages) == known);
  }
}

void ClassesAreMappedByName() {
  JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    JournalProcess process(disk, clock, settings);
    for (int message_class = 0; message_class < 3; ++message_class)
      process.Accept("m" + std::to_string(message_class), 50, message_class);
  }
  settings.class_names = {"pagamento", "novo", "aviso"};
  for (int start = 0; start < 2; ++start) {
    disk.Restart();
    JournalProcess process(disk, clock, settings);
    assert(process.messages.Find(1)->request.message_class == 2 &&
           process.messages.Find(3)->request.message_class == 0);
    assert(process.messages.Find(2)->request.message_class == kNoClass);
  }
}

// What became of a snapshot's messages before it was restored is not known.
void MessagesOfARestoredSnapshotAreUncertain() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  AcceptThreeMessages(disk, clock, settings);
  disk.Restart();
  Manifest m = *ReadManifestFile(disk, settings.folder).manifest;
  m.unknown_from = 4'000'000'000;
  assert(WriteManifest(disk, settings.folder, m, true) == 0);
  for (int start = 0; start < 2; ++start) {
    disk.Restart();
    JournalProcess process(disk, clock, settings);
    for (std::uint64_t n = 1; n <= 3; ++n)
      assert(process.messages.Find(n)->first_uncertain_attempt == Time(0));
    if (start == 0) assert(process.Accept("new", 10) != nullptr);
    if (start == 1) assert(!process.messages.Find(4)->first_uncertain_attempt);
  }
}

void ClockContinuesAfterARestart() {
  SystemClock clock;
  const Timestamp now = clock.CurrentTimestamp();
  assert(clock.ContinueFrom({now.wall_time - std::chrono::hours(1), now.steady_time, now.boot_id}).amount ==
         Duration(0));
  // The wall clock was set back by an hour; 7 s passed on the steady clock.
  const auto correction = clock.ContinueFrom(
      {now.wall_time + std::chrono::hours(1), now.steady_time - std::chrono::seconds(7), now.boot_id});
  assert(correction.is_measured &&
         clock.Now() - now.wall_time >= std::chrono::hours(1) + std::chrono::seconds(7));
  SystemClock other;
  assert(!other.ContinueFrom({other.Now() + std::chrono::hours(1), Time(5), 0}).is_measured);
  // The journal's latest timestamp is that of the latest attempt.
  FaultInjectingFileSystem disk;
  TestClock test;
  const JournalSettings settings = SmallJournal();
  const Time begun = test.now;
  {
    JournalProcess process(disk, test, settings);
    Message& m = *process.Accept("a", 10);
    process.AdvanceTime(std::chrono::seconds(3));
    process.StartAttempt(m);
  }
  disk.Restart();
  JournalProcess process(disk, test, settings);
  const Timestamp last = process.journal.report().latest_timestamp;
  assert(last.wall_time == begun + std::chrono::seconds(3) && last.steady_time == last.wall_time &&
         last.boot_id == 9);
}

// With a segment size that leaves little of the budget, live messages still fit and compaction ends.
void SegmentSizeIsLimitedByTheBudget() {
  for (const std::uint64_t segment : {6'000, 14'000, 30'000, 90'000}) {
    JournalSettings settings = SmallJournal();
    settings.disk_budget = 50'000;
    settings.segment_bytes = segment;
    FaultInjectingFileSystem disk;
    TestClock clock;
    JournalProcess process(disk, clock, settings);
    boost::random::mt19937_64 random(segment);
    int names = 0, refused = 0;
    for (int i = 0; i < 3000; ++i) {
      refused += process.Accept("full" + std::to_string(i), 400) == nullptr ? 1 : 0;
      RunRandomStep(process, random, names);
      assert(process.journal.is_writable() && disk.Used() <= settings.disk_budget);
    }
    assert(refused > 0 && process.journal.counters().segments_dropped > 10);
  }
}

// An attempt interrupted by the end of a process may have run, whatever the outcome of a later one.
void InterruptedAttemptStaysUncertain() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    JournalProcess process(disk, clock, settings);
    process.StartAttempt(*process.Accept("a", 40, 1));
  }
  const Time cut = clock.now;
  for (int start = 0; start < 3; ++start) {
    disk.Restart();
    clock.now += std::chrono::seconds(1);
    JournalProcess process(disk, clock, settings);
    Message& m = *process.messages.Find(1);
    assert(m.first_uncertain_attempt == cut);
    process.StartAttempt(m);
    process.FinishAttempt(m, Outcome::kRejected);
  }
}

// Bytes of a client's body that look like a frame are not read as one.
void BodyCannotForgeARecord() {
  const JournalSettings settings = OneSegmentJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    JournalProcess process(disk, clock, settings);
    Message forged;
    forged.number = 99;
    forged.request.id = "forged";
    Message m;
    m.request.id = "a";
    m.request.body = EncodeFrame(EncodeState(forged, 1), 2, 0) + EncodeFrame(EncodeState(forged, 1), 2, 1);
    const Message& added = process.messages.Add(std::move(m));
    const Message* one[] = {&added};
    assert(process.journal.AppendAccepted(one));
  }
  disk.Restart();
  disk.FlipBit(kFirstSegment, FrameOffsets(disk.Content(kFirstSegment)).front() + kFrameBytes + 3, 0);
  JournalProcess process(disk, clock, settings);
  assert(process.messages.size() == 0);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  TornTailIsDiscardedAtAnyLength();
  DamageInTheMiddleLosesOnlyTheRecordsHit();
  MissingSegmentIsDamageAndLostManifestIsRebuilt();
  BatchIsRecoveredWholeOrNotAtAll();
  LongRecordsFillSegmentsWithinTheBudget();
  Format1LogIsMigratedThroughAnyCrash();
  NewerFormatIsRejected();
  SecondProcessIsLockedOutAndFirstIsFenced();
  ReclaimContinuesAfterASuccessorDied();
  UnwritableFolderIsReported();
  FullDiskRejectsOnlyNewMessages();
  ClassesAreMappedByName();
  MessagesOfARestoredSnapshotAreUncertain();
  ClockContinuesAfterARestart();
  SegmentSizeIsLimitedByTheBudget();
  InterruptedAttemptStaysUncertain();
  BodyCannotForgeARecord();
  std::puts("17 passed, 0 failed");
}
