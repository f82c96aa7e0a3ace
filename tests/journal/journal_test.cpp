// The journal case by case: torn and damaged files, batches, old and new formats, two processes, full disks,
// clocks.
#include <functional>

#include "base/byte_codec.h"
#include "format1_log.h"
#include "journal/format1_reader.h"
#include "journal_world.h"

namespace sagetally {
namespace {

constexpr char kFirst[] = "/state/journal/0000000000000001.seg";

std::string Refusal(const std::function<void()>& call) {
  try {
    call();
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

JournalSettings OneSegment() {
  JournalSettings s = SmallJournal();
  s.segment_bytes = 1'000'000;
  s.disk_budget = 30'000'000;
  return s;
}

// Offsets at which the frames of a segment begin, and its end.
std::vector<std::size_t> Frames(const std::string& bytes) {
  std::vector<std::size_t> at = {DecodeSegmentHeader(bytes)->size};
  while (at.back() < bytes.size()) {
    ByteReader in(std::string_view(bytes).substr(at.back(), 4));
    at.push_back(at.back() + kFrameBytes + in.ReadNumber<std::uint32_t>());
  }
  return at;
}

// Three messages, the first with a call out.
void Fill(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings) {
  Life life(disk, clock, settings);
  for (const char* id : {"a", "b", "c"}) assert(life.Take(id, 40, 2) != nullptr);
  life.Attempt(*life.ledger.Find(1));
}

void ATornTailIsCutOffWhereverItWasTorn() {
  FaultInjectingFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegment();
  Fill(whole, clock, settings);
  const std::string bytes = whole.Content(kFirst);
  const std::vector<std::size_t> frames = Frames(bytes);
  for (std::size_t cut = frames.front(); cut < bytes.size(); ++cut) {
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirst, bytes.substr(0, cut));
    Life life(disk, clock, settings);
    const auto kept = std::upper_bound(frames.begin(), frames.end(), cut) - frames.begin() - 1;
    assert(life.ledger.pending_count() == std::min<long>(3, kept) && !life.journal.report().is_damaged());
    assert(kept == 0 || !life.ledger.Find(1)->first_uncertain_attempt);
    assert((life.journal.report().unreadable_bytes == 0) == (cut == frames[static_cast<std::size_t>(kept)]));
  }
}

// One bit in the middle: what is sound on both sides is recovered, the rest set aside, and a message of which
// a record may be missing counts as one that may have run.
void DamageInTheMiddleCostsOnlyWhatItHit() {
  TestClock clock;
  const JournalSettings settings = OneSegment();
  FaultInjectingFileSystem whole;
  {
    Life life(whole, clock, settings);
    Message& early = *life.Take("early", 40, 2);      // no record after the damage
    Message& through = *life.Take("through", 40, 2);  // records on both sides, none of its own missing
    life.Attempt(through);
    life.Take("hit", 40, 2);
    life.Outcome(through, Outcome::kRejected);
    Message& late = *life.Take("late", 40, 2);
    life.Attempt(late);
    life.Outcome(late, Outcome::kRejected);
    assert(early.number == 1 && through.number == 2 && late.number == 4);
  }
  const std::string bytes = whole.Content(kFirst);
  const std::vector<std::size_t> frames = Frames(bytes);
  for (std::size_t at = frames[3]; at < frames[4]; at += 3) {  // the state of "hit"
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.FlipBit(kFirst, at, static_cast<int>(at % 8));
    auto life = std::make_unique<Life>(disk, clock, settings);
    const ReplayReport& report = life->journal.report();
    assert(report.is_damaged() && report.missing.size() == 1 &&
           report.missing[0].to - report.missing[0].from == 1);
    assert(life->ledger.pending_count() == 3 && life->ledger.Find(3) == nullptr);
    assert(life->ledger.Find(1)->first_uncertain_attempt == Time(0));
    assert(!life->ledger.Find(2)->first_uncertain_attempt && !life->ledger.Find(4)->first_uncertain_attempt);
    int set_aside = 0;
    for (const std::string& name : disk.List(settings.folder).value) {
      if (!name.starts_with("quarantine-")) continue;
      ++set_aside;
      assert(disk.Content(settings.folder + "/" + name).size() == frames[4] - frames[3]);
    }
    assert(set_aside == 1);
    // All that lives was copied and the damaged file dropped: the next start finds it whole, and remembers.
    life.reset();
    disk.Restart();
    life = std::make_unique<Life>(disk, clock, settings);
    assert(!life->journal.report().is_damaged() && life->ledger.Find(1)->first_uncertain_attempt == Time(0));
    assert(!life->ledger.Find(2)->first_uncertain_attempt);
  }
  // A record that is cut out whole leaves only the gap in the numbers.
  FaultInjectingFileSystem disk = whole;
  disk.Restart();
  disk.EraseBytes(kFirst, frames[4], frames[5] - frames[4]);  // the outcome of "through"
  Life life(disk, clock, settings);
  assert(life.journal.report().missing.size() == 1 && life.journal.report().unreadable_bytes == 0);
  assert(life.ledger.pending_count() == 4 && life.ledger.Find(2)->first_uncertain_attempt &&
         life.ledger.Find(1)->first_uncertain_attempt);
}

void AMissingSegmentIsDamageAndALostManifestIsNot() {
  TestClock clock;
  JournalSettings settings = SmallJournal();
  FaultInjectingFileSystem whole;
  {
    Life life(whole, clock, settings);
    for (int i = 0; i < 40; ++i) assert(life.Take("m" + std::to_string(i), 300) != nullptr);
    assert(life.journal.segments() > 4);
  }
  FaultInjectingFileSystem disk = whole;
  disk.Restart();
  disk.Remove(settings.folder + "/" + SegmentName(3));
  {
    Life life(disk, clock, settings);
    assert(life.journal.report().is_damaged() && !life.journal.report().missing.empty());
    assert(life.ledger.pending_count() > 20 && life.ledger.pending_count() < 40);
  }
  FaultInjectingFileSystem bare = whole;
  bare.Restart();
  bare.FlipBit(settings.folder + "/" + kManifestName, 20, 3);
  Life life(bare, clock, settings);
  assert(life.journal.report().manifest_lost && life.ledger.pending_count() == 40 &&
         life.journal.epoch() == 2);
}

void ABatchIsOnRecordWholeOrNotAtAll() {
  FaultInjectingFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegment();
  {
    Life life(whole, clock, settings);
    assert(life.TakeBatch("e", 5, 200));
  }
  const std::string bytes = whole.Content(kFirst);
  const std::size_t begins = Frames(bytes).front();
  for (std::size_t cut = begins; cut <= bytes.size(); cut += cut + 40 < bytes.size() ? 17 : 1) {
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirst, bytes.substr(0, cut));
    Life life(disk, clock, settings);
    assert(life.ledger.pending_count() == (cut == bytes.size() ? 5 : 0));
  }
}

void ALongRecordAtASegmentsEnd() {
  FaultInjectingFileSystem disk;
  TestClock clock;
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 600'000;
  auto life = std::make_unique<Life>(disk, clock, settings);
  for (int i = 0; life->Take("m" + std::to_string(i), i % 3 == 0 ? 65'536 : 1'000) != nullptr; ++i) {
  }
  const int held = life->ledger.pending_count();
  assert(held >= 7 && disk.Used() <= settings.disk_budget);
  life.reset();
  disk.Restart();
  life = std::make_unique<Life>(disk, clock, settings);
  assert(life->ledger.pending_count() == held && life->ledger.Find(1)->request.body.size() == 65'536);
}

void ALogOfTheOldFormIsTakenOver() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  for (const bool torn : {false, true}) {
    FaultInjectingFileSystem fresh;
    fresh.Put(settings.format1_path, LegacyLog(9, torn));
    const auto check = [&](FaultInjectingFileSystem& disk) {
      Life life(disk, clock, settings);
      assert(life.ledger.pending_count() == 9 && life.ledger.Find(9)->request.id == "old9");
      assert(life.ledger.Find(1)->first_uncertain_attempt.has_value() == !torn && !life.journal.is_new());
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
          Life life(disk, clock, settings);
        } catch (const Crash&) {
        }
        disk.plan = nullptr;
        disk.Restart();
        check(disk);
      }
    }
  }
}

