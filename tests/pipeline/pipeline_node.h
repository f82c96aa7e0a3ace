// A node for tests: the real pipeline, dispatch policy and journal on an in-memory file system with a manual
// clock. Calls, notifications and disk syncs are collected in lists until the test completes them.
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

struct PipelineNode : EndpointClient, Notifier, Scheduler, JournalHost {
  // `on_notified` is called for each notification, and may be empty.
  PipelineNode(FaultInjectingFileSystem& files, TestClock& clock, const Config& config,
               const JournalSettings& settings, std::function<void(const Message&)> on_notified = {})
      : clock(clock),
        on_notified(std::move(on_notified)),
        journal(files, settings, messages, clock, log, *this),
        metrics(config.site.classes),
        pipeline(config.site, /*seed=*/1, messages, journal, *this, *this, *this, clock, nullptr, &metrics) {
    pipeline.router.OnEndpointListUpdate(config.cached_endpoint_list);
    pipeline.ResumeAfterRestart();
  }

  void StartCall(const CallRequest& call) override { calls.push_back(call); }
  void CancelCall(std::uint64_t) override {}
  void CancelCallIfUnsent(std::uint64_t) override {}
  void CloseIdleConnections(const std::string&) override {}
  void UpdateEndpoint(const EndpointUpdate&) override {}
  void RemoveEndpoint(const std::string&) override {}
  void Notify(const Message& message) override {
    notified.push_back(message.number);
    if (on_notified) on_notified(message);
  }
  void SchedulePolicyRun() override { policy_run_due = true; }
  void ScheduleTimer(Duration delay) override { policy_timer = clock.now + delay; }
  void SendGossip(const std::string&) override {}
  void WriteLogLine(const std::string&) override {}
  void ScheduleWork(Duration delay) override { journal_timer = clock.now + delay; }
  void OnDurabilityProgress() override { journal_has_progressed = true; }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    syncs.push_back({std::move(file), std::move(done)});
  }
  void OnFenced() override {}

  // Reports the journal's progress to the pipeline and runs the policy until nothing more is due.
  void RunPending() {
    while (policy_run_due || journal_has_progressed) {
      if (std::exchange(journal_has_progressed, false)) pipeline.OnJournalProgress();
      if (std::exchange(policy_run_due, false)) pipeline.RunPolicy();
    }
  }
  // Advances the clock by `duration` and fires each timer when it is due.
  void AdvanceTime(Duration duration) {
    const Time end = clock.now + duration;
    for (RunPending(); std::min(policy_timer, journal_timer) <= end; RunPending()) {
      clock.now = std::max(clock.now, std::min(policy_timer, journal_timer));
      if (journal_timer <= clock.now) {
        journal_timer = Time::max();
        journal.RunDueWork();
      }
      if (policy_timer <= clock.now) {
        policy_timer = Time::max();
        pipeline.router.QueueEvent(TimerFired{});
      }
    }
    clock.now = end;
  }
  // Submits one message; the response is stored in `responses`.
  void Submit(int message_class, const std::string& id) {
    Request request;
    request.id = id;
    request.idempotency_key = "key-" + id;
    request.message_class = message_class;
    request.destination = 7;
    request.time_left = std::chrono::seconds(8);
    pipeline.request_validator.Submit({request}, [this, id](const AdmissionResult& result) {
      responses[id] = result;
      return true;
    });
    RunPending();
  }
  // Completes the oldest call. `message_expired`: the endpoint reports that nobody waits for the message.
  void CompleteCall(Outcome outcome, bool message_expired = false) {
    CallResult result;
    result.message_number = calls.front().message_number;
    result.outcome = outcome;
    result.message_expired = message_expired;
    calls.erase(calls.begin());
    pipeline.outcome_handler.OnCallResult(result);
    RunPending();
  }
  // Reports a result that is not final for the oldest call, which stays in `calls`.
  void ReportProvisionalResult(Outcome outcome) {
    CallResult result;
    result.message_number = calls.front().message_number;
    result.outcome = outcome;
    pipeline.outcome_handler.OnProvisionalResult(result);
    RunPending();
  }
  // Syncs the files of all pending syncs and reports the results to the journal.
  void CompleteSyncs() {
    for (const PendingSync& sync : std::exchange(syncs, {})) sync.done(sync.file->Sync());
    RunPending();
  }

  struct PendingSync {
    std::shared_ptr<File> file;
    std::function<void(int)> done;
  };

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  MessageTable messages;
  bool policy_run_due = false;
  bool journal_has_progressed = false;
  Time policy_timer = Time::max();
  Time journal_timer = Time::max();
  std::vector<PendingSync> syncs;
  std::vector<CallRequest> calls;
  std::vector<std::uint64_t> notified;  // message numbers, in the order of the notifications
  std::function<void(const Message&)> on_notified;
  std::map<std::string, AdmissionResult> responses;  // by request id
  SegmentJournal journal;
  Metrics metrics;
  MessagePipeline pipeline;
};

// A configuration whose endpoint list has one endpoint, of destination 7.
inline Config ConfigWithOneEndpoint() {
  World world(/*endpoint_count=*/0, /*concurrent_calls=*/4, /*pending_messages=*/40);
  world.ports = {9};
  return ParseConfig(world.ConfigText(), [](const char*) { return nullptr; });
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_PIPELINE_PIPELINE_NODE_H_
