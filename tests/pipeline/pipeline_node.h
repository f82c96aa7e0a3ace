// The real stages, module and journal as one node, on the disk in memory and a clock of the test's own.
#ifndef SAGETALLY_TESTS_JOURNAL_WHOLE_NODE_H_
#define SAGETALLY_TESTS_JOURNAL_WHOLE_NODE_H_

#include "../app/world.h"
#include "admin/metrics.h"
#include "journal_world.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {

struct Whole : EndpointClient, Notifier, Scheduler, JournalHost {
  Whole(FaultInjectingFileSystem& disk, TestClock& clock, const Config& config,
        const JournalSettings& settings, std::function<void(const Message&)> on_told = {})
      : clock(clock),
        on_told(std::move(on_told)),
        journal(disk, settings, ledger, clock, log, *this),
        figures(config.site.classes),
        chain(config.site, 1, ledger, journal, *this, *this, *this, clock, nullptr, &figures) {
    chain.router.OnEndpointListUpdate(config.cached_endpoint_list);
    chain.ResumeAfterRestart();
  }
  void StartCall(const CallRequest& order) override { calls.push_back(order); }
  void CancelCall(std::uint64_t) override {}
  void CancelCallIfUnsent(std::uint64_t) override {}
  void CloseIdleConnections(const std::string&) override {}
  void UpdateEndpoint(const EndpointUpdate&) override {}
  void RemoveEndpoint(const std::string&) override {}
  void Notify(const Message& m) override {
    told.push_back(m.number);
    if (on_told) on_told(m);
  }
  void SchedulePolicyRun() override { step = true; }
  void ScheduleTimer(Duration d) override { wake = clock.now + d; }
  void SendGossip(const std::string&) override {}
  void WriteLogLine(const std::string&) override {}
  void ScheduleTurn(Duration d) override { turn = clock.now + d; }
  void OnProgress() override { progress = true; }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    syncs.emplace_back(std::move(file), std::move(done));
  }
  void OnFenced() override {}

  void Settle() {
    while (step || progress) {
      if (std::exchange(progress, false)) chain.OnJournalProgress();
      if (std::exchange(step, false)) chain.RunPolicy();
    }
  }
  void Pass(Duration d) {
    const Time until = clock.now + d;
    for (Settle(); std::min(wake, turn) <= until; Settle()) {
      clock.now = std::max(clock.now, std::min(wake, turn));
      if (turn <= clock.now) turn = Time::max(), journal.RunDueWork();
      if (wake <= clock.now) wake = Time::max(), chain.router.QueueEvent(TimerFired{});
    }
    clock.now = until;
  }
  void Post(int cls, const std::string& id) {
    Request r;
    r.id = id;
    r.idempotency_key = "key-" + id;
    r.message_class = cls;
    r.destination = 7;
    r.time_left = std::chrono::seconds(8);
    std::vector<Request> one = {r};
    chain.validator.Submit(std::move(one), [this, id](const AdmissionResult& answer) {
      answers[id] = answer;
      return true;
    });
    Settle();
  }
  void Finish(Outcome outcome, bool over = false) {
    CallResult result;
    result.completed = over;
    result.number = calls.front().number;
    result.outcome = outcome;
    calls.erase(calls.begin());
    chain.outcome_handler.OnCallResult(result);
    Settle();
  }
  void FinishSyncs() {
    for (auto& [file, done] : std::exchange(syncs, {})) done(file->Sync());
    Settle();
  }

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  MessageTable ledger;
  bool step = false, progress = false;
  Time wake = Time::max(), turn = Time::max();
  std::vector<std::pair<std::shared_ptr<File>, std::function<void(int)>>> syncs;
  std::vector<CallRequest> calls;
  std::vector<std::uint64_t> told;
  std::function<void(const Message&)> on_told;
  std::map<std::string, AdmissionResult> answers;
  SegmentJournal journal;
  Metrics figures;
  MessagePipeline chain;
};

inline Config OneEndpoint() {
  World w(0, 4, 40);
  w.ports = {9};
  return ParseConfig(w.ConfigText(), [](const char*) { return nullptr; });
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_WHOLE_NODE_H_