void ANewerFormatIsRefusedByName() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  Fill(disk, clock, settings);
  disk.Restart();
  const std::string bytes = disk.Content(kFirst);
  DecodedSegmentHeader decoded = *DecodeSegmentHeader(bytes);
  decoded.header.format = 3;
  disk.Put(kFirst, EncodeSegmentHeader(decoded.header) + bytes.substr(decoded.size));
  std::string why = Refusal([&] { Life(disk, clock, settings); });
  assert(why.find("0000000000000001.seg") != why.npos && why.find("format 3") != why.npos);
  disk.Restart();
  disk.Put(settings.folder + "/" + kManifestName, R"({"format":7})");
  why = Refusal([&] { Life(disk, clock, settings); });
  assert(why.find("format 7") != why.npos);
}

void OnlyOneProcessHoldsAJournal() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  Life first(disk, clock, settings);
  assert(first.Take("a", 100) != nullptr);
  const std::string why = Refusal([&] { Life(disk, clock, settings); });
  assert(why.find("another process holds this journal") != why.npos);
  // The lock's file was taken away and made anew: both have one. The older process notices and says no more.
  FaultInjectingFileSystem shared(disk);
  const Manifest newer = [&] {
    Manifest m = *ReadManifestFile(shared, settings.folder).manifest;
    m.epoch += 1;
    return m;
  }();
  assert(WriteManifest(disk, settings.folder, newer, false) == 0);
  Message& a = *first.ledger.Find(1);
  for (int i = 0; i < 60 && !first.fenced; ++i) first.Take("b" + std::to_string(i), 300);
  assert(first.fenced && !first.journal.is_writable() && first.Take("c", 10) == nullptr);
  first.Attempt(a);
  assert(!first.journal.IsDurable(a));
}

