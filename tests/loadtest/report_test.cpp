// Histograms, statistics, accounts, the checker's rules and imported traces: everything that needs no socket.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "loadtest/load/import.h"
#include "loadtest/load/limit.h"
#include "loadtest/load/self_watch.h"
#include "loadtest/load/trace.h"
#include "loadtest/report/html.h"
#include "loadtest/report/statistics.h"
#include "loadtest/stub/checker.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

void QuantilesAreRightToAPerCent() {
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
    const double truth = exact[static_cast<std::size_t>(std::ceil(p * 40'000)) - 1];
    assert(std::abs(whole.Quantile(p) / truth - 1) < 0.01);
  }
  assert(whole.Quantile(1) == exact.back() && whole.Quantile(0) == exact.front() &&
         whole.max() == exact.back());
  LatencyHistogram merged;
  for (const LatencyHistogram& part : parts) merged.Merge(part);
  assert(merged.count() == whole.count() && merged.min() == whole.min() && merged.max() == whole.max());
  assert(merged.ToJson()["bins"] == whole.ToJson()["bins"]);
  const LatencyHistogram read = LatencyHistogram::FromJson(nlohmann::json::parse(whole.ToJson().dump()));
  assert(read.Quantile(0.99) == whole.Quantile(0.99) && read.count() == whole.count());
  // Both ends of the axis, and beyond it.
  for (const double us : {10.0, 11.0, 1e3, 1e6, 599e6}) {
    LatencyHistogram one;
    one.Add(us), one.Add(us * 1.003), one.Add(us * 1.003), one.Add(us * 1.006);
    assert(std::abs(one.Quantile(0.5) / us - 1) < 0.01);
  }
  LatencyHistogram beyond;
  beyond.Add(3), beyond.Add(4), beyond.Add(5e9);
  assert(beyond.Quantile(0.5) == 3 && beyond.Quantile(1) == 5e9 && beyond.Over(6e8) == 1 &&
         LatencyHistogram().Quantile(0.5) == 0);
}

void IntervalsAreStudentsAndWelchs() {
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

Scenario Two() {
  return ScenarioFromJson(nlohmann::json::parse(
      R"({"targets":["127.0.0.1:1"],"classes":[{"name":"a","deadline_ms":1000,"aim_ms":100},
          {"name":"p","deadline_ms":1000,"repeat":"never"}]})"));
}

Record Sent(std::int64_t number, int message_class, std::int16_t code) {
  Record r;
  r.planned = {number, number * 1000, message_class, 3, 10, 0};
  r.intended_us = 1'000'000 + number * 1000;
  r.due_us = r.intended_us + 20;
  r.sent_us = r.intended_us + 30;
  r.answered_us = r.sent_us + 500;
  r.first_code = r.last_code = code;
  r.hand_ins = 1;
  if (code == 202) r.taken_us = r.answered_us, r.taken_hand_in = 0;
  return r;
}

Sighting Saw(SeenKind kind, std::int64_t number, std::int64_t after_us, int hand_in = 0) {
  const HandInId id{7, number, hand_in, 3, number == 9 ? Repeat::kNever : Repeat::kFree};
  return {kind, 1'000'000 + number * 1000 + after_us, ToText(id)};
}

void EachMessageHasOneFate() {
  std::vector<Record> records;
  for (int i = 0; i < 10; ++i) records.push_back(Sent(i, i == 9 ? 1 : 0, 202));
  records[0] = Sent(0, 0, 429);
  records[1] = Sent(1, 0, 500);
  records[2] = Sent(2, 0, 0);
  records[3].sent_us = records[3].answered_us = records[3].taken_us = kNever;
  std::vector<Sighting> seen = {
      Saw(SeenKind::kDelivered, 4, 50'000),      Saw(SeenKind::kDelivered, 5, 150'000),
      Saw(SeenKind::kUndeliverable, 6, 900'000), Saw(SeenKind::kDeferred, 7, 500'000),
      Saw(SeenKind::kDelivered, 9, 10'000),      Saw(SeenKind::kDelivered, 8, 10, 1),
      Saw(SeenKind::kDelivered, 8, 10, 1)};
  const auto at = [&](const Account& a, Fate f) { return a.fates[static_cast<std::size_t>(f)]; };
  Account a = Settle(Two(), records, seen, true, 1'100'000, 7);
  assert(at(a, Fate::kRefused) == 1 && at(a, Fate::kFailed) == 1 && at(a, Fate::kUnanswered) == 1 &&
         at(a, Fate::kUnsent) == 1);
  assert(at(a, Fate::kInAim) == 2 && at(a, Fate::kLate) == 1 && at(a, Fate::kUndeliverable) == 1 &&
         at(a, Fate::kDeferred) == 1);
  assert(at(a, Fate::kPending) == 1 && a.findings_count == 0 && a.given_up == 2 && a.offered == 10);
  a = Settle(Two(), records, seen, true, 9'000'000,
             7);  // its time is up, and the other hand-in's delivery counts for nothing
  assert(at(a, Fate::kLost) == 1 && a.findings.front().rule == "lost");
  seen.push_back(Saw(SeenKind::kUndeliverable, 4, 60'000));
  seen.push_back(Saw(SeenKind::kEffect, 9, 60'000));
  seen.push_back(Saw(SeenKind::kEffect, 9, 70'000));
  seen.push_back({SeenKind::kDelivered, 5, "somebody else's"});
  a = Settle(Two(), records, seen, true, 1'100'000, 7);
  assert(a.findings_count == 2 && a.strangers == 1);
  a = Settle(Two(), records, {}, false, 9'000'000, 7);
  assert(at(a, Fate::kUnwatched) == 6 && a.findings_count == 0);
  assert(a.answer_corrected.min() == 530 && a.answer_as_sent.min() == 500 && a.lag.max() == 20 &&
         a.series.size() == 1);
}

void RunsAreReadBackAndCompared() {
  std::vector<Record> records;
  for (int i = 0; i < 50; ++i) records.push_back(Sent(i, 0, 202));
  RunRecords run;
  run.run = 7;
  run.over_us = 5'000'000;
  run.records = records;
  run.threads = {{1, 0.1, 0.5, 1}};
  const Result result = MakeResult("x", Two(), run, {}, false);
  assert(result.why_invalid.size() == 2);  // half of the time without a core, and a jump of the clock
  const Result read = ResultFromJson(nlohmann::json::parse(ToJson(result).dump()));
  assert(ToJson(read) == ToJson(result));
  nlohmann::json broken = ToJson(result);
  broken["fates"].erase("late");
  assert(!Refused([&] { ResultFromJson(broken); }).empty());
  Result slower = result;
  slower.account.answer_corrected.Add(900'000), slower.account.answer_corrected.Add(900'000);
  const auto verdict = [](const nlohmann::json& comparison, const std::string& figure) {
    for (const auto& f : comparison["figures"]) {
      if (f["figure"] == figure) return f["verdict"].get<std::string>();
    }
    return std::string("none");
  };
  Result a2 = result, b2 = slower;
  a2.account.answer_corrected.Add(540), b2.account.answer_corrected.Add(910'000);
  const nlohmann::json comparison = Compare({result, a2}, {slower, b2});
  assert(verdict(comparison, "answer p99, ms") == "worse" &&
         verdict(comparison, "share taken") == "no difference shown");
  assert(verdict(Compare({result}, {slower}), "answer p99, ms") == "one run is too few to tell");
}

struct Judged {
  explicit Judged(const Rules& rules) : checker(rules) {}
  std::int64_t Call(std::int64_t at_ms, const std::string& id, int destination = 3,
                    const std::string& endpoint = "e", Repeat repeat = Repeat::kFree) {
    return checker.CallBegan(at_ms * 1000, {id, endpoint, destination, 3, repeat, "n0"});
  }
  void Over(std::int64_t at_ms, std::int64_t call, CallEnd end, std::int64_t wait_ms = 0) {
    checker.CallOver(at_ms * 1000, call, end, wait_ms * 1000);
  }
  std::string Rule() const {
    return checker.count() == 1 ? checker.findings()[0].rule : std::to_string(checker.count());
  }
  Checker checker;
};

// Each rule: broken is found and named, and its nearest kept neighbour is not.
void TheCheckerKnowsEachRule() {
  Rules rules;
  rules.slots = 2;
  const auto run = [&](auto script) {
    Judged j(rules);
    script(j);
    return j.Rule();
  };
  using enum CallEnd;
  const auto no = std::string("0");
  assert(run([](Judged& j) { j.Call(0, "a"), j.Call(1, "a"); }) == "second copy");
  assert(run([](Judged& j) { j.Over(1, j.Call(0, "a"), kTurnedAway), j.Call(1, "a"); }) == no);
  assert(run([](Judged& j) { j.Call(0, "a", 4); }) == "wrong destination");
  assert(run([](Judged& j) {
           for (int i = 0; i < 7; ++i) j.Over(i, j.Call(i, "a"), kTurnedAway);
         }) == "too many attempts");
  assert(run([](Judged& j) {
           for (int i = 0; i < 6; ++i) j.Over(i, j.Call(i, "a"), kTurnedAway);
         }) == no);
  assert(run([](Judged& j) { j.Call(0, "a"), j.Call(0, "b"), j.Call(0, "c"); }) == "beyond slots");
  assert(run([](Judged& j) { j.Call(0, "a"), j.Over(1, j.Call(0, "b"), kMayHaveRun), j.Call(2, "c"); }) ==
         no);
  // A wait binds the whole destination, from 100 ms after it was told, and other destinations not at all.
  const auto told = [](Judged& j) { j.Over(10, j.Call(0, "a"), kTurnedAway, 500); };
  assert(run([&](Judged& j) { told(j), j.Call(300, "b", 3, "other"); }) == "wait not kept");
  assert(run([&](Judged& j) { told(j), j.Call(100, "b"), j.Call(511, "c"); }) == no);
  assert(run([&](Judged& j) { told(j), j.checker.CallBegan(300'000, {"b", "e", 9, 9, {}, "n0"}); }) == no);
  assert(run([&](Judged& j) { told(j), j.checker.Restarted("n0"), j.Call(300, "b"); }) == no);
  assert(run([&](Judged& j) { told(j), j.Over(450, j.Call(60, "b"), kTurnedAway, 100), j.Call(505, "c"); }) ==
         "wait not kept");
  assert(run([](Judged& j) { j.checker.ToldDraining(0, "e"), j.Call(2051, "a"); }) == "drain not kept");
  assert(run([](Judged& j) {
           j.checker.ToldDraining(0, "e"), j.Call(2049, "a"), j.checker.ToldInService("e"), j.Call(3000, "b");
         }) == no);
  const auto never = Repeat::kNever, keyed = Repeat::kKeyed;
  assert(run([&](Judged& j) {
           j.Over(1, j.Call(0, "a", 3, "e", never), kMayHaveRun), j.Call(2, "a", 3, "e", never);
         }) == "forbidden repeat");
  assert(run([&](Judged& j) {
           j.Over(1, j.Call(0, "a", 3, "e", never), kTurnedAway), j.Call(2, "a", 3, "e", never);
         }) == no);
  assert(run([&](Judged& j) {
           j.Over(1, j.Call(0, "a", 3, "e", never), kDelivered), j.Call(2, "a", 3, "e", never);
         }) == "delivered again");
  assert(run([&](Judged& j) {
           j.Call(0, "a", 3, "e", never), j.checker.Restarted("n0"), j.Call(2, "a", 3, "e", never);
         }) == "forbidden repeat");
  assert(run([&](Judged& j) {
           j.Over(1, j.Call(0, "a", 3, "e", keyed), kMayHaveRun), j.Call(10'051, "a", 3, "e", keyed);
         }) == "repeat window over");
  assert(run([&](Judged& j) {
           j.Over(1, j.Call(0, "a", 3, "e", keyed), kMayHaveRun), j.Call(10'049, "a", 3, "e", keyed);
         }) == no);
  assert(run([&](Judged& j) { j.checker.Effect(0, "a", never), j.checker.Effect(1, "a", never); }) ==
         "took effect twice");
  assert(run([&](Judged& j) {
           j.checker.Effect(0, "a", Repeat::kFree), j.checker.Effect(1, "a", Repeat::kFree);
         }) == no);
}

Imported Import(const std::string& text, const ImportOptions& options) {
  std::istringstream in(text);
  return ImportTrace(in, options);
}

void TracesAreImported() {
  ImportOptions csv;
  csv.columns["destination"] = "to";
  Imported i = Import(
      "time,class,to,bytes\n10.5,aviso,3,100\r\n\"11\",pedido,4,\n\n2026-01-07T12:00:00Z,aviso,3,7\n", csv);
  assert(i.messages.size() == 3 && i.malformed == 0 &&
         i.classes == (std::vector<std::string>{"aviso", "pedido"}));
  assert(i.messages[0].at_us == 0 && i.messages[1].at_us == 500'000 && i.messages[1].destination == 4);
  assert(i.messages[0].body_bytes == 100 && i.messages[1].body_bytes == 200 &&
         i.messages[1].message_class == 1);
  // Malformed lines: counted, told with line and column, and fatal if strict.
  const std::string bad = "time,class,to\n1,a,1\nx,a,1\n2,a\n3,\"a,1\n4,a,1\n";
  i = Import(bad, csv);
  assert(i.messages.size() == 2 && i.malformed == 3 && i.problems[0].line == 3 && i.problems[0].column == 1);
  assert(i.problems[1].line == 4 && i.problems[1].column == 4 && i.problems[2].line == 5 &&
         i.problems[2].column == 7);
  csv.strict = true;
  const std::string what = Refused([&] { Import(bad, csv); });
  assert(what.starts_with("line 3, column 1: expected a time"));
  // A clock that goes back: sorted and told.
  csv.strict = false;
  i = Import("time,class,to\n5,a,1\n2,a,2\n6,a,3\n", csv);
  assert(i.went_back == 1 && i.most_back_s == 3 && i.messages[0].destination == 2 &&
         i.messages[1].at_us == 3'000'000);
  ImportOptions lines;
  lines.form = TraceForm::kJsonLines;
  lines.time_unit_s = 1e-3;
  i = Import(
      "{\"time\":1500,\"class\":\"a\",\"destination\":\"2\"}\n{\"time\":\n[1]\n{\"class\":\"a\"}\n{\"time\":"
      "2500}\n",
      lines);
  assert(i.messages.size() == 2 && i.malformed == 3 && i.problems[0].line == 2 &&
         i.messages[1].at_us == 1'000'000);
  ImportOptions log;
  log.form = TraceForm::kCombined;
  log.destinations = 4;
  const std::string host = "203.0.113.9";
  i = Import(
      host + " - - [07/Jan/2026:12:00:00 -0300] \"POST /aviso/7 HTTP/1.1\" 202 5 \"-\" \"a \\\"b\\\"\"\n" +
          host + " - - [07/Jan/2026:15:00:01 +0000] \"POST /pedido HTTP/1.1\" 202 5\n" + host +
          " - - 07/Jan/2026 \"POST /x HTTP/1.1\" 202 5\n",
      log);
  assert(i.messages.size() == 2 && i.messages[1].at_us == 1'000'000 && i.malformed == 1 &&
         i.problems[0].column == 17);
  assert(i.messages[0].caller == i.messages[1].caller && i.messages[0].destination < 4);
  log.seed = 2;
  assert(Import(host + " - - [07/Jan/2026:12:00:00 -0300] \"POST /a HTTP/1.1\" 202 5\n", log)
             .messages[0]
             .caller != i.messages[0].caller);
}

void TracesAreScaledAndCut() {
  std::string text = "time,class,destination\n";
  for (int n = 0; n < 1000; ++n) text += std::to_string(n) + ",a,1\n";
  ImportOptions o;
  o.time_scale = 0.5;
  Imported i = Import(text, o);
  assert(i.messages.back().at_us == 499'500'000);
  o.time_scale = 1;
  o.rate_scale = 3;
  i = Import(text, o);
  assert(i.messages.size() == 3000 && i.messages[1].at_us == 333'333 && i.messages[3].at_us == 1'000'000);
  o.rate_scale = 0.25;
  i = Import(text, o);
  assert(std::abs(static_cast<double>(i.messages.size()) - 250) < 60 &&
         i.messages.size() == Import(text, o).messages.size());
  o.rate_scale = 1;
  o.from_s = 100;
  o.to_s = 200;
  i = Import(text, o);
  assert(i.messages.size() == 100 && i.messages[0].at_us == 0 && i.messages[0].number == 0);
}

void TheHighestRateIsFoundAndConfirmed() {
  const auto search = [](double true_limit, double long_limit) {
    LimitOptions o;
    o.from = 100;
    o.to = 10'000;
    return FindLimit(o, [&](double rate, double seconds) {
      return Probe{rate, seconds, rate <= (seconds < 30 ? true_limit : long_limit), "", 0, 0};
    });
  };
  assert(std::abs(search(1234, 1234).rate / 1234 - 1) < 0.05 && search(1234, 1234).rate <= 1234);
  const Limit tired = search(1234, 1000);  // the long run holds less than the short one
  assert(tired.rate <= 1000 && tired.rate > 900 && tired.probes.back().seconds == 60);
  assert(search(50, 50).rate == 0 && search(1e9, 1e9).rate == 10'000);
}

void AStarvedGeneratorIsNotTrusted() {
  LatencyHistogram lag;
  for (int n = 0; n < 980; ++n) lag.Add(100);
  for (int n = 0; n < 20; ++n) lag.Add(50'000);
  assert(Invalid({}, lag, {{10, 1, 0.1, 0}}).size() == 1 &&
         Invalid({5, 0.03, 0.2}, lag, {{10, 1, 0.1, 0}}).empty());
  assert(Invalid({5, 0.03, 0.2}, lag, {{10, 1, 3, 0}, {10, 1, 0, 2}}).size() == 2);
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  QuantilesAreRightToAPerCent();
  IntervalsAreStudentsAndWelchs();
  EachMessageHasOneFate();
  RunsAreReadBackAndCompared();
  TheCheckerKnowsEachRule();
  TracesAreImported();
  TracesAreScaledAndCut();
  TheHighestRateIsFoundAndConfirmed();
  AStarvedGeneratorIsNotTrusted();
  std::puts("9 passed, 0 failed");
}
