// The real stages over a journal whose disk fills up or takes its time: nothing follows from what is not on
// record.
#include "whole_node.h"

namespace sagetally {
namespace {

constexpr int kPagamento = 2;

// The disk fills up just as a pagamento's attempt is to go on record: it is not called, new ones are refused,
// and all of it goes on by itself once there is room.
void AFullDiskHoldsBackTheCall() {
  const Config config = OneEndpoint();
  FaultInjectingFileSystem disk;
  TestClock clock;
  Whole node(disk, clock, config, SmallJournal());
  bool full = false;
  int appends = 0;
  disk.plan = [&](std::uint64_t, std::string_view what) {
    const bool fails = full && what == "append" && ++appends > 1;  // its taking still found room
    return Step{fails ? Fault::kError : Fault::kNone, ENOSPC};
  };
  full = true;
  node.Post(kPagamento, "p");
  assert(node.calls.empty() && !node.journal.is_writable() && node.ledger.pending_count() == 1);
  node.Post(kPagamento, "later");
  assert(node.answers.at("later").status == AdmissionStatus::kRejected);
  assert(node.answers.at("later").retry_after == std::chrono::seconds(1));
  node.Pass(std::chrono::seconds(2));
  assert(node.calls.empty() && node.told.empty());
  full = false;
  node.Pass(std::chrono::seconds(4));
  assert(node.journal.is_writable() && node.calls.size() == 1 &&
         node.answers.at("p").status == AdmissionStatus::kAccepted);
  assert(node.ledger.Find(node.calls[0].number)->first_uncertain_attempt == std::nullopt);
  node.Finish(Outcome::kOk);
  assert(node.ledger.size() == 0);
  node.Post(kPagamento, "again");
  assert(node.answers.at("again").status == AdmissionStatus::kAccepted && node.calls.size() == 1);
}

// It runs out of time meanwhile: its end is told once it is on record, and once.
void AnEndIsToldOnceItIsOnRecord() {
  const Config config = OneEndpoint();
  FaultInjectingFileSystem disk;
  TestClock clock;
  auto node = std::make_unique<Whole>(disk, clock, config, SmallJournal());
  node->Post(kPagamento, "p");
  assert(node->calls.size() == 1);
  disk.plan = [](std::uint64_t, std::string_view what) {
    return Step{what == "append" ? Fault::kError : Fault::kNone, ENOSPC};
  };
  node->Finish(Outcome::kReset);  // it may have run: its end is to be told
  node->Pass(std::chrono::seconds(9));
  assert(node->told.empty() && node->ledger.pending_count() == 0 && node->ledger.size() == 1);
  disk.plan = nullptr;
  node->Pass(std::chrono::seconds(4));
  assert(node->told.size() == 1);
  const std::uint64_t number = node->told.front();
  node->chain.completion_handler.OnNotificationAcknowledged(number);
  assert(node->ledger.size() == 0);
  node.reset();
  disk.Restart();
  node = std::make_unique<Whole>(disk, clock, config, SmallJournal());
  assert(node->ledger.size() == 0);
}

// Synced: answer, call and notice each wait for the disk; other classes don't.
void WhatIsSyncedWaitsForTheDisk() {
  const Config config = OneEndpoint();
  JournalSettings settings = SmallJournal();
  settings.class_durability[kPagamento] = Durability::kSynced;
  FaultInjectingFileSystem disk;
  TestClock clock;
  Whole node(disk, clock, config, settings);
  node.Post(0, "a");
  assert(node.answers.contains("a") && node.calls.size() == 1);
  node.Post(kPagamento, "p");
  assert(!node.answers.contains("p") && node.calls.size() == 1);
  node.Pass(settings.group_commit_delay);
  assert(node.syncs.size() == 1 && !node.answers.contains("p"));
  node.FinishSyncs();
  assert(node.answers.at("p").status == AdmissionStatus::kAccepted && node.calls.size() == 2);
  node.Finish(Outcome::kOk);
  node.Finish(Outcome::kReset);
  node.Pass(std::chrono::milliseconds(1));
  assert(node.told.empty());
  node.Pass(settings.group_commit_delay);
  node.FinishSyncs();
  assert(node.told.size() == 1);
  // A disk that takes longer than a choice stays fresh: the call is given back and chosen anew, never sent
  // late.
  node.Post(kPagamento, "slow");
  node.Pass(settings.group_commit_delay);
  clock.now += std::chrono::milliseconds(80);
  node.FinishSyncs();
  assert(node.calls.empty() || node.ledger.Find(node.calls[0].number)->attempts == 2);
  for (int i = 0; i < 4 && node.calls.empty(); ++i) {
    node.Pass(std::chrono::milliseconds(20));
    node.FinishSyncs();
  }
  assert(node.calls.size() == 1 && node.ledger.Find(node.calls[0].number)->attempts == 2);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  AFullDiskHoldsBackTheCall();
  AnEndIsToldOnceItIsOnRecord();
  WhatIsSyncedWaitsForTheDisk();
  std::puts("3 passed, 0 failed");
}