// The files of one that was to go on with this journal, and died amid it.
void Overwrite(FaultInjectingFileSystem& disk, FaultInjectingFileSystem& other) {
  for (const std::string& name : other.List("/state/journal").value) {
    const std::string path = "/state/journal/" + name;
    if (!disk.Exists(path) || disk.Content(path) != other.Content(path)) disk.Put(path, other.Content(path));
  }
}

void WhoSeesItsSuccessorDieTakesTheJournalBack() {
  TestClock clock;
  for (const bool reserve : {false, true}) {
    JournalSettings settings = SmallJournal();
    settings.reserve_disk_space = reserve;
    FaultInjectingFileSystem disk;
    {
      Life old(disk, clock, settings);
      old.Take("a", 40, 2);
      old.Attempt(*old.ledger.Find(1));
      assert(old.journal.Reclaim() && old.journal.epoch() == 1);  // nobody has begun anything
      for (const std::uint64_t epoch : {3, 5}) {                  // more than once
        FaultInjectingFileSystem other = disk;
        other.Restart();
        {
          const Life next(other, clock, settings);
          assert(next.journal.epoch() == epoch - 1);
        }
        Overwrite(disk, other);
        assert(old.journal.Reclaim() && old.journal.epoch() == epoch && old.journal.is_writable());
        assert(old.Take("b" + std::to_string(epoch), 40) != nullptr && !old.fenced);
      }
      old.Outcome(*old.ledger.Find(1), Outcome::kRejected);  // on from the record before
      for (int i = 0; i < 100; ++i) old.Take("more", 200);
      assert(old.ledger.pending_count() > 20 && !old.fenced);
    }
    disk.Restart();
    const Life after(disk, clock, settings);
    assert(after.ledger.pending_count() > 20 && !after.journal.report().is_damaged());
    assert(!after.ledger.messages().at(1).first_uncertain_attempt &&
           after.ledger.messages().at(1).attempts == 1);
  }
  // One that has written more than the beginning of its epoch: records, or under other classes.
  for (const bool classes : {false, true}) {
    FaultInjectingFileSystem disk;
    JournalSettings settings = SmallJournal();
    Life old(disk, clock, settings);
    old.Take("a", 40, 2);
    FaultInjectingFileSystem other = disk;
    other.Restart();
    if (classes) std::swap(settings.class_names[0], settings.class_names[2]);
    {
      Life next(other, clock, settings);
      if (!classes) next.Take("b", 40);
    }
    Overwrite(disk, other);
    assert(!old.journal.Reclaim());
  }
  // No room for one epoch more.
  FaultInjectingFileSystem disk;
  Life old(disk, clock, SmallJournal());
  FaultInjectingFileSystem other = disk;
  other.Restart();
  { const Life next(other, clock, SmallJournal()); }
  Overwrite(disk, other);
  disk.capacity = disk.Used();
  assert(!old.journal.Reclaim());
}

