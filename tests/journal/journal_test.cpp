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
  s.budget = 30'000'000;
  return s;
}

// Offsets at which the frames of a segment begin, and its end.
std::vector<std::size_t> Frames(const std::string& bytes) {
  SegmentHeader header;
  std::vector<std::size_t> at = {*ReadHeader(bytes, header)};
  while (at.back() < bytes.size()) {
    Reader in(std::string_view(bytes).substr(at.back(), 4));
    at.push_back(at.back() + kFrameBytes + in.Number<std::uint32_t>());
  }
  return at;
}

// Three messages, the first with a call out.
void Fill(FaultyFileSystem& disk, TestClock& clock, const JournalSettings& settings) {
  Life life(disk, clock, settings);
  for (const char* id : {"a", "b", "c"}) assert(life.Take(id, 40, 2) != nullptr);
  life.Attempt(*life.ledger.Find(1));
}

void ATornTailIsCutOffWhereverItWasTorn() {
  FaultyFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegment();
  Fill(whole, clock, settings);
  const std::string bytes = whole.Content(kFirst);
  const std::vector<std::size_t> frames = Frames(bytes);
  for (std::size_t cut = frames.front(); cut < bytes.size(); ++cut) {
    FaultyFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirst, bytes.substr(0, cut));
    Life life(disk, clock, settings);
    const auto kept = std::upper_bound(frames.begin(), frames.end(), cut) - frames.begin() - 1;
    assert(life.ledger.held() == std::min<long>(3, kept) && !life.journal.report().damaged());
    assert(kept == 0 || !life.ledger.Find(1)->may_have_run);
    assert((life.journal.report().unreadable_bytes == 0) == (cut == frames[static_cast<std::size_t>(kept)]));
  }
}

// One bit in the middle: what is sound on both sides is recovered, the rest set aside, and a message of which
// a record may be missing counts as one that may have run.
void DamageInTheMiddleCostsOnlyWhatItHit() {
  TestClock clock;
  const JournalSettings settings = OneSegment();
  FaultyFileSystem whole;
  {
    Life life(whole, clock, settings);
    Message& early = *life.Take("early", 40, 2);      // no record after the damage
    Message& through = *life.Take("through", 40, 2);  // records on both sides, none of its own missing
    life.Attempt(through);
    life.Take("hit", 40, 2);
    life.Outcome(through, Outcome::kFull);
    Message& late = *life.Take("late", 40, 2);
    life.Attempt(late);
    life.Outcome(late, Outcome::kFull);
    assert(early.number == 1 && through.number == 2 && late.number == 4);
  }
  const std::string bytes = whole.Content(kFirst);
  const std::vector<std::size_t> frames = Frames(bytes);
  for (std::size_t at = frames[3]; at < frames[4]; at += 3) {  // the state of "hit"
    FaultyFileSystem disk = whole;
    disk.Restart();
    disk.FlipBit(kFirst, at, static_cast<int>(at % 8));
    auto life = std::make_unique<Life>(disk, clock, settings);
    const ReplayReport& report = life->journal.report();
    assert(report.damaged() && report.missing.size() == 1 &&
           report.missing[0].to - report.missing[0].from == 1);
    assert(life->ledger.held() == 3 && life->ledger.Find(3) == nullptr);
    assert(life->ledger.Find(1)->may_have_run == Time(0));
    assert(!life->ledger.Find(2)->may_have_run && !life->ledger.Find(4)->may_have_run);
    int error = 0;
    int set_aside = 0;
    for (const std::string& name : disk.List(settings.folder, error)) {
      if (!name.starts_with("quarantine-")) continue;
      ++set_aside;
      assert(disk.Content(settings.folder + "/" + name).size() == frames[4] - frames[3]);
    }
    assert(set_aside == 1);
    // All that lives was copied and the damaged file dropped: the next start finds it whole, and remembers.
    life.reset();
    disk.Restart();
    life = std::make_unique<Life>(disk, clock, settings);
    assert(!life->journal.report().damaged() && life->ledger.Find(1)->may_have_run == Time(0));
    assert(!life->ledger.Find(2)->may_have_run);
  }
  // A record that is cut out whole leaves only the gap in the numbers.
  FaultyFileSystem disk = whole;
  disk.Restart();
  disk.CutOut(kFirst, frames[4], frames[5] - frames[4]);  // the outcome of "through"
  Life life(disk, clock, settings);
  assert(life.journal.report().missing.size() == 1 && life.journal.report().unreadable_bytes == 0);
  assert(life.ledger.held() == 4 && life.ledger.Find(2)->may_have_run && life.ledger.Find(1)->may_have_run);
}

