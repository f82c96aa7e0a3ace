// The journal on a disk that fails: after every single call of it the process ends, or the call fails, and
// what was on record must be known.
#include "journal_world.h"

namespace sagetally {
namespace {

constexpr int kSteps = 420;
constexpr std::uint64_t kCallsOfAStep = 150;  // no step makes more

// Looks only when the step that comes may be the one: a look costs more than the step.
bool Near(const FaultInjectingFileSystem& disk, std::uint64_t at) {
  return disk.calls() + kCallsOfAStep >= at;
}

bool IsWhole(const View& found, const View& before, const View& after) {
  return found == before || found == after;
}

void Differ(const char* what, std::uint64_t call, const View& found, const View& before, const View& after) {
  std::fprintf(stderr, "%s, call %llu\n", what, static_cast<unsigned long long>(call));
  const auto line = [](const View& view, std::uint64_t number) {
    const auto at = view.find(number);
    return at == view.end() ? std::string("-") : at->second;
  };
  std::map<std::uint64_t, int> all;
  for (const View* view : {&found, &before, &after}) {
    for (const auto& [number, text] : *view) all[number] = 1;
  }
  for (const auto& [number, one] : all) {
    if (line(found, number) == line(before, number) && line(found, number) == line(after, number)) continue;
    std::fprintf(stderr, "  %llu found '%s' before '%s' after '%s'\n",
                 static_cast<unsigned long long>(number), line(found, number).c_str(),
                 line(before, number).c_str(), line(after, number).c_str());
  }
  assert(false);
}

// Runs the workload until the plan ends the process; true if it did. `before` and `after`: what was known
// before the step that it ended in, and what that step made of it.
bool RunUntilCrash(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings,
                   std::uint64_t seed, std::uint64_t at, View& before, View& after) {
  boost::random::mt19937_64 random(seed);
  int names = 0;
  std::unique_ptr<Life> life;
  try {
    life = std::make_unique<Life>(disk, clock, settings);
    for (int i = 0; i < kSteps; ++i) {
      if (Near(disk, at)) before = ViewOf(life->ledger);
      const std::uint64_t calls = disk.calls();
      OneStep(*life, random, names);
      assert(disk.calls() - calls < kCallsOfAStep);
    }
  } catch (const Crash&) {
    if (life) after = ViewOf(life->ledger);
    return true;
  }
  return false;
}

// One recovery; true if the plan ended the process in it.
bool Recover(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings, View& found) {
  try {
    Life life(disk, clock, settings);
    found = ViewOf(life.ledger);
    return false;
  } catch (const Crash&) {
    return true;
  }
}

std::uint64_t CallsOf(const JournalSettings& settings, std::uint64_t seed, std::uint64_t* compactions) {
  FaultInjectingFileSystem disk;
  TestClock clock;
  boost::random::mt19937_64 random(seed);
  int names = 0;
  Life life(disk, clock, settings);
  for (int i = 0; i < kSteps; ++i) OneStep(life, random, names);
  if (compactions != nullptr) *compactions = life.journal.counters().segments_dropped;
  assert(life.journal.counters().bytes_copied > 0 && life.journal.disk_bytes() <= settings.disk_budget);
  assert(disk.Used() <= settings.disk_budget);
  return disk.calls();
}

void ACrashAfterEveryCallLeavesWhatWasKnown() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  std::uint64_t drops = 0;
  const std::uint64_t calls = CallsOf(settings, 3, &drops);
  assert(drops > 10);
  int crashes = 0, within_recovery = 0;
  for (const Fault fault : {Fault::kCrash, Fault::kCrashAfter, Fault::kTorn}) {
    for (std::uint64_t at = 1; at <= calls; ++at) {
      FaultInjectingFileSystem disk;
      TestClock clock;
      View before, after, found;
      disk.plan = [&](std::uint64_t call, std::string_view) {
        return Step{call == at ? fault : Fault::kNone, 0};
      };
      if (!RunUntilCrash(disk, clock, settings, 3, at, before, after)) continue;
      ++crashes;
      disk.plan = nullptr;
      disk.Restart();
      // Now and then the recovery ends too, at each of its calls.
      if (at % 97 == 0) {
        const std::uint64_t begun = disk.calls();
        for (std::uint64_t again = 1; again < 200; ++again) {
          FaultInjectingFileSystem twin = disk;
          twin.plan = [&](std::uint64_t call, std::string_view) {
            return Step{call == begun + again ? fault : Fault::kNone, 0};
          };
          if (!Recover(twin, clock, settings, found)) break;
          ++within_recovery;
          twin.plan = nullptr;
          twin.Restart();
          assert(!Recover(twin, clock, settings, found));
          if (!IsWhole(found, before, after)) Differ("a crash within recovery", at, found, before, after);
        }
      }
      assert(!Recover(disk, clock, settings, found));
      if (!IsWhole(found, before, after)) Differ("a crash", at, found, before, after);
    }
  }
  std::printf("%d crashes over %llu calls of the disk (%llu segments dropped), %d within recovery\n", crashes,
              static_cast<unsigned long long>(calls), static_cast<unsigned long long>(drops),
              within_recovery);
  assert(crashes > 3 * 400 && within_recovery > 50);
}

// An error instead: the journal goes on, and once the disk is well all is on record.
void AnErrorAtEveryCallLosesNothing() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  const std::uint64_t calls = CallsOf(settings, 5, nullptr);
  int errors = 0, unwritable = 0;
  for (const int error : {EIO, ENOSPC, EINTR}) {
    for (const int lasting : {1, 6}) {
      for (std::uint64_t at = 1; at <= calls; at += lasting == 1 ? 1 : 7) {
        FaultInjectingFileSystem disk;
        TestClock clock;
        disk.plan = [&](std::uint64_t call, std::string_view what) {
          const bool fails = call >= at && call < at + static_cast<std::uint64_t>(lasting) &&
                             (error != EINTR || what == "append" || what == "read");
          return Step{fails ? Fault::kError : Fault::kNone, error};
        };
        std::unique_ptr<Life> life;
        try {
          life = std::make_unique<Life>(disk, clock, settings);
        } catch (const std::runtime_error&) {
          continue;  // at the start an error is told and the program ends
        }
        boost::random::mt19937_64 random(5);
        int names = 0;
        for (int i = 0; i < kSteps; ++i) {
          OneStep(*life, random, names);
          unwritable += life->journal.is_writable() ? 0 : 1;
        }
        ++errors;
        disk.plan = nullptr;
        life->Pass(std::chrono::seconds(10));
        assert(life->journal.is_writable() && !life->journal.is_full());
        for (const auto& [number, m] : life->ledger.messages()) assert(life->journal.IsDurable(m));
        const View known = ViewOf(life->ledger);
        life.reset();
        disk.Restart();
        Life next(disk, clock, settings);
        const View found = ViewOf(next.ledger);
        if (found != known) Differ("an error", at, found, known, known);
        assert(!next.journal.report().is_damaged());
      }
    }
  }
  std::printf("%d runs with errors, %d steps taken while unwritable\n", errors, unwritable);
  assert(errors > 2000 && unwritable > 0);
}

