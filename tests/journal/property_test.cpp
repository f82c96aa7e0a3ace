// Any interleaving of operations, faults and restarts leaves what a small reference says.
#include <rapidcheck.h>

#include "journal/snapshot.h"
#include "journal_world.h"

namespace sagetally {
namespace {

// A run of several lives, each ended at a drawn call of the disk or between two; now and then an error comes
// before.
bool Holds(std::uint64_t seed) {
  boost::random::mt19937_64 random(seed);
  const auto draw = [&](int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); };
  JournalSettings settings = SmallJournal();
  settings.disk_budget = static_cast<std::uint64_t>(50'000 + draw(100'000));
  settings.segment_bytes = static_cast<std::uint64_t>(2'000 + draw(12'000));
  settings.reserve_disk_space = draw(3) == 0 && settings.disk_budget > 100'000;
  FaultInjectingFileSystem disk;
  TestClock clock;
  View known;
  int names = 0;
  for (int lives = 0; lives < 4; ++lives) {
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
    View before, after = known, found;
    std::unique_ptr<Life> life;
    bool all_safe = true;
    try {
      life = std::make_unique<Life>(disk, clock, settings);
      if (ViewOf(life->ledger) != known) return false;
      before = after = known;
      for (int i = 0; i < 300; ++i) {
        before = ViewOf(life->ledger);
        OneStep(*life, random, names);
        after = ViewOf(life->ledger);
      }
    } catch (const Crash&) {
      if (life) after = ViewOf(life->ledger);
    } catch (const std::runtime_error&) {
      assert(!life && error_at != UINT64_MAX);  // the error came as it began
    }
    if (life) {
      for (const auto& [number, m] : life->ledger.messages())
        all_safe = all_safe && life->journal.IsDurable(m);
      all_safe = all_safe && life->journal.is_writable();
    } else {
      before = after = known;
    }
    life.reset();
    disk.plan = nullptr;
    disk.Restart();
    {
      Life next(disk, clock, settings);
      found = ViewOf(next.ledger);
    }
    disk.Restart();
    if (all_safe && found != before && found != after) return false;
    if (disk.Used() > settings.disk_budget) return false;
    known = found;
  }
  return true;
}

// A snapshot taken while a node writes is the journal as it stood at one of its steps.
bool ASnapshotIsOneMoment() {
  return rc::check("a snapshot is one moment", [](std::uint16_t seed) {
    FaultInjectingFileSystem disk;
    TestClock clock;
    const JournalSettings settings = SmallJournal();
    boost::random::mt19937_64 random(seed);
    int names = 0, left = 20;
    Life life(disk, clock, settings);
    std::vector<View> moments;
    for (int i = 0; i < 100; ++i) OneStep(life, random, names);
    // Between any two of the snapshot's calls the node goes on.
    bool inside = false;
    disk.plan = [&](std::uint64_t, std::string_view) {
      if (!inside && left > 0) {
        inside = true;
        --left;
        for (int i = 0; i < 5; ++i) {
          OneStep(life, random, names);
          moments.push_back(ViewOf(life.ledger));
        }
        inside = false;
      }
      return Step{};
    };
    moments.push_back(ViewOf(life.ledger));
    WriteSnapshot(disk, settings.folder, "/copy");
    disk.plan = nullptr;
    MessageTable ledger;
    const ReplayReport report = ReplayLive(disk, "/copy", ledger);
    RC_ASSERT(!report.is_damaged());
    RC_ASSERT(std::find(moments.begin(), moments.end(), ViewOf(ledger)) != moments.end());
    // Put back elsewhere: everything that was held is there, under a later epoch, and may have run.
    RestoreSnapshot(disk, "/copy", "/other/journal", {});
    JournalSettings other = settings;
    other.folder = "/other/journal";
    Life restored(disk, clock, other);
    RC_ASSERT(restored.ledger.pending_count() == ledger.pending_count());
    RC_ASSERT(restored.journal.epoch() > life.journal.epoch());
    for (const auto& [number, m] : restored.ledger.messages()) {
      RC_ASSERT(m.final_status != FinalStatus::kPending || m.first_uncertain_attempt == Time(0));
    }
    bool refused = false;
    try {
      RestoreSnapshot(disk, "/copy", "/other/journal", {.replace = true});
    } catch (const std::runtime_error&) {
      refused = true;  // a process holds it
    }
    RC_ASSERT(refused);
  });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  const bool holds = rc::check("operations, faults and restarts leave what was known",
                               [](std::uint32_t seed) { RC_ASSERT(Holds(seed)); });
  assert(holds);
  assert(ASnapshotIsOneMoment());
  std::puts("2 passed, 0 failed");
}
