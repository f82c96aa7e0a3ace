// The load generator on sockets: targets that pause, don't respond, break off or execute twice; a generator
// that is starved or interrupted; a run that is replayed.
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

Json Base(std::uint16_t port) {
  return {{"targets", {"127.0.0.1:" + std::to_string(port)}},
          {"seed", 5},
          {"seconds", 1},
          {"drain_s", 2},
          {"connections", 16},
          {"arrivals", {{"process", "constant"}, {"rate", 500}}},  // the first after one spacing
          {"valid", {{"lag_ms", 50}, {"share", 0.2}, {"run_queue_share", 1}}}};
}

struct CompletedRun {
  RunResult result;
  RunRecords records;
};
CompletedRun Offer(const Json& json, StubServerThread* stubs, const RunOptions& options = {}) {
  const Scenario scenario = ScenarioFromJson(json);
  CompletedRun ran;
  ran.records = RunLoad(scenario, options);
  const std::vector<Observation> seen = stubs == nullptr ? std::vector<Observation>() : stubs->Observations();
  ran.result = MakeResult("test", scenario, ran.records, seen, stubs != nullptr);
  return ran;
}
std::int64_t OutcomeCount(const CompletedRun& ran, FinalOutcome outcome) {
  return ran.result.summary.outcomes[static_cast<std::size_t>(outcome)];
}

void CleanRunAccountsForEachMessage() {
  for (const char* mode : {"platform", "binary", "structured", "batched"}) {
    StubServerThread stubs(FrontendWith(Json::array()));
    Json json = Base(stubs.frontend_port);
    json["threads"] = 2;
    if (std::string(mode) != "platform") {
      json["front"] = "events";
      json["mode"] = mode;
    }
    const CompletedRun ran = Offer(json, &stubs);
    if (OutcomeCount(ran, FinalOutcome::kWithinObjective) != 499) PrintResult(ran.result, std::cerr);
    assert(ran.result.summary.offered == 499 && OutcomeCount(ran, FinalOutcome::kWithinObjective) == 499);
    assert(ran.result.summary.violation_count == 0 && ran.result.summary.submissions == 499);
  }
}

