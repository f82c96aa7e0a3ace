// Tests the load generator on sockets: targets that pause, don't respond, close connections early or execute
// a message twice; a generator that is short of CPU time or interrupted; and a replayed run.
#undef NDEBUG
#include <sched.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "loadtest/load/trace.h"
#include "loadtest/report/result_file.h"
#include "loadtest/report/result_table.h"
#include "loadtest/stub/stub_server_thread.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

StubServerSettings FrontendWith(const Json& timeline) {
  return StubServerSettingsFromJson({{"seed", 3}, {"front", Json::object()}, {"timeline", timeline}});
}

Json BaseScenarioJson(std::uint16_t port) {
  return {
      {"targets", {"127.0.0.1:" + std::to_string(port)}},
      {"seed", 5},
      {"seconds", 1},
      {"drain_s", 2},
      {"connections", 16},
      {"arrivals", {{"process", "constant"}, {"rate", 500}}},  // 499 in 1 s: the first is after one spacing
      {"valid", {{"lag_ms", 50}, {"share", 0.2}, {"run_queue_share", 1}}}};
}

struct CompletedRun {
  RunResult result;
  RunRecords records;
};
// Runs the scenario. Its outcomes are observed by `stubs`, or not at all if that is null.
CompletedRun RunScenario(const Json& json, StubServerThread* stubs, const RunOptions& options = {}) {
  const Scenario scenario = ScenarioFromJson(json);
  CompletedRun completed;
  completed.records = RunLoad(scenario, options);
  const std::vector<Observation> observations =
      stubs == nullptr ? std::vector<Observation>() : stubs->Observations();
  completed.result = MakeResult("test", scenario, completed.records, observations, stubs != nullptr);
  return completed;
}
std::int64_t OutcomeCount(const CompletedRun& completed, FinalOutcome outcome) {
  return completed.result.summary.outcomes[static_cast<std::size_t>(outcome)];
}

void CleanRunAccountsForEachMessage() {
  for (const char* mode : {"platform", "binary", "structured", "batched"}) {
    StubServerThread stubs(FrontendWith(Json::array()));
    Json json = BaseScenarioJson(stubs.frontend_port);
    json["threads"] = 2;
    if (std::string(mode) != "platform") {
      json["front"] = "events";
      json["mode"] = mode;
    }
    const CompletedRun completed = RunScenario(json, &stubs);
    if (OutcomeCount(completed, FinalOutcome::kWithinObjective) != 499)
      PrintResult(completed.result, std::cerr);
    assert(completed.result.summary.offered == 499 &&
           OutcomeCount(completed, FinalOutcome::kWithinObjective) == 499);
    assert(completed.result.summary.violation_count == 0 && completed.result.summary.submissions == 499);
  }
}

