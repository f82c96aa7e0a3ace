// The real pipeline, dispatch policy and journal as one node, on an in-memory file system and a manual clock.
// Calls, notifications and disk syncs wait in lists until the test completes them.
#ifndef SAGETALLY_TESTS_PIPELINE_PIPELINE_NODE_H_
#define SAGETALLY_TESTS_PIPELINE_PIPELINE_NODE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../app/world.h"
#include "../journal/journal_world.h"
#include "admin/metrics.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {

struct Whole : EndpointClient, Notifier, Scheduler, JournalHost {
  // `on_notified` is called for each notification, and may be empty.
  Whole(FaultInjectingFileSystem& files, TestClock& clock, const Config& config,
        const JournalSettings& settings, std::function<void(const Message&)> on_notified = {})
      : clock(clock),
        on_notified(std::move(on_notified)),
        journal(files, settings, ledger, clock, log, *this),
        figures(config.site.classes),
        chain(config.site, /*seed=*/1, ledger, journal, *this, *this, *this, clock, nullptr, &figures) {
    chain.router.OnEndpointListUpdate(config.cached_endpoint_list);
    chain.ResumeAfterRestart();
  }

  void StartCall(const CallRequest& call) override { calls.push_back(call); }
  void CancelCall(std::uint64_t) override {}
  void CancelCallIfUnsent(std::uint64_t) override {}
  void CloseIdleConnections(const std::string&) override {}
  void UpdateEndpoint(const EndpointUpdate&) override {}
  void RemoveEndpoint(const std::string&) override {}
  void Notify(const Message& message) override {
    told.push_back(message.number);
    if (on_notified) on_notified(message);
  }
  void SchedulePolicyRun() override { policy_run_due = true; }
  void ScheduleTimer(Duration delay) override { policy_timer = clock.now + delay; }
  void SendGossip(const std::string&) override {}
  void WriteLogLine(const std::string&) override {}
  void ScheduleTurn(Duration delay) override { journal_timer = clock.now + delay; }
  void OnProgress() override { journal_has_progressed = true; }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    syncs.push_back({std::move(file), std::move(done)});
  }
  void OnFenced() override {}

  // Does all that is due now.
  void Settle() {
    while (policy_run_due || journal_has_progressed) {
      if (std::exchange(journal_has_progressed, false)) chain.OnJournalProgress();
      if (std::exchange(policy_run_due, false)) chain.RunPolicy();
    }
  }
  // Advances the clock by `duration`, firing timers at their times.
  void Pass(Duration duration) {
    const Time end = clock.now + duration;
    for (Settle(); std::min(policy_timer, journal_timer) <= end; Settle()) {
      clock.now = std::max(clock.now, std::min(policy_timer, journal_timer));
      if (journal_timer <= clock.now) {
        journal_timer = Time::max();
        journal.RunDueWork();
      }
      if (policy_timer <= clock.now) {
        policy_timer = Time::max();
        chain.router.QueueEvent(TimerFired{});
      }
    }
    clock.now = end;
  }
  // Submits one message; the response goes to `responses`.
  void Submit(int message_class, const std::string& id) {
    Request request;
    request.id = id;
    request.idempotency_key = "key-" + id;
    request.message_class = message_class;
    request.destination = 7;
    request.time_left = std::chrono::seconds(8);
    chain.validator.Submit({request}, [this, id](const AdmissionResult& result) {
      responses[id] = result;
      return true;
    });
    Settle();
  }
  // Completes the oldest call.
  void Finish(Outcome outcome, bool completed = false) {
    CallResult result;
    result.number = calls.front().number;
    result.outcome = outcome;
    result.completed = completed;
    calls.erase(calls.begin());
    chain.outcome_handler.OnCallResult(result);
    Settle();
  }
  void CompleteSyncs() {
    for (const PendingSync& sync : std::exchange(syncs, {})) sync.done(sync.file->Sync());
    Settle();
  }

  struct PendingSync {
    std::shared_ptr<File> file;
    std::function<void(int)> done;
  };

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  MessageTable ledger;
  bool policy_run_due = false;
  bool journal_has_progressed = false;
  Time policy_timer = Time::max();
  Time journal_timer = Time::max();
  std::vector<PendingSync> syncs;
  std::vector<CallRequest> calls;
  std::vector<std::uint64_t> told;
  std::function<void(const Message&)> on_notified;
  std::map<std::string, AdmissionResult> responses;  // by request id
  SegmentJournal journal;
  Metrics figures;
  MessagePipeline chain;
};

inline Config OneEndpoint() {
  World world(/*endpoints=*/0, /*slots=*/4, /*most_held=*/40);
  world.ports = {9};
  return ParseConfig(world.ConfigText(), [](const char*) { return nullptr; });
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_PIPELINE_PIPELINE_NODE_H_
