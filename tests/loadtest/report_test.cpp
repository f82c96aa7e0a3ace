// Tests the parts that need no socket: histograms, statistics, run summaries, the checker's rules, imported
// traces and the rate search.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "loadtest/load/generator_monitor.h"
#include "loadtest/load/import.h"
#include "loadtest/load/rate_search.h"
#include "loadtest/load/trace.h"
#include "loadtest/report/comparison.h"
#include "loadtest/report/result_file.h"
#include "loadtest/report/statistics.h"
#include "loadtest/stub/checker.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

void QuantilesAreExactToOnePerCent() {
  Random random = Stream(4, "histogram");
  const Distribution spread = Distribution::Lognormal(3000, 30);
  LatencyHistogram whole;
  std::vector<LatencyHistogram> parts(4);
  std::vector<double> exact;
  for (int i = 0; i < 40'000; ++i) {
    const double us = std::clamp(spread.Draw(random), 10.0, 599e6);
    whole.Add(us);
    parts[static_cast<std::size_t>(i) % 4].Add(us);
    exact.push_back(us);
  }
  std::sort(exact.begin(), exact.end());
  for (const double p : {0.001, 0.1, 0.5, 0.9, 0.99, 0.999, 0.9999}) {
    const double exact_quantile = exact[static_cast<std::size_t>(std::ceil(p * 40'000)) - 1];
    assert(std::abs(whole.Quantile(p) / exact_quantile - 1) < 0.01);
  }
  assert(whole.Quantile(1) == exact.back() && whole.Quantile(0) == exact.front() &&
         whole.max() == exact.back());
  LatencyHistogram merged;
  for (const LatencyHistogram& part : parts) merged.Merge(part);
  assert(merged.count() == whole.count() && merged.min() == whole.min() && merged.max() == whole.max());
  assert(merged.ToJson()["bins"] == whole.ToJson()["bins"]);
  const LatencyHistogram read_back = LatencyHistogram::FromJson(nlohmann::json::parse(whole.ToJson().dump()));
  assert(read_back.Quantile(0.99) == whole.Quantile(0.99) && read_back.count() == whole.count());
  // Values at both ends of the axis, and values outside it.
  for (const double us : {10.0, 11.0, 1e3, 1e6, 599e6}) {
    LatencyHistogram one;
    for (const double factor : {1.0, 1.003, 1.003, 1.006}) one.Add(us * factor);
    assert(std::abs(one.Quantile(0.5) / us - 1) < 0.01);
  }
  LatencyHistogram beyond;
  for (const double us : {3.0, 4.0, 5e9}) beyond.Add(us);
  assert(beyond.Quantile(0.5) == 3 && beyond.Quantile(1) == 5e9 && beyond.CountOver(6e8) == 1 &&
         LatencyHistogram().Quantile(0.5) == 0);
}

void IntervalsFollowStudentAndWelch() {
  const double a[] = {9.8, 10.1, 10.0, 10.3, 9.9};
  const auto mean = MeanInterval(a);
  assert(std::abs(mean->middle - 10.02) < 1e-9 && std::abs(mean->high - 10.2588) < 1e-3);  // t(4) = 2.776
  const double b[] = {20.1, 19.8, 20.5};
  const auto ratio = RatioInterval(a, b);
  assert(ratio->low > 1.9 && ratio->high < 2.1 && std::abs(ratio->middle - 2.0089) < 1e-2);
  const double one[] = {1};
  assert(!MeanInterval(one) && !RatioInterval(one, a));
  const double zero[] = {0, 1};
  assert(!RatioInterval(a, zero));
}

// A scenario with a class "a" with an objective of 100 ms, and a class "p" that may not be repeated.
Scenario TwoClasses() {
  return ScenarioFromJson(nlohmann::json::parse(
      R"({"targets":["127.0.0.1:1"],"classes":[{"name":"a","deadline_ms":1000,"aim_ms":100},
          {"name":"p","deadline_ms":1000,"repeat":"never"}]})"));
}

// A message that was intended `number` ms after second 1, and got its response 530 us after that.
MessageRecord SentMessage(std::int64_t number, int message_class, std::int16_t status) {
  MessageRecord record;
  record.planned = {number, number * 1000, message_class, 3, 10, 0};
  record.intended_us = 1'000'000 + number * 1000;
  record.due_us = record.intended_us + 20;
  record.sent_us = record.intended_us + 30;
  record.responded_us = record.sent_us + 500;
  record.first_status = status;
  record.last_status = status;
  record.submissions = 1;
  if (status == 202) {
    record.accepted_us = record.responded_us;
    record.accepted_submission = 0;
  }
  return record;
}

// An observation `after_us` after the message's intended time. Message 9 is not idempotent.
Observation Observed(ObservationKind kind, std::int64_t number, std::int64_t after_us, int submission = 0) {
  const SubmissionId id{7, number, submission, 3,
                        number == 9 ? Idempotency::kNotIdempotent : Idempotency::kIdempotent};
  return {kind, 1'000'000 + number * 1000 + after_us, ToText(id)};
}

void EachMessageHasOneFinalOutcome() {
  std::vector<MessageRecord> records;
  for (int i = 0; i < 10; ++i) records.push_back(SentMessage(i, i == 9 ? 1 : 0, 202));
  records[0] = SentMessage(0, 0, 429);
  records[1] = SentMessage(1, 0, 500);
  records[2] = SentMessage(2, 0, 0);
  records[3].sent_us = kNever;
  records[3].responded_us = kNever;
  records[3].accepted_us = kNever;
  std::vector<Observation> observations = {Observed(ObservationKind::kDelivered, 4, 50'000),
                                           Observed(ObservationKind::kDelivered, 5, 150'000),
                                           Observed(ObservationKind::kUndeliverable, 6, 900'000),
                                           Observed(ObservationKind::kDeferred, 7, 500'000),
                                           Observed(ObservationKind::kDelivered, 9, 10'000),
                                           Observed(ObservationKind::kDelivered, 8, 10, 1),
                                           Observed(ObservationKind::kDelivered, 8, 10, 1)};
  const auto count = [&](const RunSummary& totals, FinalOutcome outcome) {
    return totals.outcomes[static_cast<std::size_t>(outcome)];
  };
  RunSummary summary = Summarize(TwoClasses(), records, observations, true, 1'100'000, 7);
  assert(count(summary, FinalOutcome::kRejected) == 1 && count(summary, FinalOutcome::kFailed) == 1 &&
         count(summary, FinalOutcome::kUnanswered) == 1 && count(summary, FinalOutcome::kUnsent) == 1);
  assert(count(summary, FinalOutcome::kWithinObjective) == 2 && count(summary, FinalOutcome::kLate) == 1 &&
         count(summary, FinalOutcome::kUndeliverable) == 1 && count(summary, FinalOutcome::kDeferred) == 1);
  assert(count(summary, FinalOutcome::kPending) == 1 && summary.violation_count == 0 &&
         summary.abandoned_observations == 2 && summary.offered == 10);
  // A message without an outcome after its deadline is lost. Deliveries of an abandoned submission don't
  // count.
  summary = Summarize(TwoClasses(), records, observations, true, 9'000'000, 7);
  assert(count(summary, FinalOutcome::kLost) == 1 && summary.violations.front().rule == "lost");
  observations.push_back(Observed(ObservationKind::kUndeliverable, 4, 60'000));
  observations.push_back(Observed(ObservationKind::kEffect, 9, 60'000));
  observations.push_back(Observed(ObservationKind::kEffect, 9, 70'000));
  observations.push_back({ObservationKind::kDelivered, 5, "of another client"});
  summary = Summarize(TwoClasses(), records, observations, true, 1'100'000, 7);
  assert(summary.violation_count == 2 && summary.foreign_observations == 1);
  summary = Summarize(TwoClasses(), records, {}, false, 9'000'000, 7);
  assert(count(summary, FinalOutcome::kNotObserved) == 6 && summary.violation_count == 0);
  assert(summary.response_corrected.min() == 530 && summary.response_as_sent.min() == 500 &&
         summary.lag.max() == 20 && summary.buckets.size() == 1);
}

void ResultsAreReadBackAndCompared() {
  std::vector<MessageRecord> records;
  for (int i = 0; i < 50; ++i) records.push_back(SentMessage(i, 0, 202));
  RunRecords run;
  run.run = 7;
  run.ended_us = 5'000'000;
  run.records = records;
  run.threads = {{1, 0.1, 0.5, 1}};
  const RunResult result = MakeResult("x", TwoClasses(), run, {}, false);
  // A thread waited for a core half of the time, and its clock jumped.
  assert(result.invalid_reasons.size() == 2);
  const RunResult read_back = ResultFromJson(nlohmann::json::parse(ToJson(result).dump()));
  assert(ToJson(read_back) == ToJson(result));
  nlohmann::json broken = ToJson(result);
  broken["fates"].erase("late");
  assert(!ErrorOf([&] { ResultFromJson(broken); }).empty());
  RunResult slower = result;
  slower.summary.response_corrected.Add(900'000);
  slower.summary.response_corrected.Add(900'000);
  const auto verdict = [](const nlohmann::json& comparison, const std::string& metric) {
    for (const auto& row : comparison["figures"]) {
      if (row["figure"] == metric) return row["verdict"].get<std::string>();
    }
    return std::string("none");
  };
  RunResult similar = result;
  RunResult similarly_slow = slower;
  similar.summary.response_corrected.Add(540);
  similarly_slow.summary.response_corrected.Add(910'000);
  const nlohmann::json comparison = Compare({result, similar}, {slower, similarly_slow});
  assert(verdict(comparison, "answer p99, ms") == "worse" &&
         verdict(comparison, "share taken") == "no difference shown");
  assert(verdict(Compare({result}, {slower}), "answer p99, ms") == "one run is too few to tell");
}

// A checker, and helpers to report calls to it. Times are in milliseconds. The dispatcher may have two
// concurrent calls.
class CheckerHarness {
 public:
  CheckerHarness() : checker(TwoConcurrentCalls()) {}

  std::int64_t Start(std::int64_t at_ms, const std::string& id,
                     Idempotency idempotency = Idempotency::kIdempotent) {
    return StartAt(at_ms, id, 3, "e", idempotency);
  }
  std::int64_t StartAt(std::int64_t at_ms, const std::string& id, int destination,
                       const std::string& endpoint, Idempotency idempotency = Idempotency::kIdempotent) {
    return checker.OnCallStarted(at_ms * 1000, {id, endpoint, destination, 3, idempotency, "n0"});
  }
  void End(std::int64_t at_ms, std::int64_t call, CallOutcome outcome, std::int64_t wait_ms = 0) {
    checker.OnCallEnded(at_ms * 1000, call, outcome, wait_ms * 1000);
  }
  // A call from 0 to 1 ms.
  void Call(const std::string& id, CallOutcome outcome, Idempotency idempotency = Idempotency::kIdempotent) {
    End(1, Start(0, id, idempotency), outcome);
  }
  // A call from 0 to 10 ms, whose response announces a wait of 500 ms.
  void AnnounceWait() { End(10, Start(0, "a"), CallOutcome::kRejected, 500); }

  Checker checker;

 private:
  static Rules TwoConcurrentCalls() {
    Rules rules;
    rules.max_concurrent_calls = 2;
    return rules;
  }
};

constexpr const char* kNoViolation = "0";

// Runs the script on a new checker. Returns the name of the violated rule, or the number of violations if it
// isn't one.
template <typename Script>
std::string ViolatedRule(Script script) {
  CheckerHarness harness;
  script(harness);
  const Checker& checker = harness.checker;
  return checker.count() == 1 ? checker.violations()[0].rule : std::to_string(checker.count());
}

// Each of the following tests has scripts that violate a rule, and similar scripts that just keep it.

void CheckerFindsConcurrentCopiesAndTooManyCalls() {
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Start(0, "a");
           h.Start(1, "a");
         }) == "second copy");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Call("a", CallOutcome::kRejected);
           h.Start(1, "a");
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           for (int i = 0; i < 7; ++i) h.End(i, h.Start(i, "a"), CallOutcome::kRejected);
         }) == "too many attempts");
  assert(ViolatedRule([](CheckerHarness& h) {
           for (int i = 0; i < 6; ++i) h.End(i, h.Start(i, "a"), CallOutcome::kRejected);
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           for (const char* id : {"a", "b", "c"}) h.Start(0, id);
         }) == "beyond slots");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Start(0, "a");
           h.Call("b", CallOutcome::kMayHaveExecuted);
           h.Start(2, "c");
         }) == kNoViolation);
}

void CheckerFindsWrongDestinationsAndDrainingEndpoints() {
  assert(ViolatedRule([](CheckerHarness& h) { h.StartAt(0, "a", 4, "e"); }) == "wrong destination");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.checker.OnDrainingAnnounced(0, "e");
           h.Start(2051, "a");
         }) == "drain not kept");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.checker.OnDrainingAnnounced(0, "e");
           h.Start(2049, "a");
           h.checker.OnInServiceAnnounced("e");
           h.Start(3000, "b");
         }) == kNoViolation);
}

// An announced wait applies to all endpoints of the destination from 100 ms after its announcement, and to no
// other destination.
void CheckerFindsCallsBeforeAWaitIsOver() {
  assert(ViolatedRule([](CheckerHarness& h) {
           h.AnnounceWait();
           h.StartAt(300, "b", 3, "other");
         }) == "wait not kept");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.AnnounceWait();
           h.Start(100, "b");
           h.Start(511, "c");
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           h.AnnounceWait();
           h.checker.OnCallStarted(300'000, {"b", "e", 9, 9, {}, "n0"});
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           h.AnnounceWait();
           h.checker.OnDispatcherRestarted("n0");
           h.Start(300, "b");
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           h.AnnounceWait();
           h.End(450, h.Start(60, "b"), CallOutcome::kRejected, 100);
           h.Start(505, "c");
         }) == "wait not kept");
}