void AFolderThatCannotBeWrittenIsNamed() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  for (const char* call : {"mkdir", "lock", "create", "append", "rename"}) {
    FaultInjectingFileSystem disk;
    disk.plan = [&](std::uint64_t, std::string_view what) {
      return Step{what == call ? Fault::kError : Fault::kNone, EROFS};
    };
    const std::string why = Refusal([&] { Life(disk, clock, settings); });
    assert(why.starts_with("/state/journal: ") && why.find("Read-only") != why.npos);
  }
}

// With a reserve, all that was taken ends although the disk is full; nothing new is taken until there is room
// again.
void AFullDiskStopsOnlyWhatIsNew() {
  for (const bool reserve : {false, true}) {
    JournalSettings settings = SmallJournal();
    settings.reserve_disk_space = reserve;
    settings.disk_budget = 400'000;
    FaultInjectingFileSystem disk;
    TestClock clock;
    auto life = std::make_unique<Life>(disk, clock, settings);
    std::vector<Message*> all;
    for (int i = 0; i < 40; ++i) all.push_back(life->Take("m" + std::to_string(i), 200, 2));
    disk.capacity = disk.Used();  // somebody else's files
    int safe = 0;
    for (Message* m : all) {
      for (int call = 0; call < 5; ++call) {
        life->Attempt(*m);
        safe += life->journal.IsDurable(*m) ? 1 : 0;
        life->Outcome(*m, Outcome::kRejected);
      }
      life->End(*m, FinalStatus::kFailed);
      safe += life->journal.IsDurable(*m) ? 1 : 0;
      if (reserve) life->Told(*m);
    }
    assert(life->journal.is_full() && life->Take("new", 100) == nullptr);
    if (reserve) {
      assert(safe == 40 * 6 && life->journal.is_writable() && life->ledger.size() == 0);
    } else {
      assert(safe < 40 && !life->journal.is_writable());
    }
    disk.capacity = UINT64_MAX;
    life->Pass(std::chrono::seconds(5));
    assert(!life->journal.is_full() && life->journal.is_writable() && life->Take("again", 100) != nullptr);
    const View known = ViewOf(life->ledger);
    life.reset();
    disk.Restart();
    assert(ViewOf(Life(disk, clock, settings).ledger) == known);
  }
}

void ClassesAreKnownByTheirNames() {
  JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    Life life(disk, clock, settings);
    for (int cls = 0; cls < 3; ++cls) life.Take("m" + std::to_string(cls), 50, cls);
  }
  settings.class_names = {"pagamento", "novo", "aviso"};
  for (int start = 0; start < 2; ++start) {
    disk.Restart();
    Life life(disk, clock, settings);
    assert(life.ledger.Find(1)->request.message_class == 2 &&
           life.ledger.Find(3)->request.message_class == 0);
    assert(life.ledger.Find(2)->request.message_class == kNoClass);
  }
}

// After a snapshot is restored: what came of its messages since is not known.
void WhatARestoredSnapshotHoldsMayHaveRun() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  Fill(disk, clock, settings);
  disk.Restart();
  Manifest m = *ReadManifestFile(disk, settings.folder).manifest;
  m.unknown_from = 4'000'000'000;
  assert(WriteManifest(disk, settings.folder, m, true) == 0);
  for (int start = 0; start < 2; ++start) {
    disk.Restart();
    Life life(disk, clock, settings);
    for (std::uint64_t n = 1; n <= 3; ++n) assert(life.ledger.Find(n)->first_uncertain_attempt == Time(0));
    if (start == 0) assert(life.Take("new", 10) != nullptr);
    if (start == 1) assert(!life.ledger.Find(4)->first_uncertain_attempt);
  }
}