// A pause of 3 s under 500 messages a second. Each message that was due meanwhile is charged for it; a client
// that times its own sends sees it on its few connections only.
void PauseIsChargedToEveryMessageThatWasDue() {
  const StubServerSettings settings = FrontendWith({{{"fault", "pause"}, {"at_ms", 1500}, {"for_ms", 3000}}});
  StubServerThread stubs(settings);
  Json json = Base(stubs.frontend_port);
  json["seconds"] = 8;
  json["connections"] = 4;
  json["answer_ms"] = 0;
  const CompletedRun ran = Offer(json, &stubs);
  const RunSummary& summary = ran.result.summary;
  const LatencyHistogram& corrected = summary.response_corrected;
  const LatencyHistogram& as_sent = summary.response_as_sent;
  assert(std::abs(summary.offered - 4000) <= 1 && corrected.count() == summary.offered);
  assert(corrected.max() >= 2.98e6 && corrected.Quantile(0.999) >= 2.95e6);
  // Messages that were due during the pause have waited for its end, and the histogram counts each of them;
  // those that came while the queue was drained waited too.
  const std::int64_t from_us = stubs.started_us + 1'500'000;
  const std::int64_t to_us = from_us + 3'000'000;
  const auto waited_for_the_end = [&](const MessageRecord& record) {
    return record.intended_us >= from_us && record.intended_us < to_us &&
           record.responded_us >= to_us - 2'000;
  };
  const auto& records = ran.records.records;
  const auto delayed = std::count_if(records.begin(), records.end(), waited_for_the_end);
  std::printf(
      "pause: %ld messages met it, %ld waited over 20 ms, p99.9 %.0f ms, max %.0f ms; as sent: %ld, p99.9 "
      "%.1f ms\n",
      delayed, corrected.CountOver(20'000), corrected.Quantile(0.999) / 1000, corrected.max() / 1000,
      as_sent.CountOver(20'000), as_sent.Quantile(0.999) / 1000);
  assert(std::abs(static_cast<double>(delayed) / 1500.0 - 1) < 0.02 &&
         corrected.CountOver(20'000) >= delayed - 12);
  // The report names the fault, and the messages that were due during it.
  std::vector<FaultSpan> spans = settings.timeline.spans();
  spans[0].from_ms -= static_cast<double>(ran.records.start_us - stubs.started_us) / 1000;
  const RunResult result = MakeResult("pause", ScenarioFromJson(json), ran.records, stubs.Observations(),
                                      true, FaultTimeline(spans));
  assert(result.summary.fault_impacts.size() == 1 &&
         std::abs(static_cast<double>(result.summary.fault_impacts[0].waited_long) / 1500 - 1) < 0.02);
  // One that was due just before the pause, and came just after it had begun, waits a little longer.
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

void ClientsResubmitAsTheProtocolSays() {
  // Rejected at first: submitted again after Retry-After, with X-Retry and a new id.
  StubServerThread full(FrontendWith({{{"fault", "full"}, {"ms", 300}, {"at_ms", 0}, {"for_ms", 250}}}));
  Json json = Base(full.frontend_port);
  json["seconds"] = 0.1;
  CompletedRun ran = Offer(json, &full);
  assert(OutcomeCount(ran, FinalOutcome::kWithinObjective) == 49 && ran.result.summary.submissions == 98);
  assert(ran.result.summary.accepted.min() > 250'000 &&
         ran.result.summary.response_corrected.max() < 250'000);
  // Rejected to the end: three submissions and no more.
  StubServerThread rejecting(FrontendWith({{{"fault", "refuse"}}}));
  json = Base(rejecting.frontend_port);
  json["seconds"] = 0.1;
  json["again_ms"] = 20;
  ran = Offer(json, &rejecting);
  assert(OutcomeCount(ran, FinalOutcome::kRejected) == 49 && ran.result.summary.submissions == 147);
}

void UnansweredMessagesCountAsLongAsTheyWaited() {
  for (const char* fault : {"silent", "half", "reset", "spoilt"}) {
    StubServerThread stubs(FrontendWith({{{"fault", fault}}}));
    Json json = Base(stubs.frontend_port);
    json["seconds"] = 0.2;
    json["connections"] = 200;
    json["hand_ins_again"] = 0;
    json["answer_ms"] = 150;
    const CompletedRun ran = Offer(json, &stubs);
    assert(ran.result.summary.offered == 99 && OutcomeCount(ran, FinalOutcome::kUnanswered) == 99 &&
           ran.result.summary.unanswered_count == 99);
    if (std::string(fault) == "silent") assert(ran.result.summary.response_corrected.min() >= 150'000);
  }
  // Nobody listens at all.
  Json json = Base(1);
  json["seconds"] = 0.1;
  json["hand_ins_again"] = 0;
  assert(OutcomeCount(Offer(json, nullptr), FinalOutcome::kUnanswered) == 49);
}

void StalledTargetLeavesCountedUnsentMessages() {
  StubServerThread stubs(FrontendWith({{{"fault", "silent"}}}));
  Json json = Base(stubs.frontend_port);
  json["connections"] = 2;
  json["answer_ms"] = 0;
  json["backlog"] = 100;
  json["drain_s"] = 0.2;
  const CompletedRun ran = Offer(json, &stubs);
  assert(ran.result.summary.offered == 499 && OutcomeCount(ran, FinalOutcome::kUnsent) == 497 &&
         OutcomeCount(ran, FinalOutcome::kUnanswered) == 2);
}

void CheckerReportsAPartnerThatExecutesTwice() {
  const StubServerSettings settings = StubServerSettingsFromJson(
      {{"partners", {{{"destination", 0}}}}, {"timeline", {{{"fault", "twice"}, {"share", 0.2}}}}});
  EventLoop loop;
  StubServerSet stubs(loop, settings);
  HttpClientPool clients(loop, {{"127.0.0.1", stubs.partners[0]->port()}}, 4, std::chrono::seconds(5));
  int answers = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = ToText({1, i, 0, 0, Idempotency::kNotIdempotent});
    const std::string text =
        "POST /hook HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    clients.Send(text, [&](const Reply& reply) {
      assert(reply.code == 200);
      if (++answers == i + 1) loop.Break();
    });
    loop.Run();
  }
  assert(stubs.checker.count() > 2 && stubs.checker.count() < 20);
  for (const Violation& f : stubs.checker.violations()) {
    assert(f.rule == "took effect twice" && ParseSubmissionId(f.id));
  }
}

void RateOfZeroOffersNothing() {
  Json json = Base(1);
  json["seconds"] = 0.2;
  json["arrivals"]["rate"] = 0;
  const CompletedRun ran = Offer(json, nullptr);
  assert(ran.result.summary.offered == 0 && ran.result.valid() && !ran.result.partial);
  assert(ResultFromJson(ToJson(ran.result)).summary.offered == 0);
}

std::string OfferError(const Json& json) {
  return ErrorOf([&] { Offer(json, nullptr); });
}

void ImpossibleScenariosFailBeforeTheRun() {
  Json json = Base(1);
  json["connections"] = 1'000'000;
  assert(OfferError(json).starts_with("connections: 1000000 need 1000064 descriptors"));
  json = Base(1);
  json["threads"] = 17;
  assert(OfferError(json).starts_with("connections: expected at least one for each"));
  json = Base(1);
  json["max_messages"] = 10;
  assert(OfferError(json).find("max_messages") != std::string::npos);
  json = Base(1);
  json["trace"] = "/nowhere/trace";
  assert(OfferError(json).starts_with("/nowhere/trace: can't be read"));
}

void ReplayedRunHasTheSameIntendedArrivals() {
  char folder[] = "/tmp/sagetally-loadtest-XXXXXX";
  assert(mkdtemp(folder) != nullptr);
  StubServerThread stubs(FrontendWith(Json::array()));
  Json json = Base(stubs.frontend_port);
  json["arrivals"] = {{"process", "poisson"}, {"rate", 400}};
  json["body_bytes"] = {{"kind", "lognormal"}, {"mean", 300}, {"cv", 2}};
  json["destinations"] = {{"first", 2}, {"count", 9}};
  json["threads"] = 2;
  RunOptions options;
  options.record = std::string(folder) + "/trace.jsonl";
  const auto planned = [](const CompletedRun& ran) {
    std::vector<PlannedMessage> all;
    for (const MessageRecord& r : ran.records.records) all.push_back(r.planned);
    std::sort(all.begin(), all.end(),
              [](const PlannedMessage& a, const PlannedMessage& b) { return a.number < b.number; });
    return all;
  };
  const std::vector<PlannedMessage> first = planned(Offer(json, &stubs, options));
  json.erase("arrivals");
  json["trace"] = options.record;
  json["seed"] = 77;
  json["threads"] = 1;
  assert(first.size() > 300 && planned(Offer(json, &stubs)) == first);
  // An invalid trace is reported with its line.
  std::ofstream(options.record, std::ios::app) << R"({"at_us":5,"class":"aviso","destination":1})"
                                               << "\n";
  assert(OfferError(json).find("trace.jsonl:" + std::to_string(first.size() + 2) + ": its time goes back") !=
         std::string::npos);
  std::filesystem::remove_all(folder);
}

void InterruptedRunIsPartial() {
  StubServerThread stubs(FrontendWith(Json::array()));
  Json json = Base(stubs.frontend_port);
  json["seconds"] = 600;
  RunOptions options;
  int asked = 0;
  options.stop = [&] { return ++asked > 5; };
  const CompletedRun ran = Offer(json, &stubs, options);
  assert(ran.result.partial && ran.result.summary.offered > 50 && ran.result.seconds < 60);
  assert(OutcomeCount(ran, FinalOutcome::kWithinObjective) + OutcomeCount(ran, FinalOutcome::kUnanswered) +
             OutcomeCount(ran, FinalOutcome::kUnsent) ==
         ran.result.summary.offered);
  std::ostringstream text;
  PrintResult(ran.result, text);
  assert(text.str().starts_with("PARTIAL"));
}

void StarvedGeneratorMarksItsRunInvalid() {
  StubServerThread stubs(FrontendWith(Json::array()));
  cpu_set_t before, one;
  assert(sched_getaffinity(0, sizeof before, &before) == 0);
  CPU_ZERO(&one);
  for (int cpu = 0; cpu < CPU_SETSIZE && CPU_COUNT(&one) == 0; ++cpu) {
    if (CPU_ISSET(cpu, &before)) CPU_SET(cpu, &one);
  }
  assert(sched_setaffinity(0, sizeof one, &one) == 0);  // threads started from here on share one core
  std::atomic<bool> stop = false;
  std::vector<std::thread> busy;
  for (int i = 0; i < 8; ++i) {
    busy.emplace_back([&] {
      while (!stop) {
      }
    });
  }
  Json json = Base(stubs.frontend_port);
  json["valid"] = {{"lag_ms", 5}, {"share", 0.01}, {"run_queue_share", 0.2}};
  json["arrivals"]["rate"] = 4000;  // enough work to need the core
  const CompletedRun ran = Offer(json, &stubs);
  stop = true;
  for (std::thread& thread : busy) thread.join();
  assert(sched_setaffinity(0, sizeof before, &before) == 0);
  assert(!ran.result.valid());
  for (const std::string& reason : ran.result.invalid_reasons) std::printf("starved: %s\n", reason.c_str());
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  std::signal(SIGPIPE, SIG_IGN);
  CleanRunAccountsForEachMessage();
  PauseIsChargedToEveryMessageThatWasDue();
  ClientsResubmitAsTheProtocolSays();
  UnansweredMessagesCountAsLongAsTheyWaited();
  StalledTargetLeavesCountedUnsentMessages();
  CheckerReportsAPartnerThatExecutesTwice();
  RateOfZeroOffersNothing();
  ImpossibleScenariosFailBeforeTheRun();
  ReplayedRunHasTheSameIntendedArrivals();
  InterruptedRunIsPartial();
  StarvedGeneratorMarksItsRunInvalid();
  std::puts("11 passed, 0 failed");
}