void CheckerFindsForbiddenRepeats() {
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Call("a", CallOutcome::kMayHaveExecuted, Idempotency::kNotIdempotent);
           h.Start(2, "a", Idempotency::kNotIdempotent);
         }) == "forbidden repeat");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Call("a", CallOutcome::kRejected, Idempotency::kNotIdempotent);
           h.Start(2, "a", Idempotency::kNotIdempotent);
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Call("a", CallOutcome::kDelivered, Idempotency::kNotIdempotent);
           h.Start(2, "a", Idempotency::kNotIdempotent);
         }) == "delivered again");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Start(0, "a", Idempotency::kNotIdempotent);
           h.checker.OnDispatcherRestarted("n0");
           h.Start(2, "a", Idempotency::kNotIdempotent);
         }) == "forbidden repeat");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Call("a", CallOutcome::kMayHaveExecuted, Idempotency::kIdempotentWithKey);
           h.Start(10'051, "a", Idempotency::kIdempotentWithKey);
         }) == "repeat window over");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.Call("a", CallOutcome::kMayHaveExecuted, Idempotency::kIdempotentWithKey);
           h.Start(10'049, "a", Idempotency::kIdempotentWithKey);
         }) == kNoViolation);
  assert(ViolatedRule([](CheckerHarness& h) {
           h.checker.OnEffect("a", Idempotency::kNotIdempotent);
           h.checker.OnEffect("a", Idempotency::kNotIdempotent);
         }) == "took effect twice");
  assert(ViolatedRule([](CheckerHarness& h) {
           h.checker.OnEffect("a", Idempotency::kIdempotent);
           h.checker.OnEffect("a", Idempotency::kIdempotent);
         }) == kNoViolation);
}