// While an error lasts the process ends: what was called safe is known all the same.
void WhatIsSafeOutlastsAnErrorAndACrash() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  int crashes = 0, unsafe = 0;
  for (std::uint64_t at = 20; at < 700; at += 3) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    disk.plan = [&](std::uint64_t call, std::string_view what) {
      const bool fails = call >= at && what != "read" && what != "open";
      return Step{fails ? Fault::kError : Fault::kNone, at % 2 == 0 ? ENOSPC : EIO};
    };
    boost::random::mt19937_64 random(11);
    int names = 0;
    std::unique_ptr<Life> life;
    try {
      life = std::make_unique<Life>(disk, clock, settings);
    } catch (const std::runtime_error&) {
      continue;
    }
    // It ends some steps after the first error.
    for (std::uint64_t more = at % 30; more > 0; more -= disk.calls() >= at ? 1 : 0)
      OneStep(*life, random, names);
    View safe;
    for (const auto& [number, text] : ViewOf(life->ledger)) {
      if (life->journal.IsDurable(*life->ledger.Find(number))) {
        safe[number] = text;
      } else {
        ++unsafe;
      }
    }
    disk.plan = nullptr;
    life.reset();
    disk.Restart();
    ++crashes;
    Life next(disk, clock, settings);
    const View found = ViewOf(next.ledger);
    for (const auto& [number, text] : safe) {
      const auto is = found.find(number);
      if (is == found.end() || is->second != text) Differ("a crash under errors", at, found, safe, safe);
    }
  }
  std::printf("%d crashes under errors, %d times a message was not safe\n", crashes, unsafe);
  assert(crashes > 200 && unsafe > 200);
}

// Synced: what was safe outlasts the machine's power; a sync that fails is never trusted.
void WhatIsSyncedOutlastsTheMachinesPower() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  settings.class_durability[2] = Durability::kSynced;
  int losses = 0, failed = 0;
  for (std::uint64_t at = 10; at < 900; ++at) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    std::uint64_t syncs = 0;
    const bool sync_fails = at % 3 == 0;
    disk.plan = [&](std::uint64_t call, std::string_view what) {
      if (what == "sync" && sync_fails && ++syncs == at / 40) return ++failed, Step{Fault::kError, EIO};
      return Step{call >= at ? Fault::kCrash : Fault::kNone, 0};
    };
    boost::random::mt19937_64 random(at % 7);
    int names = 0;
    View safe_before, safe_after;
    std::unique_ptr<Life> life;
    const auto safe = [&] {
      View view;
      for (const auto& [number, text] : ViewOf(life->ledger)) {
        const Message& m = *life->ledger.Find(number);
        if (m.request.message_class == 2 && life->journal.IsDurable(m)) view[number] = text;
      }
      return view;
    };
    try {
      life = std::make_unique<Life>(disk, clock, settings);
      for (int i = 0; i < kSteps; ++i) {
        if (Near(disk, at)) safe_before = safe();
        OneStep(*life, random, names);
        if (Near(disk, at)) safe_after = safe();
      }
    } catch (const Crash&) {
      if (life) safe_after = safe();
    } catch (const std::runtime_error&) {
    }
    life.reset();
    disk.plan = nullptr;
    disk.LosePower();
    ++losses;
    Life next(disk, clock, settings);
    const View found = ViewOf(next.ledger);
    for (const auto& [number, text] : safe_before) {
      const auto after = safe_after.find(number);
      const auto is = found.find(number);
      // A message that moved on in the last step may stand as it was or as it became.
      if (after == safe_after.end()) continue;
      if (is == found.end() || (is->second != text && is->second != after->second)) {
        Differ("a loss of power", at, found, safe_before, safe_after);
      }
    }
  }
  std::printf("%d losses of power, %d syncs failed\n", losses, failed);
  assert(losses > 500 && failed > 20);
}

}  // namespace
}  // namespace sagetally

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  using namespace sagetally;
  ACrashAfterEveryCallLeavesWhatWasKnown();
  AnErrorAtEveryCallLosesNothing();
  WhatIsSafeOutlastsAnErrorAndACrash();
  WhatIsSyncedOutlastsTheMachinesPower();
  std::puts("4 passed, 0 failed");
}