void TheClockGoesOnOverARestart() {
  SystemClock clock;
  const Timestamp now = clock.CurrentTimestamp();
  assert(clock.ContinueFrom({now.wall_time - std::chrono::hours(1), now.steady_time, now.boot_id}).amount ==
         Duration(0));
  // The wall's clock was set back by an hour; 7 s went by on the steady one.
  const auto carried = clock.ContinueFrom(
      {now.wall_time + std::chrono::hours(1), now.steady_time - std::chrono::seconds(7), now.boot_id});
  assert(carried.is_measured &&
         clock.Now() - now.wall_time >= std::chrono::hours(1) + std::chrono::seconds(7));
  SystemClock other;
  assert(!other.ContinueFrom({other.Now() + std::chrono::hours(1), Time(5), 0}).is_measured);
  // What the journal tells of its last moment: the latest attempt, by the steady clock of its process.
  FaultInjectingFileSystem disk;
  TestClock test;
  const JournalSettings settings = SmallJournal();
  const Time begun = test.now;
  {
    Life life(disk, test, settings);
    Message& m = *life.Take("a", 10);
    life.Pass(std::chrono::seconds(3));
    life.Attempt(m);
  }
  disk.Restart();
  Life life(disk, test, settings);
  const Timestamp last = life.journal.report().latest_timestamp;
  assert(last.wall_time == begun + std::chrono::seconds(3) && last.steady_time == last.wall_time &&
         last.boot_id == 9);
}

// A segment size that leaves little of the budget: what lives still fits, and compaction ends.
void SegmentsTooLargeForTheBudgetAreMadeSmaller() {
  for (const std::uint64_t segment : {6'000, 14'000, 30'000, 90'000}) {
    JournalSettings settings = SmallJournal();
    settings.disk_budget = 50'000;
    settings.segment_bytes = segment;
    FaultInjectingFileSystem disk;
    TestClock clock;
    Life life(disk, clock, settings);
    boost::random::mt19937_64 random(segment);
    int names = 0, refused = 0;
    for (int i = 0; i < 3000; ++i) {
      refused += life.Take("full" + std::to_string(i), 400) == nullptr ? 1 : 0;
      OneStep(life, random, names);
      assert(life.journal.is_writable() && disk.Used() <= settings.disk_budget);
    }
    assert(refused > 0 && life.journal.counters().segments_dropped > 10);
  }
}

// A call that was cut off by the end of a process may have run, whatever came of a later one.
void ACallThatWasCutOffStaysOneThatMayHaveRun() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    Life life(disk, clock, settings);
    life.Attempt(*life.Take("a", 40, 1));
  }
  const Time cut = clock.now;
  for (int start = 0; start < 3; ++start) {
    disk.Restart();
    clock.now += std::chrono::seconds(1);
    Life life(disk, clock, settings);
    Message& m = *life.ledger.Find(1);
    assert(m.first_uncertain_attempt == cut);
    life.Attempt(m);
    life.Outcome(m, Outcome::kRejected);
  }
}

// What looks like a frame within a client's body is none.
void ABodyCannotForgeARecord() {
  const JournalSettings settings = OneSegment();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    Life life(disk, clock, settings);
    Message forged;
    forged.number = 99;
    forged.request.id = "forged";
    Message m;
    m.request.id = "a";
    m.request.body = EncodeFrame(EncodeState(forged, 1), 2, 0) + EncodeFrame(EncodeState(forged, 1), 2, 1);
    const Message& added = life.ledger.Add(std::move(m));
    const Message* one[] = {&added};
    assert(life.journal.AppendAccepted(one));
  }
  disk.Restart();
  disk.FlipBit(kFirst, Frames(disk.Content(kFirst)).front() + kFrameBytes + 3, 0);
  Life life(disk, clock, settings);
  assert(life.ledger.size() == 0);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  ATornTailIsCutOffWhereverItWasTorn();
  DamageInTheMiddleCostsOnlyWhatItHit();
  AMissingSegmentIsDamageAndALostManifestIsNot();
  ABatchIsOnRecordWholeOrNotAtAll();
  ALongRecordAtASegmentsEnd();
  ALogOfTheOldFormIsTakenOver();
  ANewerFormatIsRefusedByName();
  OnlyOneProcessHoldsAJournal();
  WhoSeesItsSuccessorDieTakesTheJournalBack();
  AFolderThatCannotBeWrittenIsNamed();
  AFullDiskStopsOnlyWhatIsNew();
  ClassesAreKnownByTheirNames();
  WhatARestoredSnapshotHoldsMayHaveRun();
  TheClockGoesOnOverARestart();
  SegmentsTooLargeForTheBudgetAreMadeSmaller();
  ACallThatWasCutOffStaysOneThatMayHaveRun();
  ABodyCannotForgeARecord();
  std::puts("17 passed, 0 failed");
}