ImportResult Import(const std::string& text, const ImportOptions& options) {
  std::istringstream in(text);
  return ImportTrace(in, options);
}

void ImportReadsCsv() {
  ImportOptions csv;
  csv.columns.destination = "to";
  ImportResult imported = Import(
      "time,class,to,bytes\n10.5,aviso,3,100\r\n\"11\",pedido,4,\n\n2026-01-07T12:00:00Z,aviso,3,7\n", csv);
  assert(imported.messages.size() == 3 && imported.malformed_count == 0 &&
         imported.classes == (std::vector<std::string>{"aviso", "pedido"}));
  assert(imported.messages[0].at_us == 0 && imported.messages[1].at_us == 500'000 &&
         imported.messages[1].destination == 4);
  assert(imported.messages[0].body_bytes == 100 && imported.messages[1].body_bytes == 200 &&
         imported.messages[1].message_class == 1);
  // Malformed lines are counted and reported with line and column. With `strict`, the first one is an error.
  const std::string bad = "time,class,to\n1,a,1\nx,a,1\n2,a\n3,\"a,1\n4,a,1\n";
  imported = Import(bad, csv);
  assert(imported.messages.size() == 2 && imported.malformed_count == 3 &&
         imported.malformed_lines[0].line == 3 && imported.malformed_lines[0].column == 1);
  assert(imported.malformed_lines[1].line == 4 && imported.malformed_lines[1].column == 4 &&
         imported.malformed_lines[2].line == 5 && imported.malformed_lines[2].column == 7);
  csv.strict = true;
  const std::string error = ErrorOf([&] { Import(bad, csv); });
  assert(error.starts_with("line 3, column 1: expected a time"));
  // Lines whose time goes back are sorted and reported.
  csv.strict = false;
  imported = Import("time,class,to\n5,a,1\n2,a,2\n6,a,3\n", csv);
  assert(imported.out_of_order_lines == 1 && imported.max_backward_s == 3 &&
         imported.messages[0].destination == 2 && imported.messages[1].at_us == 3'000'000);
}