void AMissingSegmentIsDamageAndALostManifestIsNot() {
  TestClock clock;
  JournalSettings settings = SmallJournal();
  FaultyFileSystem whole;
  {
    Life life(whole, clock, settings);
    for (int i = 0; i < 40; ++i) assert(life.Take("m" + std::to_string(i), 300) != nullptr);
    assert(life.journal.segments() > 4);
  }
  FaultyFileSystem disk = whole;
  disk.Restart();
  disk.Remove(settings.folder + "/" + SegmentName(3));
  {
    Life life(disk, clock, settings);
    assert(life.journal.report().damaged() && !life.journal.report().missing.empty());
    assert(life.ledger.held() > 20 && life.ledger.held() < 40);
  }
  FaultyFileSystem bare = whole;
  bare.Restart();
  bare.FlipBit(settings.folder + "/" + kManifestName, 20, 3);
  Life life(bare, clock, settings);
  assert(life.journal.report().manifest_lost && life.ledger.held() == 40 && life.journal.epoch() == 2);
}

void ABatchIsOnRecordWholeOrNotAtAll() {
  FaultyFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegment();
  {
    Life life(whole, clock, settings);
    assert(life.TakeBatch("e", 5, 200));
  }
  const std::string bytes = whole.Content(kFirst);
  const std::size_t begins = Frames(bytes).front();
  for (std::size_t cut = begins; cut <= bytes.size(); cut += cut + 40 < bytes.size() ? 17 : 1) {
    FaultyFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirst, bytes.substr(0, cut));
    Life life(disk, clock, settings);
    assert(life.ledger.held() == (cut == bytes.size() ? 5 : 0));
  }
}

