// Tests of the journal on a file system that injects faults. A run of a random workload is repeated for each
// call of the file system: at that call the process crashes, or the call fails. The next process must recover
// everything that the journal had recorded.
#include "journal_world.h"

namespace sagetally {
namespace {

constexpr int kWorkloadSteps = 420;
constexpr std::uint64_t kMaxCallsPerStep = 150;  // upper bound of the file system calls of one step

// Returns whether the next step may make the call with this number. Describing all messages takes longer than
// a step, so the tests do it only if the next step may reach the call of the fault.
bool MayBeReached(const FaultInjectingFileSystem& disk, std::uint64_t call) {
  return disk.calls() + kMaxCallsPerStep >= call;
}

// The messages before and after the step in which a process ended.
struct KnownStates {
  Descriptions before;
  Descriptions after;
};

std::string DescriptionOf(const Descriptions& descriptions, std::uint64_t number) {
  const auto entry = descriptions.find(number);
  return entry == descriptions.end() ? "-" : entry->second;
}

// Prints which messages differ from the known ones, and fails. `fault` names the injected fault.
void FailWithDifference(const char* fault, std::uint64_t call, const Descriptions& found,
                        const KnownStates& known) {
  std::fprintf(stderr, "%s, call %llu\n", fault, static_cast<unsigned long long>(call));
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

void CheckRecovered(const char* fault, std::uint64_t call, const Descriptions& found,
                    const KnownStates& known) {
  if (found != known.before && found != known.after) FailWithDifference(fault, call, found, known);
}

// Returns a plan that injects the fault at one call.
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

// Runs the workload until the disk's plan crashes the process at call `call`. Returns nothing if the process
// does not crash.
std::optional<KnownStates> RunUntilCrash(FaultInjectingFileSystem& disk, TestClock& clock,
                                         const JournalSettings& settings, std::uint64_t seed,
                                         std::uint64_t call) {
  boost::random::mt19937_64 random(seed);
  int next_name = 0;
  KnownStates known;
  std::unique_ptr<JournalProcess> process;
  try {
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    for (int i = 0; i < kWorkloadSteps; ++i) {
      if (MayBeReached(disk, call)) known.before = DescribeAll(process->messages);
      const std::uint64_t calls = disk.calls();
      RunRandomStep(*process, random, next_name);
      assert(disk.calls() - calls < kMaxCallsPerStep);
    }
  } catch (const Crash&) {
    if (process) known.after = DescribeAll(process->messages);
    return known;
  }
  return std::nullopt;
}

// Recovers the journal and describes its messages. Returns nothing if the disk's plan crashes the process
// during the recovery.
std::optional<Descriptions> Recover(FaultInjectingFileSystem& disk, TestClock& clock,
                                    const JournalSettings& settings) {
  try {
    const JournalProcess process(disk, clock, settings);
    return DescribeAll(process.messages);
  } catch (const Crash&) {
    return std::nullopt;
  }
}

// The size of the workload.
struct Workload {
  std::uint64_t calls = 0;  // of the file system
  std::uint64_t segments_dropped = 0;
};

// Runs the whole workload without a fault.
Workload MeasureWorkload(const JournalSettings& settings, std::uint64_t seed) {
  FaultInjectingFileSystem disk;
  TestClock clock;
  boost::random::mt19937_64 random(seed);
  int next_name = 0;
  JournalProcess process(disk, clock, settings);
  for (int i = 0; i < kWorkloadSteps; ++i) RunRandomStep(process, random, next_name);
  assert(process.journal.counters().bytes_copied > 0 && process.journal.disk_bytes() <= settings.disk_budget);
  assert(disk.UsedBytes() <= settings.disk_budget);
  return {disk.calls(), process.journal.counters().segments_dropped};
}

// Crashes the process at each call of the recovery from `disk`. The recovery after that must find everything.
// Returns the number of crashes.
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
    CheckRecovered("crash during recovery", call, *found, known);
  }
  return crashes;
}

constexpr std::uint64_t kCrashSeed = 3;

void CrashAtAnyCallLosesNothing() {
  const JournalSettings settings = CrashTestJournal();
  const Workload workload = MeasureWorkload(settings, kCrashSeed);
  assert(workload.segments_dropped > 10);
  int crashes = 0;
  int crashes_in_recovery = 0;
  for (const Fault fault : {Fault::kCrash, Fault::kCrashAfter, Fault::kTornWrite}) {
    for (std::uint64_t call = 1; call <= workload.calls; ++call) {
      FaultInjectingFileSystem disk;
      TestClock clock;
      disk.plan = FaultAt(call, fault);
      const auto known = RunUntilCrash(disk, clock, settings, kCrashSeed, call);
      if (!known) continue;
      ++crashes;
      disk.plan = nullptr;
      disk.Restart();
      // For some calls, the process also crashes during the recovery, at each call of it.
      if (call % 97 == 0) {
        crashes_in_recovery += CrashDuringRecovery(disk, clock, settings, fault, call, *known);
      }
      const auto found = Recover(disk, clock, settings);
      assert(found);
      CheckRecovered("crash", call, *found, *known);
    }
  }
  std::printf("%d crashes at %llu file system calls (%llu segments dropped), %d during recovery\n", crashes,
              static_cast<unsigned long long>(workload.calls),
              static_cast<unsigned long long>(workload.segments_dropped), crashes_in_recovery);
  assert(crashes > 3 * 400 && crashes_in_recovery > 50);
}

// Starts a process. Returns null if the journal can't be opened because of an error.
std::unique_ptr<JournalProcess> TryStart(FaultInjectingFileSystem& disk, TestClock& clock,
                                         const JournalSettings& settings) {
  try {
    return std::make_unique<JournalProcess>(disk, clock, settings);
  } catch (const std::runtime_error&) {
    return nullptr;
  }
}

// An error that occurs at consecutive calls.
struct ErrorSpan {
  int error = 0;  // an errno value
  std::uint64_t first_call = 0;
  std::uint64_t calls = 0;
};

// Runs the workload with errors and then some time without. In the end all messages must be in the journal.
// Returns the number of steps after which the journal was unwritable, or nothing if the process did not
// start.
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
  int next_name = 0;
  int unwritable_steps = 0;
  for (int i = 0; i < kWorkloadSteps; ++i) {
    RunRandomStep(*process, random, next_name);
    unwritable_steps += process->journal.is_writable() ? 0 : 1;
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
  CheckRecovered("error", span.first_call, DescribeAll(next.messages), {known, known});
  assert(!next.journal.report().is_damaged());
  return unwritable_steps;
}

constexpr std::uint64_t kErrorSeed = 5;

// An error at any call must not stop the journal. Once the disk works again, all messages must be recorded.
void ErrorAtAnyCallLosesNothing() {
  const JournalSettings settings = CrashTestJournal();
  const Workload workload = MeasureWorkload(settings, kErrorSeed);
  int runs = 0;
  int unwritable_steps = 0;
  for (const int error : {EIO, ENOSPC, EINTR}) {
    for (const std::uint64_t failing_calls : {1, 6}) {
      for (std::uint64_t call = 1; call <= workload.calls; call += failing_calls == 1 ? 1 : 7) {
        const auto steps = RunWithErrors(settings, kErrorSeed, {error, call, failing_calls});
        if (!steps) continue;
        ++runs;
        unwritable_steps += *steps;
      }
    }
  }
  std::printf("%d runs with errors, %d steps while unwritable\n", runs, unwritable_steps);
  assert(runs > 2000 && unwritable_steps > 0);
}

// A process may crash while the calls of the file system still fail. Messages that were durable must be
// recovered.
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
    int next_name = 0;
    // The process crashes fewer than 30 steps after the first error.
    for (std::uint64_t steps_left = first_call % 30; steps_left > 0;
         steps_left -= disk.calls() >= first_call ? 1 : 0) {
      RunRandomStep(*process, random, next_name);
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
      FailWithDifference("crash during errors", first_call, found, {durable, durable});
    }
  }
  std::printf("%d crashes during errors, %d messages that were not durable\n", crashes, not_durable);
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

