// The journal on a file system that fails: at each single call the process ends, or the call fails, and what
// was on record must be recovered.
#include "journal_world.h"

namespace sagetally {
namespace {

constexpr int kSteps = 420;
constexpr std::uint64_t kMaxCallsPerStep = 150;  // no step makes more

// Whether the next step may make this call. Describing all messages costs more than a step, so that is done
// only then.
bool MayBeReached(const FaultInjectingFileSystem& disk, std::uint64_t at) {
  return disk.calls() + kMaxCallsPerStep >= at;
}

bool IsEither(const Descriptions& found, const Descriptions& before, const Descriptions& after) {
  return found == before || found == after;
}

void FailWithDifference(const char* what, std::uint64_t call, const Descriptions& found,
                        const Descriptions& before, const Descriptions& after) {
  std::fprintf(stderr, "%s, call %llu\n", what, static_cast<unsigned long long>(call));
  const auto line = [](const Descriptions& descriptions, std::uint64_t number) {
    const auto at = descriptions.find(number);
    return at == descriptions.end() ? std::string("-") : at->second;
  };
  std::map<std::uint64_t, int> all;
  for (const Descriptions* descriptions : {&found, &before, &after}) {
    for (const auto& [number, text] : *descriptions) all[number] = 1;
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
// before and after the step in which it ended.
bool RunUntilCrash(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings,
                   std::uint64_t seed, std::uint64_t at, Descriptions& before, Descriptions& after) {
  boost::random::mt19937_64 random(seed);
  int names = 0;
  std::unique_ptr<JournalProcess> process;
  try {
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    for (int i = 0; i < kSteps; ++i) {
      if (MayBeReached(disk, at)) before = DescribeAll(process->messages);
      const std::uint64_t calls = disk.calls();
      RunRandomStep(*process, random, names);
      assert(disk.calls() - calls < kMaxCallsPerStep);
    }
  } catch (const Crash&) {
    if (process) after = DescribeAll(process->messages);
    return true;
  }
  return false;
}

// One recovery; true if the plan ended the process during it.
bool Recover(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings,
             Descriptions& found) {
  try {
    JournalProcess process(disk, clock, settings);
    found = DescribeAll(process.messages);
    return false;
  } catch (const Crash&) {
    return true;
  }
}

std::uint64_t CountCalls(const JournalSettings& settings, std::uint64_t seed, std::uint64_t* compactions) {
  FaultInjectingFileSystem disk;
  TestClock clock;
  boost::random::mt19937_64 random(seed);
  int names = 0;
  JournalProcess process(disk, clock, settings);
  for (int i = 0; i < kSteps; ++i) RunRandomStep(process, random, names);
  if (compactions != nullptr) *compactions = process.journal.counters().segments_dropped;
  assert(process.journal.counters().bytes_copied > 0 && process.journal.disk_bytes() <= settings.disk_budget);
  assert(disk.Used() <= settings.disk_budget);
  return disk.calls();
}

void CrashAtAnyCallLosesNothing() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  std::uint64_t drops = 0;
  const std::uint64_t calls = CountCalls(settings, 3, &drops);
  assert(drops > 10);
  int crashes = 0, within_recovery = 0;
  for (const Fault fault : {Fault::kCrash, Fault::kCrashAfter, Fault::kTorn}) {
    for (std::uint64_t at = 1; at <= calls; ++at) {
      FaultInjectingFileSystem disk;
      TestClock clock;
      Descriptions before, after, found;
      disk.plan = [&](std::uint64_t call, std::string_view) {
        return Step{call == at ? fault : Fault::kNone, 0};
      };
      if (!RunUntilCrash(disk, clock, settings, 3, at, before, after)) continue;
      ++crashes;
      disk.plan = nullptr;
      disk.Restart();
      // Now and then the process ends during recovery, too, at each of its calls.
      if (at % 97 == 0) {
        const std::uint64_t begun = disk.calls();
        for (std::uint64_t again = 1; again < 200; ++again) {
          FaultInjectingFileSystem copy = disk;
          copy.plan = [&](std::uint64_t call, std::string_view) {
            return Step{call == begun + again ? fault : Fault::kNone, 0};
          };
          if (!Recover(copy, clock, settings, found)) break;
          ++within_recovery;
          copy.plan = nullptr;
          copy.Restart();
          assert(!Recover(copy, clock, settings, found));
          if (!IsEither(found, before, after))
            FailWithDifference("a crash within recovery", at, found, before, after);
        }
      }
      assert(!Recover(disk, clock, settings, found));
      if (!IsEither(found, before, after)) FailWithDifference("a crash", at, found, before, after);
    }
  }
  std::printf("%d crashes over %llu calls of the disk (%llu segments dropped), %d within recovery\n", crashes,
              static_cast<unsigned long long>(calls), static_cast<unsigned long long>(drops),
              within_recovery);
  assert(crashes > 3 * 400 && within_recovery > 50);
}

// An error instead: the journal continues, and once the disk works again all is on record.
void ErrorAtAnyCallLosesNothing() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  const std::uint64_t calls = CountCalls(settings, 5, nullptr);
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
        std::unique_ptr<JournalProcess> process;
        try {
          process = std::make_unique<JournalProcess>(disk, clock, settings);
        } catch (const std::runtime_error&) {
          continue;  // at start an error ends the program
        }
        boost::random::mt19937_64 random(5);
        int names = 0;
        for (int i = 0; i < kSteps; ++i) {
          RunRandomStep(*process, random, names);
          unwritable += process->journal.is_writable() ? 0 : 1;
        }
        ++errors;
        disk.plan = nullptr;
        process->AdvanceTime(std::chrono::seconds(10));
        assert(process->journal.is_writable() && !process->journal.is_full());
        for (const auto& [number, m] : process->messages.messages()) assert(process->journal.IsDurable(m));
        const Descriptions known = DescribeAll(process->messages);
        process.reset();
        disk.Restart();
        JournalProcess next(disk, clock, settings);
        const Descriptions found = DescribeAll(next.messages);
        if (found != known) FailWithDifference("an error", at, found, known, known);
        assert(!next.journal.report().is_damaged());
      }
    }
  }
  std::printf("%d runs with errors, %d steps taken while unwritable\n", errors, unwritable);
  assert(errors > 2000 && unwritable > 0);
}

