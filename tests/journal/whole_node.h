// The real stages, module and journal as one node, on the disk in memory and a clock of the test's own.
#ifndef SAGETALLY_TESTS_JOURNAL_WHOLE_NODE_H_
#define SAGETALLY_TESTS_JOURNAL_WHOLE_NODE_H_

#include "../app/world.h"
#include "admin/metrics.h"
#include "journal_world.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {

struct Whole : Caller, Teller, Host, JournalHost {
  Whole(FaultyFileSystem& disk, TestClock& clock, const Config& config, const JournalSettings& settings,
        std::function<void(const Message&)> on_told = {})
      : clock(clock),
        on_told(std::move(on_told)),
        journal(disk, settings, ledger, clock, log, *this),
        figures(config.site.classes),
        chain(config.site, 1, ledger, journal, *this, *this, *this, clock, nullptr, &figures) {
    chain.route.Listed(config.known);
    chain.Resume();
  }
  void Call(const CallOrder& order) override { calls.push_back(order); }
  void Cancel(std::uint64_t) override {}
  void Recall(std::uint64_t) override {}
  void CloseIdle(const std::string&) override {}
  void Learn(const EndpointNews&) override {}
  void Forget(const std::string&) override {}
  void Tell(const Message& m) override {
    told.push_back(m.number);
    if (on_told) on_told(m);
  }
  void StepSoon() override { step = true; }
  void WakeAfter(Duration d) override { wake = clock.now + d; }
  void TellPeers(const std::string&) override {}
  void Log(const std::string&) override {}
  void TurnAfter(Duration d) override { turn = clock.now + d; }
  void Progress() override { progress = true; }
  void Sync(std::shared_ptr<File> file, std::function<void(int)> done) override {
    syncs.emplace_back(std::move(file), std::move(done));
  }
  void Fenced() override {}

  void Settle() {
    while (step || progress) {
      if (std::exchange(progress, false)) chain.Progress();
      if (std::exchange(step, false)) chain.Step();
    }
  }
  void Pass(Duration d) {
    const Time until = clock.now + d;
    for (Settle(); std::min(wake, turn) <= until; Settle()) {
      clock.now = std::max(clock.now, std::min(wake, turn));
      if (turn <= clock.now) turn = Time::max(), journal.Turn();
      if (wake <= clock.now) wake = Time::max(), chain.route.Add(WakeDue{});
    }
    clock.now = until;
  }
  void Post(int cls, const std::string& id) {
    Request r;
    r.id = id;
    r.key = "key-" + id;
    r.message_class = cls;
    r.destination = 7;
    r.time_left = std::chrono::seconds(8);
    std::vector<Request> one = {r};
    chain.intake.Take(std::move(one), [this, id](const Answer& answer) {
      answers[id] = answer;
      return true;
    });
    Settle();
  }
  void Finish(Outcome outcome, bool over = false) {
    CallResult result;
    result.over = over;
    result.number = calls.front().number;
    result.outcome = outcome;
    calls.erase(calls.begin());
    chain.relay.Back(result);
    Settle();
  }
  void FinishSyncs() {
    for (auto& [file, done] : std::exchange(syncs, {})) done(file->Sync());
    Settle();
  }

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  Ledger ledger;
  bool step = false, progress = false;
  Time wake = Time::max(), turn = Time::max();
  std::vector<std::pair<std::shared_ptr<File>, std::function<void(int)>>> syncs;
  std::vector<CallOrder> calls;
  std::vector<std::uint64_t> told;
  std::function<void(const Message&)> on_told;
  std::map<std::string, Answer> answers;
  SegmentJournal journal;
  Figures figures;
  Chain chain;
};

inline Config OneEndpoint() {
  World w(0, 4, 40);
  w.ports = {9};
  return ParseConfig(w.ConfigText(), [](const char*) { return nullptr; });
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_WHOLE_NODE_H_
