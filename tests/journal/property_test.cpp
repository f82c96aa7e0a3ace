// Properties of the journal under random operations, faults and restarts.
#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include "journal/snapshot.h"
#include "journal_world.h"

namespace sagetally {
namespace {

using Random = boost::random::mt19937_64;

// From 0 to `max`.
int Draw(Random& random, int max) { return boost::random::uniform_int_distribution<int>(0, max)(random); }
std::uint64_t DrawCount(Random& random, int max) { return static_cast<std::uint64_t>(Draw(random, max)); }

JournalSettings DrawSettings(Random& random) {
  JournalSettings settings = SmallJournal();
  settings.disk_budget = 50'000 + DrawCount(random, 100'000);
  settings.segment_bytes = 2'000 + DrawCount(random, 12'000);
  settings.reserve_disk_space = Draw(random, 3) == 0 && settings.disk_budget > 100'000;
  return settings;
}

// The process ends at a random call of the file system, if it makes so many; sometimes a call fails before.
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

constexpr std::array kEnds = {Fault::kCrash, Fault::kCrashAfter, Fault::kTorn};

FaultPlan DrawPlan(Random& random, std::uint64_t calls_before) {
  FaultPlan plan;
  plan.last_call = calls_before + DrawCount(random, 900);
  plan.fault = kEnds.at(DrawCount(random, 2));
  if (Draw(random, 2) == 0) plan.failing_call = calls_before + 25 + DrawCount(random, 500);
  plan.error = Draw(random, 1) == 0 ? EIO : ENOSPC;
  return plan;
}

// How one process ended.
struct RunResult {
  Descriptions before;  // what was known before its last step
  Descriptions after;   // ... and after it
  bool recovered_all = true;
  bool all_durable = true;
};

bool AllDurable(const JournalProcess& process) {
  const auto& messages = process.messages.messages();
  return process.journal.is_writable() &&
         std::all_of(messages.begin(), messages.end(),
                     [&](const auto& entry) { return process.journal.IsDurable(entry.second); });
}

// Runs one process until its plan ends it, or for 300 steps.
RunResult RunProcess(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings,
                     const FaultPlan& plan, const Descriptions& known, Random& random, int& names) {
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
      RunRandomStep(*process, random, names);
      result.after = DescribeAll(process->messages);
    }
  } catch (const Crash&) {
    if (process) result.after = DescribeAll(process->messages);
  } catch (const std::runtime_error&) {
    assert(!process && plan.failing_call != UINT64_MAX);  // the error came at start
  }
  result.all_durable = !process || AllDurable(*process);
  process.reset();
  disk.plan = nullptr;
  disk.Restart();
  return result;
}

// Several processes one after the other, each with a plan of its own.
bool EachRunRecoversWhatWasKnown(std::uint64_t seed) {
  Random random(seed);
  const JournalSettings settings = DrawSettings(random);
  FaultInjectingFileSystem disk;
  TestClock clock;
  Descriptions known;
  int names = 0;
  for (int run = 0; run < 4; ++run) {
    const FaultPlan plan = DrawPlan(random, disk.calls());
    const RunResult result = RunProcess(disk, clock, settings, plan, known, random, names);
    if (!result.recovered_all) return false;
    known = DescribeAll(JournalProcess(disk, clock, settings).messages);
    disk.Restart();
    if (result.all_durable && known != result.before && known != result.after) return false;
    if (disk.Used() > settings.disk_budget) return false;
  }
  return true;
}

// A snapshot taken while a node writes is the journal as it was between two of its steps.
bool SnapshotIsOneMoment() {
  return rc::check("a snapshot is one moment", [](std::uint16_t seed) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    const JournalSettings settings = SmallJournal();
    boost::random::mt19937_64 random(seed);
    int names = 0;
    int interruptions_left = 20;
    JournalProcess process(disk, clock, settings);
    std::vector<Descriptions> moments;
    for (int i = 0; i < 100; ++i) RunRandomStep(process, random, names);
    // Between any two of the snapshot's calls the node does some steps.
    bool is_stepping = false;
    disk.plan = [&](std::uint64_t, std::string_view) {
      if (!is_stepping && interruptions_left > 0) {
        is_stepping = true;
        --interruptions_left;
        for (int i = 0; i < 5; ++i) {
          RunRandomStep(process, random, names);
          moments.push_back(DescribeAll(process.messages));
        }
        is_stepping = false;
      }
      return Step{};
    };
    moments.push_back(DescribeAll(process.messages));
    WriteSnapshot(disk, settings.folder, "/copy");
    disk.plan = nullptr;
    MessageTable messages;
    const ReplayReport report = ReplayLive(disk, "/copy", messages);
    RC_ASSERT(!report.is_damaged());
    RC_ASSERT(std::find(moments.begin(), moments.end(), DescribeAll(messages)) != moments.end());
    // Restored elsewhere, all pending messages are there, under a later epoch, and uncertain.
    RestoreSnapshot(disk, "/copy", "/other/journal", {});
    JournalSettings other = settings;
    other.folder = "/other/journal";
    JournalProcess restored(disk, clock, other);
    RC_ASSERT(restored.messages.pending_count() == messages.pending_count());
    RC_ASSERT(restored.journal.epoch() > process.journal.epoch());
    for (const auto& [number, m] : restored.messages.messages()) {
      RC_ASSERT(m.final_status != FinalStatus::kPending || m.first_uncertain_attempt == Time(0));
    }
    bool rejected = false;
    try {
      RestoreSnapshot(disk, "/copy", "/other/journal", {.replace = true});
    } catch (const std::runtime_error&) {
      rejected = true;  // a process has it locked
    }
    RC_ASSERT(rejected);
  });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  const bool holds = rc::check("operations, faults and restarts leave what was known",
                               [](std::uint32_t seed) { RC_ASSERT(EachRunRecoversWhatWasKnown(seed)); });
  assert(holds);
  assert(SnapshotIsOneMoment());
  std::puts("2 passed, 0 failed");
}