void ImportReadsJsonLines() {
  ImportOptions json_lines;
  json_lines.format = TraceFormat::kJsonLines;
  json_lines.time_unit_s = 1e-3;
  const ImportResult imported = Import(
      "{\"time\":1500,\"class\":\"a\",\"destination\":\"2\"}\n{\"time\":\n[1]\n{\"class\":\"a\"}\n{\"time\":"
      "2500}\n",
      json_lines);
  assert(imported.messages.size() == 2 && imported.malformed_count == 3 &&
         imported.malformed_lines[0].line == 2 && imported.messages[1].at_us == 1'000'000);
}

void ImportReadsAccessLogs() {
  ImportOptions log;
  log.format = TraceFormat::kCombined;
  log.destinations = 4;
  const std::string host = "203.0.113.9";
  const ImportResult imported = Import(
      host + " - - [07/Jan/2026:12:00:00 -0300] \"POST /aviso/7 HTTP/1.1\" 202 5 \"-\" \"a \\\"b\\\"\"\n" +
          host + " - - [07/Jan/2026:15:00:01 +0000] \"POST /pedido HTTP/1.1\" 202 5\n" + host +
          " - - 07/Jan/2026 \"POST /x HTTP/1.1\" 202 5\n",
      log);
  assert(imported.messages.size() == 2 && imported.messages[1].at_us == 1'000'000 &&
         imported.malformed_count == 1 && imported.malformed_lines[0].column == 17);
  assert(imported.messages[0].client == imported.messages[1].client && imported.messages[0].destination < 4);
  log.seed = 2;
  assert(Import(host + " - - [07/Jan/2026:12:00:00 -0300] \"POST /a HTTP/1.1\" 202 5\n", log)
             .messages[0]
             .client != imported.messages[0].client);
}