void ALongRecordAtASegmentsEnd() {
  FaultyFileSystem disk;
  TestClock clock;
  JournalSettings settings = SmallJournal();
  settings.budget = 600'000;
  auto life = std::make_unique<Life>(disk, clock, settings);
  for (int i = 0; life->Take("m" + std::to_string(i), i % 3 == 0 ? 65'536 : 1'000) != nullptr; ++i) {
  }
  const int held = life->ledger.held();
  assert(held >= 7 && disk.Used() <= settings.budget);
  life.reset();
  disk.Restart();
  life = std::make_unique<Life>(disk, clock, settings);
  assert(life->ledger.held() == held && life->ledger.Find(1)->request.body.size() == 65'536);
}

void ALogOfTheOldFormIsTakenOver() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  for (const bool torn : {false, true}) {
    FaultyFileSystem fresh;
    fresh.Put(settings.legacy, LegacyLog(9, torn));
    const auto check = [&](FaultyFileSystem& disk) {
      Life life(disk, clock, settings);
      assert(life.ledger.held() == 9 && life.ledger.Find(9)->request.id == "old9");
      assert(life.ledger.Find(1)->may_have_run.has_value() == !torn && !life.journal.fresh());
      assert(!disk.Exists(settings.legacy));
    };
    FaultyFileSystem clean = fresh;
    check(clean);
    const std::uint64_t calls = clean.calls();
    clean.Restart();
    check(clean);
    for (const Fault fault : {Fault::kCrash, Fault::kCrashAfter, Fault::kTorn}) {
      for (std::uint64_t at = 1; at <= calls; ++at) {  // the process ends while it takes over
        FaultyFileSystem disk = fresh;
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
  FaultyFileSystem disk;
  Fill(disk, clock, settings);
  disk.Restart();
  SegmentHeader header;
  const std::string bytes = disk.Content(kFirst);
  const std::size_t size = *ReadHeader(bytes, header);
  header.format = 3;
  disk.Put(kFirst, HeaderBytes(header) + bytes.substr(size));
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
  FaultyFileSystem disk;
  Life first(disk, clock, settings);
  assert(first.Take("a", 100) != nullptr);
  const std::string why = Refusal([&] { Life(disk, clock, settings); });
  assert(why.find("another process holds this journal") != why.npos);
  // The lock's file was taken away and made anew: both have one. The older process notices and says no more.
  FaultyFileSystem shared(disk);
  const Manifest newer = [&] {
    int error = 0;
    Manifest m = *ReadManifestFile(shared, settings.folder, error);
    m.epoch += 1;
    return m;
  }();
  assert(WriteManifest(disk, settings.folder, newer, false) == 0);
  Message& a = *first.ledger.Find(1);
  for (int i = 0; i < 60 && !first.fenced; ++i) first.Take("b" + std::to_string(i), 300);
  assert(first.fenced && !first.journal.writable() && first.Take("c", 10) == nullptr);
  first.Attempt(a);
  assert(!first.journal.Safe(a));
}

// The files of one that was to go on with this journal, and died amid it.
void Overwrite(FaultyFileSystem& disk, FaultyFileSystem& other) {
  int error = 0;
  for (const std::string& name : other.List("/state/journal", error)) {
    const std::string path = "/state/journal/" + name;
    if (!disk.Exists(path) || disk.Content(path) != other.Content(path)) disk.Put(path, other.Content(path));
  }
}

void WhoSeesItsSuccessorDieTakesTheJournalBack() {
  TestClock clock;
  for (const bool reserve : {false, true}) {
    JournalSettings settings = SmallJournal();
    settings.reserve = reserve;
    FaultyFileSystem disk;
    {
      Life old(disk, clock, settings);
      old.Take("a", 40, 2);
      old.Attempt(*old.ledger.Find(1));
      assert(old.journal.TakeBack() && old.journal.epoch() == 1);  // nobody has begun anything
      for (const std::uint64_t epoch : {3, 5}) {                   // more than once
        FaultyFileSystem other = disk;
        other.Restart();
        {
          const Life next(other, clock, settings);
          assert(next.journal.epoch() == epoch - 1);
        }
        Overwrite(disk, other);
        assert(old.journal.TakeBack() && old.journal.epoch() == epoch && old.journal.writable());
        assert(old.Take("b" + std::to_string(epoch), 40) != nullptr && !old.fenced);
      }
      old.Outcome(*old.ledger.Find(1), Outcome::kFull);  // on from the record before
      for (int i = 0; i < 100; ++i) old.Take("more", 200);
      assert(old.ledger.held() > 20 && !old.fenced);
    }
    disk.Restart();
    const Life after(disk, clock, settings);
    assert(after.ledger.held() > 20 && !after.journal.report().damaged());
    assert(!after.ledger.messages().at(1).may_have_run && after.ledger.messages().at(1).attempts == 1);
  }
  // One that has written more than the beginning of its epoch: records, or under other classes.
  for (const bool classes : {false, true}) {
    FaultyFileSystem disk;
    JournalSettings settings = SmallJournal();
    Life old(disk, clock, settings);
    old.Take("a", 40, 2);
    FaultyFileSystem other = disk;
    other.Restart();
    if (classes) std::swap(settings.classes[0], settings.classes[2]);
    {
      Life next(other, clock, settings);
      if (!classes) next.Take("b", 40);
    }
    Overwrite(disk, other);
    assert(!old.journal.TakeBack());
  }
  // No room for one epoch more.
  FaultyFileSystem disk;
  Life old(disk, clock, SmallJournal());
  FaultyFileSystem other = disk;
  other.Restart();
  { const Life next(other, clock, SmallJournal()); }
  Overwrite(disk, other);
  disk.capacity = disk.Used();
  assert(!old.journal.TakeBack());
}

void AFolderThatCannotBeWrittenIsNamed() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  for (const char* call : {"mkdir", "lock", "create", "append", "rename"}) {
    FaultyFileSystem disk;
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
    settings.reserve = reserve;
    settings.budget = 400'000;
    FaultyFileSystem disk;
    TestClock clock;
    auto life = std::make_unique<Life>(disk, clock, settings);
    std::vector<Message*> all;
    for (int i = 0; i < 40; ++i) all.push_back(life->Take("m" + std::to_string(i), 200, 2));
    disk.capacity = disk.Used();  // somebody else's files
    int safe = 0;
    for (Message* m : all) {
      for (int call = 0; call < 5; ++call) {
        life->Attempt(*m);
        safe += life->journal.Safe(*m) ? 1 : 0;
        life->Outcome(*m, Outcome::kFull);
      }
      life->End(*m, End::kFailed);
      safe += life->journal.Safe(*m) ? 1 : 0;
      if (reserve) life->Told(*m);
    }
    assert(life->journal.full() && life->Take("new", 100) == nullptr);
    if (reserve) {
      assert(safe == 40 * 6 && life->journal.writable() && life->ledger.size() == 0);
    } else {
      assert(safe < 40 && !life->journal.writable());
    }
    disk.capacity = UINT64_MAX;
    life->Pass(std::chrono::seconds(5));
    assert(!life->journal.full() && life->journal.writable() && life->Take("again", 100) != nullptr);
    const View known = ViewOf(life->ledger);
    life.reset();
    disk.Restart();
    assert(ViewOf(Life(disk, clock, settings).ledger) == known);
  }
}

void ClassesAreKnownByTheirNames() {
  JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultyFileSystem disk;
  {
    Life life(disk, clock, settings);
    for (int cls = 0; cls < 3; ++cls) life.Take("m" + std::to_string(cls), 50, cls);
  }
  settings.classes = {"pagamento", "novo", "aviso"};
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
  FaultyFileSystem disk;
  Fill(disk, clock, settings);
  disk.Restart();
  int error = 0;
  Manifest m = *ReadManifestFile(disk, settings.folder, error);
  m.unknown_from = 4'000'000'000;
  assert(WriteManifest(disk, settings.folder, m, true) == 0);
  for (int start = 0; start < 2; ++start) {
    disk.Restart();
    Life life(disk, clock, settings);
    for (std::uint64_t n = 1; n <= 3; ++n) assert(life.ledger.Find(n)->may_have_run == Time(0));
    if (start == 0) assert(life.Take("new", 10) != nullptr);
    if (start == 1) assert(!life.ledger.Find(4)->may_have_run);
  }
}

void TheClockGoesOnOverARestart() {
  SystemClock clock;
  const Moment now = clock.Stamp();
  assert(clock.CarryOn({now.wall - std::chrono::hours(1), now.steady, now.boot}).by == Duration(0));
  // The wall's clock was set back by an hour; 7 s went by on the steady one.
  const auto carried =
      clock.CarryOn({now.wall + std::chrono::hours(1), now.steady - std::chrono::seconds(7), now.boot});
  assert(carried.measured && clock.Now() - now.wall >= std::chrono::hours(1) + std::chrono::seconds(7));
  SystemClock other;
  assert(!other.CarryOn({other.Now() + std::chrono::hours(1), Time(5), 0}).measured);
  // What the journal tells of its last moment: the latest attempt, by the steady clock of its process.
  FaultyFileSystem disk;
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
  const Moment last = life.journal.report().last_moment;
  assert(last.wall == begun + std::chrono::seconds(3) && last.steady == last.wall && last.boot == 9);
}

// A segment size that leaves little of the budget: what lives still fits, and compaction ends.
void SegmentsTooLargeForTheBudgetAreMadeSmaller() {
  for (const std::uint64_t segment : {6'000, 14'000, 30'000, 90'000}) {
    JournalSettings settings = SmallJournal();
    settings.budget = 50'000;
    settings.segment_bytes = segment;
    FaultyFileSystem disk;
    TestClock clock;
    Life life(disk, clock, settings);
    boost::random::mt19937_64 random(segment);
    int names = 0, refused = 0;
    for (int i = 0; i < 3000; ++i) {
      refused += life.Take("full" + std::to_string(i), 400) == nullptr ? 1 : 0;
      OneStep(life, random, names);
      assert(life.journal.writable() && disk.Used() <= settings.budget);
    }
    assert(refused > 0 && life.journal.counters().drops > 10);
  }
}

// A call that was cut off by the end of a process may have run, whatever came of a later one.
void ACallThatWasCutOffStaysOneThatMayHaveRun() {
  const JournalSettings settings = SmallJournal();
  TestClock clock;
  FaultyFileSystem disk;
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
    assert(m.may_have_run == cut);
    life.Attempt(m);
    life.Outcome(m, Outcome::kFull);
  }
}

// What looks like a frame within a client's body is none.
void ABodyCannotForgeARecord() {
  const JournalSettings settings = OneSegment();
  TestClock clock;
  FaultyFileSystem disk;
  {
    Life life(disk, clock, settings);
    Message forged;
    forged.number = 99;
    forged.request.id = "forged";
    Message m;
    m.request.id = "a";
    m.request.body = Framed(StateRecord(forged, 1), 2, 0) + Framed(StateRecord(forged, 1), 2, 1);
    const Message& added = life.ledger.Add(std::move(m));
    const Message* one[] = {&added};
    assert(life.journal.Taken(one));
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
