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

// What was known before and after the step in which a process ended.
struct KnownStates {
  Descriptions before;
  Descriptions after;
};

std::string DescriptionOf(const Descriptions& descriptions, std::uint64_t number) {
  const auto entry = descriptions.find(number);
  return entry == descriptions.end() ? "-" : entry->second;
}

void FailWithDifference(const char* what, std::uint64_t call, const Descriptions& found,
                        const KnownStates& known) {
  std::fprintf(stderr, "%s, call %llu\n", what, static_cast<unsigned long long>(call));
  std::set<std::uint64_t> numbers;
  for (const Descriptions* descriptions : {&found, &known.before, &known.after}) {
    for (const auto& [number, text] : *descriptions) numbers.insert(number);
  }
  for (const std::uint64_t number : numbers) {
    const std::string text = DescriptionOf(found, number);
    const std::string before = DescriptionOf(known.before, number);
    const std::string after = DescriptionOf(known.after, number);
    if (text == before && text == after) continue;
    std::fprintf(stderr, "  %llu found '%s' before '%s' after '%s'\n",
                 static_cast<unsigned long long>(number), text.c_str(), before.c_str(), after.c_str());
  }
  assert(false);
}

void CheckRecovered(const char* what, std::uint64_t call, const Descriptions& found,
                    const KnownStates& known) {
  if (found != known.before && found != known.after) FailWithDifference(what, call, found, known);
}

// A plan by which one call has a fault.
auto FaultAt(std::uint64_t faulty_call, Fault fault) {
  return [faulty_call, fault](std::uint64_t call, std::string_view) {
    return Step{call == faulty_call ? fault : Fault::kNone, 0};
  };
}

JournalSettings CrashTestJournal() {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 60'000;
  return settings;
}

// Runs the workload until the plan ends the process at call `call`. None if it doesn't.
std::optional<KnownStates> RunUntilCrash(FaultInjectingFileSystem& disk, TestClock& clock,
                                         const JournalSettings& settings, std::uint64_t seed,
                                         std::uint64_t call) {
  boost::random::mt19937_64 random(seed);
  int names = 0;
  KnownStates known;
  std::unique_ptr<JournalProcess> process;
  try {
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    for (int i = 0; i < kSteps; ++i) {
      if (MayBeReached(disk, call)) known.before = DescribeAll(process->messages);
      const std::uint64_t calls = disk.calls();
      RunRandomStep(*process, random, names);
      assert(disk.calls() - calls < kMaxCallsPerStep);
    }
  } catch (const Crash&) {
    if (process) known.after = DescribeAll(process->messages);
    return known;
  }
  return std::nullopt;
}

// What one recovery finds; none if the plan ended the process during it.
std::optional<Descriptions> Recover(FaultInjectingFileSystem& disk, TestClock& clock,
                                    const JournalSettings& settings) {
  try {
    const JournalProcess process(disk, clock, settings);
    return DescribeAll(process.messages);
  } catch (const Crash&) {
    return std::nullopt;
  }
}

struct Workload {
  std::uint64_t calls = 0;
  std::uint64_t segments_dropped = 0;
};

// Runs the whole workload without a fault.
Workload MeasureWorkload(const JournalSettings& settings, std::uint64_t seed) {
  FaultInjectingFileSystem disk;
  TestClock clock;
  boost::random::mt19937_64 random(seed);
  int names = 0;
  JournalProcess process(disk, clock, settings);
  for (int i = 0; i < kSteps; ++i) RunRandomStep(process, random, names);
  assert(process.journal.counters().bytes_copied > 0 && process.journal.disk_bytes() <= settings.disk_budget);
  assert(disk.Used() <= settings.disk_budget);
  return {disk.calls(), process.journal.counters().segments_dropped};
}

// Ends the process at each call of the recovery from `disk`; the next recovery must find all. Gives how many
// crashes there were.
int CrashDuringRecovery(const FaultInjectingFileSystem& disk, TestClock& clock,
                        const JournalSettings& settings, Fault fault, std::uint64_t call,
                        const KnownStates& known) {
  int crashes = 0;
  for (std::uint64_t recovery_call = 1; recovery_call < 200; ++recovery_call) {
    FaultInjectingFileSystem copy = disk;
    copy.plan = FaultAt(disk.calls() + recovery_call, fault);
    if (Recover(copy, clock, settings)) break;
    ++crashes;
    copy.plan = nullptr;
    copy.Restart();
    const auto found = Recover(copy, clock, settings);
    assert(found);
    CheckRecovered("a crash within recovery", call, *found, known);
  }
  return crashes;
}

constexpr std::uint64_t kCrashSeed = 3;