// The target pauses for 3 s under 500 messages a second. Guards against coordinated omission: the wait must
// be counted for each of the 1500 messages that were due meanwhile, while latencies from the time of sending
// show it only for the messages on the 4 connections.
void PauseIsChargedToEveryMessageThatWasDue() {
  const StubServerSettings settings = FrontendWith({{{"fault", "pause"}, {"at_ms", 1500}, {"for_ms", 3000}}});
  StubServerThread stubs(settings);
  Json json = BaseScenarioJson(stubs.frontend_port);
  json["seconds"] = 8;
  json["connections"] = 4;
  json["answer_ms"] = 0;
  const CompletedRun completed = RunScenario(json, &stubs);
  const RunSummary& summary = completed.result.summary;
  const LatencyHistogram& corrected = summary.response_corrected;
  const LatencyHistogram& as_sent = summary.response_as_sent;
  assert(std::abs(summary.offered - 4000) <= 1 && corrected.count() == summary.offered);
  assert(corrected.max() >= 2.98e6 && corrected.Quantile(0.999) >= 2.95e6);
  // Messages that were due during the pause waited for its end, and the histogram counts each of them. It
  // also counts those that were due while the queue was drained.
  const std::int64_t from_us = stubs.started_us + 1'500'000;
  const std::int64_t to_us = from_us + 3'000'000;
  const auto waited_for_the_end = [&](const MessageRecord& record) {
    return record.intended_us >= from_us && record.intended_us < to_us &&
           record.responded_us >= to_us - 2'000;
  };
  const auto& records = completed.records.records;
  const auto delayed_count = std::count_if(records.begin(), records.end(), waited_for_the_end);
  std::printf(
      "pause: %ld messages waited for its end, %ld waited over 20 ms, p99.9 %.0f ms, max %.0f ms; as sent: "
      "%ld, p99.9 "
      "%.1f ms\n",
      delayed_count, corrected.CountOver(20'000), corrected.Quantile(0.999) / 1000, corrected.max() / 1000,
      as_sent.CountOver(20'000), as_sent.Quantile(0.999) / 1000);
  assert(std::abs(static_cast<double>(delayed_count) / 1500.0 - 1) < 0.02 &&
         corrected.CountOver(20'000) >= delayed_count - 12);
  // The result has the fault and the number of messages that were due during it.
  std::vector<FaultSpan> spans = settings.timeline.spans();
  spans[0].from_ms -= static_cast<double>(completed.records.start_us - stubs.started_us) / 1000;
  const RunResult result = MakeResult("pause", ScenarioFromJson(json), completed.records,
                                      stubs.Observations(), true, FaultTimeline(spans));
  assert(result.summary.fault_impacts.size() == 1 &&
         std::abs(static_cast<double>(result.summary.fault_impacts[0].waited_long) / 1500 - 1) < 0.02);
  // A message that was due just before the pause but arrived just after its start waits a little longer.
  const double longest_wait_us = result.summary.fault_impacts[0].max_response_us;
  assert(longest_wait_us <= corrected.max() && longest_wait_us > corrected.max() - 20'000);
  const RunResult read = ResultFromJson(ToJson(result));
  assert(read.summary.fault_impacts[0].waited_long == result.summary.fault_impacts[0].waited_long &&
         read.faults[0].from_ms == spans[0].from_ms);
  assert(as_sent.CountOver(20'000) <= 4 && as_sent.Quantile(0.99) < 0.1 * corrected.Quantile(0.99));
  double longest = 0;
  for (const TimeBucket& bucket : summary.buckets) longest = std::max(longest, bucket.corrected_max);
  assert(longest == corrected.max());
}

void ClientsResubmitRejectedMessagesAtMostTwice() {
  // Messages that are rejected at first are submitted again after Retry-After, with X-Retry and a new id.
  StubServerThread full(FrontendWith({{{"fault", "full"}, {"ms", 300}, {"at_ms", 0}, {"for_ms", 250}}}));
  Json json = BaseScenarioJson(full.frontend_port);
  json["seconds"] = 0.1;
  CompletedRun completed = RunScenario(json, &full);
  assert(OutcomeCount(completed, FinalOutcome::kWithinObjective) == 49 &&
         completed.result.summary.submissions == 98);
  assert(completed.result.summary.accepted.min() > 250'000 &&
         completed.result.summary.response_corrected.max() < 250'000);
  // Messages that are rejected each time are submitted three times at most.
  StubServerThread rejecting(FrontendWith({{{"fault", "refuse"}}}));
  json = BaseScenarioJson(rejecting.frontend_port);
  json["seconds"] = 0.1;
  json["again_ms"] = 20;
  completed = RunScenario(json, &rejecting);
  assert(OutcomeCount(completed, FinalOutcome::kRejected) == 49 &&
         completed.result.summary.submissions == 147);
}

void UnansweredMessagesCountWithTheTimeTheyWaited() {
  for (const char* fault : {"silent", "half", "reset", "spoilt"}) {
    StubServerThread stubs(FrontendWith({{{"fault", fault}}}));
    Json json = BaseScenarioJson(stubs.frontend_port);
    json["seconds"] = 0.2;
    json["connections"] = 200;
    json["hand_ins_again"] = 0;
    json["answer_ms"] = 150;
    const CompletedRun completed = RunScenario(json, &stubs);
    assert(completed.result.summary.offered == 99 &&
           OutcomeCount(completed, FinalOutcome::kUnanswered) == 99 &&
           completed.result.summary.unanswered_count == 99);
    if (std::string(fault) == "silent") assert(completed.result.summary.response_corrected.min() >= 150'000);
  }
  // The same without a server that listens.
  Json json = BaseScenarioJson(1);
  json["seconds"] = 0.1;
  json["hand_ins_again"] = 0;
  assert(OutcomeCount(RunScenario(json, nullptr), FinalOutcome::kUnanswered) == 49);
}

void MessagesThatAStalledTargetBlocksCountAsUnsent() {
  StubServerThread stubs(FrontendWith({{{"fault", "silent"}}}));
  Json json = BaseScenarioJson(stubs.frontend_port);
  json["connections"] = 2;
  json["answer_ms"] = 0;
  json["backlog"] = 100;
  json["drain_s"] = 0.2;
  const CompletedRun completed = RunScenario(json, &stubs);
  assert(completed.result.summary.offered == 499 && OutcomeCount(completed, FinalOutcome::kUnsent) == 497 &&
         OutcomeCount(completed, FinalOutcome::kUnanswered) == 2);
}

void CheckerReportsAPartnerThatExecutesTwice() {
  const StubServerSettings settings = StubServerSettingsFromJson(
      {{"partners", {{{"destination", 0}}}}, {"timeline", {{{"fault", "twice"}, {"share", 0.2}}}}});
  EventLoop loop;
  StubServerSet stubs(loop, settings);
  HttpClientPool clients(loop, {{"127.0.0.1", stubs.partners[0]->port()}}, 4, std::chrono::seconds(5));
  int responses = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = ToText({1, i, 0, 0, Idempotency::kNotIdempotent});
    const std::string text =
        "POST /hook HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    clients.Send(text, [&](const Reply& reply) {
      assert(reply.code == 200);
      if (++responses == i + 1) loop.Break();
    });
    loop.Run();
  }
  assert(stubs.checker.count() > 2 && stubs.checker.count() < 20);
  for (const Violation& violation : stubs.checker.violations()) {
    assert(violation.rule == "took effect twice" && ParseSubmissionId(violation.id));
  }
}

void RateOfZeroOffersNothing() {
  Json json = BaseScenarioJson(1);
  json["seconds"] = 0.2;
  json["arrivals"]["rate"] = 0;
  const CompletedRun completed = RunScenario(json, nullptr);
  assert(completed.result.summary.offered == 0 && completed.result.valid() && !completed.result.partial);
  assert(ResultFromJson(ToJson(completed.result)).summary.offered == 0);
}

std::string ScenarioError(const Json& json) {
  return ErrorOf([&] { RunScenario(json, nullptr); });
}

void ImpossibleScenariosFailBeforeTheRun() {
  Json json = BaseScenarioJson(1);
  json["connections"] = 1'000'000;
  assert(ScenarioError(json).starts_with("connections: 1000000 need 1000064 descriptors"));
  json = BaseScenarioJson(1);
  json["threads"] = 17;
  assert(ScenarioError(json).starts_with("connections: expected at least one for each"));
  json = BaseScenarioJson(1);
  json["max_messages"] = 10;
  assert(ScenarioError(json).find("max_messages") != std::string::npos);
  json = BaseScenarioJson(1);
  json["trace"] = "/nowhere/trace";
  assert(ScenarioError(json).starts_with("/nowhere/trace: can't be read"));
}

void ReplayedRunHasTheSameIntendedArrivals() {
  char folder[] = "/tmp/sagetally-loadtest-XXXXXX";
  assert(mkdtemp(folder) != nullptr);
  StubServerThread stubs(FrontendWith(Json::array()));
  Json json = BaseScenarioJson(stubs.frontend_port);
  json["arrivals"] = {{"process", "poisson"}, {"rate", 400}};
  json["body_bytes"] = {{"kind", "lognormal"}, {"mean", 300}, {"cv", 2}};
  json["destinations"] = {{"first", 2}, {"count", 9}};
  json["threads"] = 2;
  RunOptions options;
  options.record = std::string(folder) + "/trace.jsonl";
  const auto planned = [](const CompletedRun& completed) {
    std::vector<PlannedMessage> all;
    for (const MessageRecord& r : completed.records.records) all.push_back(r.planned);
    std::sort(all.begin(), all.end(),
              [](const PlannedMessage& a, const PlannedMessage& b) { return a.number < b.number; });
    return all;
  };
  const std::vector<PlannedMessage> first = planned(RunScenario(json, &stubs, options));
  json.erase("arrivals");
  json["trace"] = options.record;
  json["seed"] = 77;
  json["threads"] = 1;
  assert(first.size() > 300 && planned(RunScenario(json, &stubs)) == first);
  // An invalid trace is reported with its line.
  std::ofstream(options.record, std::ios::app) << R"({"at_us":5,"class":"aviso","destination":1})"
                                               << "\n";
  assert(ScenarioError(json).find("trace.jsonl:" + std::to_string(first.size() + 2) +
                                  ": its time goes back") != std::string::npos);
  std::filesystem::remove_all(folder);
}

void InterruptedRunIsPartial() {
  StubServerThread stubs(FrontendWith(Json::array()));
  Json json = BaseScenarioJson(stubs.frontend_port);
  json["seconds"] = 600;
  RunOptions options;
  int stop_calls = 0;
  options.stop = [&] { return ++stop_calls > 5; };
  const CompletedRun completed = RunScenario(json, &stubs, options);
  assert(completed.result.partial && completed.result.summary.offered > 50 && completed.result.seconds < 60);
  assert(OutcomeCount(completed, FinalOutcome::kWithinObjective) +
             OutcomeCount(completed, FinalOutcome::kUnanswered) +
             OutcomeCount(completed, FinalOutcome::kUnsent) ==
         completed.result.summary.offered);
  std::ostringstream text;
  PrintResult(completed.result, text);
  assert(text.str().starts_with("PARTIAL"));
}

void StarvedGeneratorMarksItsRunInvalid() {
  StubServerThread stubs(FrontendWith(Json::array()));
  cpu_set_t original_cores, one_core;
  assert(sched_getaffinity(0, sizeof original_cores, &original_cores) == 0);
  CPU_ZERO(&one_core);
  for (int cpu = 0; cpu < CPU_SETSIZE && CPU_COUNT(&one_core) == 0; ++cpu) {
    if (CPU_ISSET(cpu, &original_cores)) CPU_SET(cpu, &one_core);
  }
  // Threads that are started from here on share one core.
  assert(sched_setaffinity(0, sizeof one_core, &one_core) == 0);
  std::atomic<bool> stop = false;
  std::vector<std::thread> busy;
  for (int i = 0; i < 8; ++i) {
    busy.emplace_back([&] {
      while (!stop) {
      }
    });
  }
  Json json = BaseScenarioJson(stubs.frontend_port);
  json["valid"] = {{"lag_ms", 5}, {"share", 0.01}, {"run_queue_share", 0.2}};
  json["arrivals"]["rate"] = 4000;  // enough messages to need the whole core
  const CompletedRun completed = RunScenario(json, &stubs);
  stop = true;
  for (std::thread& thread : busy) thread.join();
  assert(sched_setaffinity(0, sizeof original_cores, &original_cores) == 0);
  assert(!completed.result.valid());
  for (const std::string& reason : completed.result.invalid_reasons)
    std::printf("starved: %s\n", reason.c_str());
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  std::signal(SIGPIPE, SIG_IGN);
  CleanRunAccountsForEachMessage();
  PauseIsChargedToEveryMessageThatWasDue();
  ClientsResubmitRejectedMessagesAtMostTwice();
  UnansweredMessagesCountWithTheTimeTheyWaited();
  MessagesThatAStalledTargetBlocksCountAsUnsent();
  CheckerReportsAPartnerThatExecutesTwice();
  RateOfZeroOffersNothing();
  ImpossibleScenariosFailBeforeTheRun();
  ReplayedRunHasTheSameIntendedArrivals();
  InterruptedRunIsPartial();
  StarvedGeneratorMarksItsRunInvalid();
  std::puts("11 passed, 0 failed");
}