void ImportScalesAndCutsTraces() {
  std::string text = "time,class,destination\n";
  for (int n = 0; n < 1000; ++n) text += std::to_string(n) + ",a,1\n";
  ImportOptions options;
  options.time_scale = 0.5;
  ImportResult imported = Import(text, options);
  assert(imported.messages.back().at_us == 499'500'000);
  options.time_scale = 1;
  options.rate_scale = 3;
  imported = Import(text, options);
  assert(imported.messages.size() == 3000 && imported.messages[1].at_us == 333'333 &&
         imported.messages[3].at_us == 1'000'000);
  options.rate_scale = 0.25;
  imported = Import(text, options);
  assert(std::abs(static_cast<double>(imported.messages.size()) - 250) < 60 &&
         imported.messages.size() == Import(text, options).messages.size());
  options.rate_scale = 1;
  options.from_s = 100;
  options.to_s = 200;
  imported = Import(text, options);
  assert(imported.messages.size() == 100 && imported.messages[0].at_us == 0 &&
         imported.messages[0].number == 0);
}

void RateSearchFindsAndConfirmsTheHighestRate() {
  const auto search = [](double true_limit, double long_limit) {
    RateSearchOptions options;
    options.from = 100;
    options.to = 10'000;
    return FindHighestSustainedRate(options, [&](double rate, double seconds) {
      return RateProbe{rate, seconds, rate <= (seconds < 30 ? true_limit : long_limit), "", 0, 0};
    });
  };
  assert(std::abs(search(1234, 1234).rate / 1234 - 1) < 0.05 && search(1234, 1234).rate <= 1234);
  const RateSearchResult confirmed = search(1234, 1000);  // a long run sustains less than a short one
  assert(confirmed.rate <= 1000 && confirmed.rate > 900 && confirmed.probes.back().seconds == 60);
  assert(search(50, 50).rate == 0 && search(1e9, 1e9).rate == 10'000);
}

void StarvedGeneratorMakesARunInvalid() {
  LatencyHistogram lag;
  for (int n = 0; n < 980; ++n) lag.Add(100);
  for (int n = 0; n < 20; ++n) lag.Add(50'000);
  assert(FindInvalidityReasons({}, lag, {{10, 1, 0.1, 0}}).size() == 1 &&
         FindInvalidityReasons({5, 0.03, 0.2}, lag, {{10, 1, 0.1, 0}}).empty());
  assert(FindInvalidityReasons({5, 0.03, 0.2}, lag, {{10, 1, 3, 0}, {10, 1, 0, 2}}).size() == 2);
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  QuantilesAreExactToOnePerCent();
  IntervalsFollowStudentAndWelch();
  EachMessageHasOneFinalOutcome();
  ResultsAreReadBackAndCompared();
  CheckerFindsConcurrentCopiesAndTooManyCalls();
  CheckerFindsWrongDestinationsAndDrainingEndpoints();
  CheckerFindsCallsBeforeAWaitIsOver();
  CheckerFindsForbiddenRepeats();
  ImportReadsCsv();
  ImportReadsJsonLines();
  ImportReadsAccessLogs();
  ImportScalesAndCutsTraces();
  RateSearchFindsAndConfirmsTheHighestRate();
  StarvedGeneratorMakesARunInvalid();
  std::puts("14 passed, 0 failed");
}