void CrashAtAnyCallLosesNothing() {
  const JournalSettings settings = CrashTestJournal();
  const Workload workload = MeasureWorkload(settings, kCrashSeed);
  assert(workload.segments_dropped > 10);
  int crashes = 0;
  int within_recovery = 0;
  for (const Fault fault : {Fault::kCrash, Fault::kCrashAfter, Fault::kTorn}) {
    for (std::uint64_t call = 1; call <= workload.calls; ++call) {
      FaultInjectingFileSystem disk;
      TestClock clock;
      disk.plan = FaultAt(call, fault);
      const auto known = RunUntilCrash(disk, clock, settings, kCrashSeed, call);
      if (!known) continue;
      ++crashes;
      disk.plan = nullptr;
      disk.Restart();
      // Now and then the process ends during recovery, too, at each of its calls.
      if (call % 97 == 0) within_recovery += CrashDuringRecovery(disk, clock, settings, fault, call, *known);
      const auto found = Recover(disk, clock, settings);
      assert(found);
      CheckRecovered("a crash", call, *found, *known);
    }
  }
  std::printf("%d crashes over %llu calls of the disk (%llu segments dropped), %d within recovery\n", crashes,
              static_cast<unsigned long long>(workload.calls),
              static_cast<unsigned long long>(workload.segments_dropped), within_recovery);
  assert(crashes > 3 * 400 && within_recovery > 50);
}

// Starts a process; null if an error ends the program at start.
std::unique_ptr<JournalProcess> TryStart(FaultInjectingFileSystem& disk, TestClock& clock,
                                         const JournalSettings& settings) {
  try {
    return std::make_unique<JournalProcess>(disk, clock, settings);
  } catch (const std::runtime_error&) {
    return nullptr;
  }
}

// Errors of one kind at consecutive calls.
struct ErrorSpan {
  int error = 0;
  std::uint64_t first_call = 0;
  std::uint64_t calls = 0;
};

// Runs the workload with errors, then without; all must be on record in the end. Gives how many steps were
// taken while the journal was unwritable; none if the process did not start.
std::optional<int> RunWithErrors(const JournalSettings& settings, std::uint64_t seed, const ErrorSpan& span) {
  FaultInjectingFileSystem disk;
  TestClock clock;
  disk.plan = [&](std::uint64_t call, std::string_view name) {
    const bool fails = call >= span.first_call && call < span.first_call + span.calls &&
                       (span.error != EINTR || name == "append" || name == "read");
    return Step{fails ? Fault::kError : Fault::kNone, span.error};
  };
  std::unique_ptr<JournalProcess> process = TryStart(disk, clock, settings);
  if (!process) return std::nullopt;
  boost::random::mt19937_64 random(seed);
  int names = 0;
  int unwritable = 0;
  for (int i = 0; i < kSteps; ++i) {
    RunRandomStep(*process, random, names);
    unwritable += process->journal.is_writable() ? 0 : 1;
  }
  disk.plan = nullptr;
  process->AdvanceTime(std::chrono::seconds(10));
  assert(process->journal.is_writable() && !process->journal.is_full());
  for (const auto& [number, message] : process->messages.messages()) {
    assert(process->journal.IsDurable(message));
  }
  const Descriptions known = DescribeAll(process->messages);
  process.reset();
  disk.Restart();
  const JournalProcess next(disk, clock, settings);
  CheckRecovered("an error", span.first_call, DescribeAll(next.messages), {known, known});
  assert(!next.journal.report().is_damaged());
  return unwritable;
}

constexpr std::uint64_t kErrorSeed = 5;

// An error instead: the journal continues, and once the disk works again all is on record.
void ErrorAtAnyCallLosesNothing() {
  const JournalSettings settings = CrashTestJournal();
  const Workload workload = MeasureWorkload(settings, kErrorSeed);
  int runs = 0;
  int unwritable = 0;
  for (const int error : {EIO, ENOSPC, EINTR}) {
    for (const std::uint64_t lasting : {1, 6}) {
      for (std::uint64_t call = 1; call <= workload.calls; call += lasting == 1 ? 1 : 7) {
        const auto steps = RunWithErrors(settings, kErrorSeed, {error, call, lasting});
        if (!steps) continue;
        ++runs;
        unwritable += *steps;
      }
    }
  }
  std::printf("%d runs with errors, %d steps taken while unwritable\n", runs, unwritable);
  assert(runs > 2000 && unwritable > 0);
}