// The process ends while an error lasts: messages that were durable are recovered all the same.
void DurableMessagesSurviveACrashDuringErrors() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  int crashes = 0, not_durable = 0;
  for (std::uint64_t at = 20; at < 700; at += 3) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    disk.plan = [&](std::uint64_t call, std::string_view what) {
      const bool fails = call >= at && what != "read" && what != "open";
      return Step{fails ? Fault::kError : Fault::kNone, at % 2 == 0 ? ENOSPC : EIO};
    };
    boost::random::mt19937_64 random(11);
    int names = 0;
    std::unique_ptr<JournalProcess> process;
    try {
      process = std::make_unique<JournalProcess>(disk, clock, settings);
    } catch (const std::runtime_error&) {
      continue;
    }
    // The process ends some steps after the first error.
    for (std::uint64_t more = at % 30; more > 0; more -= disk.calls() >= at ? 1 : 0)
      RunRandomStep(*process, random, names);
    Descriptions durable;
    for (const auto& [number, text] : DescribeAll(process->messages)) {
      if (process->journal.IsDurable(*process->messages.Find(number))) {
        durable[number] = text;
      } else {
        ++not_durable;
      }
    }
    disk.plan = nullptr;
    process.reset();
    disk.Restart();
    ++crashes;
    JournalProcess next(disk, clock, settings);
    const Descriptions found = DescribeAll(next.messages);
    for (const auto& [number, text] : durable) {
      const auto recovered = found.find(number);
      if (recovered == found.end() || recovered->second != text)
        FailWithDifference("a crash under errors", at, found, durable, durable);
    }
  }
  std::printf("%d crashes under errors, %d times a message was not durable\n", crashes, not_durable);
  assert(crashes > 200 && not_durable > 200);
}

// Synced classes: durable messages survive a loss of power, also after a sync has failed.
void SyncedMessagesSurviveALossOfPower() {
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
      if (what == "sync" && sync_fails && ++syncs == at / 40) {
        ++failed;
        return Step{Fault::kError, EIO};
      }
      return Step{call >= at ? Fault::kCrash : Fault::kNone, 0};
    };
    boost::random::mt19937_64 random(at % 7);
    int names = 0;
    Descriptions durable_before, durable_after;
    std::unique_ptr<JournalProcess> process;
    const auto durable = [&] {
      Descriptions descriptions;
      for (const auto& [number, text] : DescribeAll(process->messages)) {
        const Message& m = *process->messages.Find(number);
        if (m.request.message_class == 2 && process->journal.IsDurable(m)) descriptions[number] = text;
      }
      return descriptions;
    };
    try {
      process = std::make_unique<JournalProcess>(disk, clock, settings);
      for (int i = 0; i < kSteps; ++i) {
        if (MayBeReached(disk, at)) durable_before = durable();
        RunRandomStep(*process, random, names);
        if (MayBeReached(disk, at)) durable_after = durable();
      }
    } catch (const Crash&) {
      if (process) durable_after = durable();
    } catch (const std::runtime_error&) {
    }
    process.reset();
    disk.plan = nullptr;
    disk.LosePower();
    ++losses;
    JournalProcess next(disk, clock, settings);
    const Descriptions found = DescribeAll(next.messages);
    for (const auto& [number, text] : durable_before) {
      const auto after = durable_after.find(number);
      const auto recovered = found.find(number);
      // A message that changed in the last step may be as before or as after it.
      if (after == durable_after.end()) continue;
      if (recovered == found.end() || (recovered->second != text && recovered->second != after->second)) {
        FailWithDifference("a loss of power", at, found, durable_before, durable_after);
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
  CrashAtAnyCallLosesNothing();
  ErrorAtAnyCallLosesNothing();
  DurableMessagesSurviveACrashDuringErrors();
  SyncedMessagesSurviveALossOfPower();
  std::puts("4 passed, 0 failed");
}
