// Property-based tests of the journal with random operations, faults and restarts.
#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include "journal/snapshot.h"
#include "journal_world.h"

namespace sagetally {
namespace {

using Random = boost::random::mt19937_64;

// Returns a random number from 0 to `max`.
int Draw(Random& random, int max) { return boost::random::uniform_int_distribution<int>(0, max)(random); }
std::uint64_t DrawCount(Random& random, int max) { return static_cast<std::uint64_t>(Draw(random, max)); }

JournalSettings DrawSettings(Random& random) {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 50'000 + DrawCount(random, 100'000);
  settings.segment_bytes = 2'000 + DrawCount(random, 12'000);
  settings.reserve_disk_space = Draw(random, 3) == 0 && settings.disk_budget > 100'000;
  return settings;
}

// Crashes the process at a call of the file system, if it makes that many calls. Another call may fail with
// an error.
struct FaultPlan {
  std::uint64_t last_call = 0;
  Fault fault = Fault::kNone;
  std::uint64_t failing_call = UINT64_MAX;
  int error = 0;

  Step operator()(std::uint64_t call, std::string_view) const {
    if (call == last_call) return Step{fault, 0};
    return Step{call == failing_call ? Fault::kError : Fault::kNone, error};
  }
};

constexpr std::array kCrashFaults = {Fault::kCrash, Fault::kCrashAfter, Fault::kTornWrite};

FaultPlan DrawPlan(Random& random, std::uint64_t calls_before) {
  FaultPlan plan;
  plan.last_call = calls_before + DrawCount(random, 900);
  plan.fault = kCrashFaults.at(DrawCount(random, 2));
  if (Draw(random, 2) == 0) plan.failing_call = calls_before + 25 + DrawCount(random, 500);
  plan.error = Draw(random, 1) == 0 ? EIO : ENOSPC;
  return plan;
}

// The result of running one process.
struct RunResult {
  Descriptions before;        // the messages before its last step
  Descriptions after;         // the messages after its last step
  bool recovered_all = true;  // whether it recovered all messages at its start
  bool all_durable = true;    // whether all messages were durable at its end
};

bool AllDurable(const JournalProcess& process) {
  const auto& messages = process.messages.messages();
  return process.journal.is_writable() &&
         std::all_of(messages.begin(), messages.end(),
                     [&](const auto& entry) { return process.journal.IsDurable(entry.second); });
}

// Runs one process until its plan crashes it, or for 300 steps.
RunResult RunProcess(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings,
                     const FaultPlan& plan, const Descriptions& known, Random& random, int& next_name) {
  RunResult result;
  result.before = known;
  result.after = known;
  disk.plan = plan;
  std::unique_ptr<JournalProcess> process;
  try {
    process = std::make_unique<JournalProcess>(disk, clock, settings);
    result.recovered_all = DescribeAll(process->messages) == known;
    for (int i = 0; result.recovered_all && i < 300; ++i) {
      result.before = DescribeAll(process->messages);
      RunRandomStep(*process, random, next_name);
      result.after = DescribeAll(process->messages);
    }
  } catch (const Crash&) {
    if (process) result.after = DescribeAll(process->messages);
  } catch (const std::runtime_error&) {
    assert(!process && plan.failing_call != UINT64_MAX);  // the error occurred at the start
  }
  result.all_durable = !process || AllDurable(*process);
  process.reset();
  disk.plan = nullptr;
  disk.Restart();
  return result;
}

// Runs several processes one after the other, each with its own plan. Returns whether each of them recovered
// all messages that the journal had recorded, and stayed within the disk budget.
bool EachRunRecoversAllMessages(std::uint64_t seed) {
  Random random(seed);
  const JournalSettings settings = DrawSettings(random);
  FaultInjectingFileSystem disk;
  TestClock clock;
  Descriptions known;
  int next_name = 0;
  for (int run = 0; run < 4; ++run) {
    const FaultPlan plan = DrawPlan(random, disk.calls());
    const RunResult result = RunProcess(disk, clock, settings, plan, known, random, next_name);
    if (!result.recovered_all) return false;
    known = DescribeAll(JournalProcess(disk, clock, settings).messages);
    disk.Restart();
    if (result.all_durable && known != result.before && known != result.after) return false;
    if (disk.UsedBytes() > settings.disk_budget) return false;
  }
  return true;
}

// A snapshot that is written while a node uses the journal must equal the journal between two steps of the
// node.
bool SnapshotEqualsTheJournalBetweenTwoSteps() {
  return rc::check("a snapshot equals the journal between two steps of the node", [](std::uint16_t seed) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    const JournalSettings settings = SmallJournal();
    boost::random::mt19937_64 random(seed);
    int next_name = 0;
    int interruptions_left = 20;
    JournalProcess process(disk, clock, settings);
    std::vector<Descriptions> states;
    for (int i = 0; i < 100; ++i) RunRandomStep(process, random, next_name);
    // The node runs 5 steps before each of the snapshot's first 20 calls.
    bool is_stepping = false;
    disk.plan = [&](std::uint64_t, std::string_view) {
      if (!is_stepping && interruptions_left > 0) {
        is_stepping = true;
        --interruptions_left;
        for (int i = 0; i < 5; ++i) {
          RunRandomStep(process, random, next_name);
          states.push_back(DescribeAll(process.messages));
        }
        is_stepping = false;
      }
      return Step{};
    };
    states.push_back(DescribeAll(process.messages));
    WriteSnapshot(disk, settings.folder, "/copy");
    disk.plan = nullptr;
    MessageTable messages;
    const ReplayReport report = ReplayLive(disk, "/copy", messages);
    RC_ASSERT(!report.is_damaged());
    RC_ASSERT(std::find(states.begin(), states.end(), DescribeAll(messages)) != states.end());
    // A snapshot that is restored elsewhere must have a later epoch and all pending messages, marked as
    // uncertain.
    RestoreSnapshot(disk, "/copy", "/other/journal", {});
    JournalSettings other = settings;
    other.folder = "/other/journal";
    JournalProcess restored(disk, clock, other);
    RC_ASSERT(restored.messages.pending_count() == messages.pending_count());
    RC_ASSERT(restored.journal.epoch() > process.journal.epoch());
    for (const auto& [number, message] : restored.messages.messages()) {
      RC_ASSERT(message.final_status != FinalStatus::kPending || message.first_uncertain_attempt == Time(0));
    }
    bool rejected = false;
    try {
      RestoreSnapshot(disk, "/copy", "/other/journal", {.replace = true});
    } catch (const std::runtime_error&) {
      rejected = true;  // `restored` has locked the journal
    }
    RC_ASSERT(rejected);
  });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  const bool holds = rc::check("each run recovers all messages after operations, faults and restarts",
                               [](std::uint32_t seed) { RC_ASSERT(EachRunRecoversAllMessages(seed)); });
  assert(holds);
  assert(SnapshotEqualsTheJournalBetweenTwoSteps());
  std::puts("2 passed, 0 failed");
}