// The process ends while an error lasts: messages that were durable are recovered all the same.
void DurableMessagesSurviveACrashDuringErrors() {
  const JournalSettings settings = CrashTestJournal();
  int crashes = 0;
  int not_durable = 0;
  for (std::uint64_t first_call = 20; first_call < 700; first_call += 3) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    disk.plan = [&](std::uint64_t call, std::string_view name) {
      const bool fails = call >= first_call && name != "read" && name != "open";
      return Step{fails ? Fault::kError : Fault::kNone, first_call % 2 == 0 ? ENOSPC : EIO};
    };
    std::unique_ptr<JournalProcess> process = TryStart(disk, clock, settings);
    if (!process) continue;
    boost::random::mt19937_64 random(11);
    int names = 0;
    // The process ends some steps after the first error.
    for (std::uint64_t left = first_call % 30; left > 0; left -= disk.calls() >= first_call ? 1 : 0) {
      RunRandomStep(*process, random, names);
    }
    Descriptions durable = DescribeAll(process->messages);
    not_durable += static_cast<int>(std::erase_if(durable, [&](const auto& entry) {
      return !process->journal.IsDurable(*process->messages.Find(entry.first));
    }));
    disk.plan = nullptr;
    process.reset();
    disk.Restart();
    ++crashes;
    const JournalProcess next(disk, clock, settings);
    const Descriptions found = DescribeAll(next.messages);
    for (const auto& [number, text] : durable) {
      if (DescriptionOf(found, number) == text) continue;
      FailWithDifference("a crash under errors", first_call, found, {durable, durable});
    }
  }
  std::printf("%d crashes under errors, %d times a message was not durable\n", crashes, not_durable);
  assert(crashes > 200 && not_durable > 200);
}

constexpr int kSyncedClass = 2;

Descriptions DescribeDurableOfSyncedClass(JournalProcess& process) {
  Descriptions descriptions = DescribeAll(process.messages);
  std::erase_if(descriptions, [&](const auto& entry) {
    const Message& message = *process.messages.Find(entry.first);
    return message.request.message_class != kSyncedClass || !process.journal.IsDurable(message);
  });
  return descriptions;
}

// Runs the workload until the plan ends the process at call `call` or an error does. Gives which messages of
// the synced class were durable before and after its last step.
KnownStates RunUntilPowerLoss(FaultInjectingFileSystem& disk, TestClock& clock,
                              const JournalSettings& settings, std::uint64_t call) {
  boost::random::mt19937_64 random(call % 7);
  int names = 0;
  KnownStates durable;
  std::unique_ptr<JournalProcess> process;
  try {
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    for (int i = 0; i < kSteps; ++i) {
      if (MayBeReached(disk, call)) durable.before = DescribeDurableOfSyncedClass(*process);
      RunRandomStep(*process, random, names);
      if (MayBeReached(disk, call)) durable.after = DescribeDurableOfSyncedClass(*process);
    }
  } catch (const Crash&) {
    if (process) durable.after = DescribeDurableOfSyncedClass(*process);
  } catch (const std::runtime_error&) {  // a sync failed at start
    assert(!process);
  }
  return durable;
}

// Synced classes: durable messages survive a loss of power, also after a sync has failed.
void SyncedMessagesSurviveALossOfPower() {
  JournalSettings settings = CrashTestJournal();
  settings.class_durability[kSyncedClass] = Durability::kSynced;
  int losses = 0;
  int failed_syncs = 0;
  for (std::uint64_t last_call = 10; last_call < 900; ++last_call) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    std::uint64_t syncs = 0;
    const std::uint64_t failing_sync = last_call % 3 == 0 ? last_call / 40 : 0;  // 0: none
    disk.plan = [&](std::uint64_t call, std::string_view name) {
      if (name == "sync" && ++syncs == failing_sync) {
        ++failed_syncs;
        return Step{Fault::kError, EIO};
      }
      return Step{call >= last_call ? Fault::kCrash : Fault::kNone, 0};
    };
    const KnownStates durable = RunUntilPowerLoss(disk, clock, settings, last_call);
    disk.plan = nullptr;
    disk.LosePower();
    ++losses;
    const JournalProcess next(disk, clock, settings);
    const Descriptions found = DescribeAll(next.messages);
    for (const auto& [number, text] : durable.before) {
      const auto after = durable.after.find(number);
      if (after == durable.after.end()) continue;
      // A message that changed in the last step may be as before or as after it.
      const std::string recovered = DescriptionOf(found, number);
      if (recovered == text || recovered == after->second) continue;
      FailWithDifference("a loss of power", last_call, found, durable);
    }
  }
  std::printf("%d losses of power, %d syncs failed\n", losses, failed_syncs);
  assert(losses > 500 && failed_syncs > 20);
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
