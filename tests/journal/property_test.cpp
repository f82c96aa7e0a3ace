// Properties of the journal under random operations, faults and restarts.
#include <rapidcheck.h>

#include "journal/snapshot.h"
#include "journal_world.h"

namespace sagetally {
namespace {

// Several processes one after the other, each ended at a random call of the file system or between two; some
// meet an error before.
bool EachRunRecoversWhatWasKnown(std::uint64_t seed) {
  boost::random::mt19937_64 random(seed);
  const auto draw = [&](int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); };
  JournalSettings settings = SmallJournal();
  settings.disk_budget = static_cast<std::uint64_t>(50'000 + draw(100'000));
  settings.segment_bytes = static_cast<std::uint64_t>(2'000 + draw(12'000));
  settings.reserve_disk_space = draw(3) == 0 && settings.disk_budget > 100'000;
  FaultInjectingFileSystem disk;
  TestClock clock;
  Descriptions known;
  int names = 0;
  for (int run = 0; run < 4; ++run) {
    const std::uint64_t begun = disk.calls();
    const std::uint64_t end = begun + static_cast<std::uint64_t>(draw(900));
    const Fault fault =
        std::array{Fault::kCrash, Fault::kCrashAfter, Fault::kTorn}[static_cast<std::size_t>(draw(2))];
    const std::uint64_t error_at =
        draw(2) == 0 ? begun + 25 + static_cast<std::uint64_t>(draw(500)) : UINT64_MAX;
    const int error = draw(1) == 0 ? EIO : ENOSPC;
    disk.plan = [&, end, fault, error_at, error](std::uint64_t call, std::string_view) {
      if (call == end) return Step{fault, 0};
      return Step{call == error_at ? Fault::kError : Fault::kNone, error};
    };
    Descriptions before, after = known, found;
    std::unique_ptr<JournalProcess> process;
    bool all_durable = true;
    try {
      process = std::make_unique<JournalProcess>(disk, clock, settings);
      if (DescribeAll(process->messages) != known) return false;
      before = after = known;
      for (int i = 0; i < 300; ++i) {
        before = DescribeAll(process->messages);
        RunRandomStep(*process, random, names);
        after = DescribeAll(process->messages);
      }
    } catch (const Crash&) {
      if (process) after = DescribeAll(process->messages);
    } catch (const std::runtime_error&) {
      assert(!process && error_at != UINT64_MAX);  // the error came at start
    }
    if (process) {
      for (const auto& [number, m] : process->messages.messages())
        all_durable = all_durable && process->journal.IsDurable(m);
      all_durable = all_durable && process->journal.is_writable();
    } else {
      before = after = known;
    }
    process.reset();
    disk.plan = nullptr;
    disk.Restart();
    {
      JournalProcess next(disk, clock, settings);
      found = DescribeAll(next.messages);
    }
    disk.Restart();
    if (all_durable && found != before && found != after) return false;
    if (disk.Used() > settings.disk_budget) return false;
    known = found;
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
    int names = 0, left = 20;
    JournalProcess process(disk, clock, settings);
    std::vector<Descriptions> moments;
    for (int i = 0; i < 100; ++i) RunRandomStep(process, random, names);
    // Between any two of the snapshot's calls the node does some steps.
    bool is_stepping = false;
    disk.plan = [&](std::uint64_t, std::string_view) {
      if (!is_stepping && left > 0) {
        is_stepping = true;
        --left;
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