// Runs the workload until the disk's plan crashes the process at call `call`, or until an error ends its
// start. Returns the durable messages of the synced class before and after the last step.
KnownStates RunUntilPowerLoss(FaultInjectingFileSystem& disk, TestClock& clock,
                              const JournalSettings& settings, std::uint64_t call) {
  boost::random::mt19937_64 random(call % 7);
  int next_name = 0;
  KnownStates durable;
  std::unique_ptr<JournalProcess> process;
  try {
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    for (int i = 0; i < kWorkloadSteps; ++i) {
      if (MayBeReached(disk, call)) durable.before = DescribeDurableOfSyncedClass(*process);
      RunRandomStep(*process, random, next_name);
      if (MayBeReached(disk, call)) durable.after = DescribeDurableOfSyncedClass(*process);
    }
  } catch (const Crash&) {
    if (process) durable.after = DescribeDurableOfSyncedClass(*process);
  } catch (const std::runtime_error&) {  // a sync failed at start
    assert(!process);
  }
  return durable;
}

// Durable messages of a synced class must survive a loss of power, also after a sync has failed.
void SyncedMessagesSurviveALossOfPower() {
  JournalSettings settings = CrashTestJournal();
  settings.class_durability[kSyncedClass] = Durability::kSynced;
  int losses = 0;
  int failed_syncs = 0;
  for (std::uint64_t last_call = 10; last_call < 900; ++last_call) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    std::uint64_t syncs = 0;
    const std::uint64_t failing_sync =
        last_call % 3 == 0 ? last_call / 40 : 0;  // number of the sync; 0: none
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
      // A message that changed in the last step may be recovered as it was before or after the step.
      const std::string recovered = DescriptionOf(found, number);
      if (recovered == text || recovered == after->second) continue;
      FailWithDifference("loss of power", last_call, found, durable);
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
