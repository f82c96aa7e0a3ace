// The load generator on sockets: a target that pauses, is silent, breaks off, delivers twice; a generator
// that is starved or broken off; a run that is replayed.
#undef NDEBUG
#include <sched.h>

#include <cassert>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "loadtest/load/trace.h"
#include "loadtest/report/result.h"
#include "loadtest/stub/thread.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

StandInSettings FrontWith(const Json& timeline) {
  return StandInSettingsFromJson({{"seed", 3}, {"front", Json::object()}, {"timeline", timeline}});
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

struct Ran {
  Result result;
  RunRecords records;
};
Ran Offer(const Json& json, StandInThread* standins, const RunOptions& options = {}) {
  const Scenario scenario = ScenarioFromJson(json);
  Ran ran;
  ran.records = RunLoad(scenario, options);
  const std::vector<Sighting> seen = standins == nullptr ? std::vector<Sighting>() : standins->Sightings();
  ran.result = MakeResult("test", scenario, ran.records, seen, standins != nullptr);
  return ran;
}
std::int64_t FateCount(const Ran& ran, Fate fate) {
  return ran.result.account.fates[static_cast<std::size_t>(fate)];
}

void ACleanRunIsAccountedForInFull() {
  for (const char* mode : {"platform", "binary", "structured", "batched"}) {
    StandInThread standins(FrontWith(Json::array()));
    Json json = Base(standins.front_port);
    json["threads"] = 2;
    if (std::string(mode) != "platform") json["front"] = "events", json["mode"] = mode;
    const Ran ran = Offer(json, &standins);
    if (FateCount(ran, Fate::kInAim) != 499) PrintResult(ran.result, std::cerr);
    assert(ran.result.account.offered == 499 && FateCount(ran, Fate::kInAim) == 499);
    assert(ran.result.account.findings_count == 0 && ran.result.account.hand_ins == 499);
  }
}

// A pause of 3 s under 500 messages a second. Each message that was due meanwhile is charged for it; a client
// that times its own sends sees it on its few connections only.
void APauseIsReportedInFull() {
  const StandInSettings settings = FrontWith({{{"fault", "pause"}, {"at_ms", 1500}, {"for_ms", 3000}}});
  StandInThread standins(settings);
  Json json = Base(standins.front_port);
  json["seconds"] = 8;
  json["connections"] = 4;
  json["answer_ms"] = 0;
  const Ran ran = Offer(json, &standins);
  const Account& account = ran.result.account;
  const LatencyHistogram &corrected = account.answer_corrected, &as_sent = account.answer_as_sent;
  assert(std::abs(account.offered - 4000) <= 1 && corrected.count() == account.offered);
  assert(corrected.max() >= 2.98e6 && corrected.Quantile(0.999) >= 2.95e6);
  // Who was due during the pause has waited for its end, and the histogram counts each of them; who came
  // while the backlog was worked off waited too.
  const std::int64_t from = standins.started_us + 1'500'000, to = from + 3'000'000;
  int met = 0;
  for (const Record& r : ran.records.records)
    met += r.intended_us >= from && r.intended_us < to && r.answered_us >= to - 2'000 ? 1 : 0;
  std::printf(
      "pause: %d messages met it, %ld waited over 20 ms, p99.9 %.0f ms, max %.0f ms; as sent: %ld, p99.9 "
      "%.1f ms\n",
      met, corrected.Over(20'000), corrected.Quantile(0.999) / 1000, corrected.max() / 1000,
      as_sent.Over(20'000), as_sent.Quantile(0.999) / 1000);
  assert(std::abs(met / 1500.0 - 1) < 0.02 && corrected.Over(20'000) >= met - 12);
  // The report names the fault, and who was due during it.
  std::vector<FaultSpan> spans = settings.timeline.spans();
  spans[0].from_ms -= static_cast<double>(ran.records.start_us - standins.started_us) / 1000;
  const Result result =
      MakeResult("pause", ScenarioFromJson(json), ran.records, standins.Sightings(), true, Timeline(spans));
  assert(result.account.met.size() == 1 &&
         std::abs(static_cast<double>(result.account.met[0].waited) / 1500 - 1) < 0.02);
  // One that was due just before the pause, and came just after it had begun, waits a little longer.
  const double met_longest = result.account.met[0].answer_max_us;
  assert(met_longest <= corrected.max() && met_longest > corrected.max() - 20'000);
  const Result read = ResultFromJson(ToJson(result));
  assert(read.account.met[0].waited == result.account.met[0].waited &&
         read.faults[0].from_ms == spans[0].from_ms);
  assert(as_sent.Over(20'000) <= 4 && as_sent.Quantile(0.99) < 0.1 * corrected.Quantile(0.99));
  double longest = 0;
  for (const Bucket& b : account.series) longest = std::max(longest, b.corrected_max);
  assert(longest == corrected.max());
}

void ClientsBehaveAsTheProtocolSays() {
  // Refused at first: handed in again after Retry-After, with X-Retry and a new id.
  StandInThread full(FrontWith({{{"fault", "full"}, {"ms", 300}, {"at_ms", 0}, {"for_ms", 250}}}));
  Json json = Base(full.front_port);
  json["seconds"] = 0.1;
  Ran ran = Offer(json, &full);
  assert(FateCount(ran, Fate::kInAim) == 49 && ran.result.account.hand_ins == 98);
  assert(ran.result.account.taken.min() > 250'000 && ran.result.account.answer_corrected.max() < 250'000);
  // Refused to the end: three hand-ins and no more.
  StandInThread refusing(FrontWith({{{"fault", "refuse"}}}));
  json = Base(refusing.front_port);
  json["seconds"] = 0.1;
  json["again_ms"] = 20;
  ran = Offer(json, &refusing);
  assert(FateCount(ran, Fate::kRefused) == 49 && ran.result.account.hand_ins == 147);
}

void WhatNeverAnswersIsCountedForAsLongAsItWasWaitedFor() {
  for (const char* fault : {"silent", "half", "reset", "spoilt"}) {
    StandInThread standins(FrontWith({{{"fault", fault}}}));
    Json json = Base(standins.front_port);
    json["seconds"] = 0.2;
    json["connections"] = 200;
    json["hand_ins_again"] = 0;
    json["answer_ms"] = 150;
    const Ran ran = Offer(json, &standins);
    assert(ran.result.account.offered == 99 && FateCount(ran, Fate::kUnanswered) == 99 &&
           ran.result.account.answers_cut == 99);
    if (std::string(fault) == "silent") assert(ran.result.account.answer_corrected.min() >= 150'000);
  }
  // Nobody listens at all.
  Json json = Base(1);
  json["seconds"] = 0.1;
  json["hand_ins_again"] = 0;
  assert(FateCount(Offer(json, nullptr), Fate::kUnanswered) == 49);
}

void AStalledTargetCostsBoundedMemoryAndNothingIsDroppedSilently() {
  StandInThread standins(FrontWith({{{"fault", "silent"}}}));
  Json json = Base(standins.front_port);
  json["connections"] = 2;
  json["answer_ms"] = 0;
  json["backlog"] = 100;
  json["drain_s"] = 0.2;
  const Ran ran = Offer(json, &standins);
  assert(ran.result.account.offered == 499 && FateCount(ran, Fate::kUnsent) == 497 &&
         FateCount(ran, Fate::kUnanswered) == 2);
}

void APartnerThatDeliversTwiceIsFoundAndNamed() {
  const StandInSettings settings = StandInSettingsFromJson(
      {{"partners", {{{"destination", 0}}}}, {"timeline", {{{"fault", "twice"}, {"share", 0.2}}}}});
  EventLoop loop;
  StandIns standins(loop, settings);
  Clients clients(loop, {{"127.0.0.1", standins.partners[0]->port()}}, 4, std::chrono::seconds(5));
  int answers = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = ToText({1, i, 0, 0, Repeat::kNever});
    const std::string text =
        "POST /hook HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    clients.Send(text, [&](const Reply& reply) {
      assert(reply.code == 200);
      if (++answers == i + 1) loop.Break();
    });
    loop.Run();
  }
  assert(standins.checker.count() > 2 && standins.checker.count() < 20);
  for (const Finding& f : standins.checker.findings())
    assert(f.rule == "took effect twice" && ParseHandInId(f.id));
}

void ARateOfZeroOffersNothing() {
  Json json = Base(1);
  json["seconds"] = 0.2;
  json["arrivals"]["rate"] = 0;
  const Ran ran = Offer(json, nullptr);
  assert(ran.result.account.offered == 0 && ran.result.valid() && !ran.result.partial);
  assert(ResultFromJson(ToJson(ran.result)).account.offered == 0);
}

std::string Refusal(const Json& json) {
  return Refused([&] { Offer(json, nullptr); });
}

void WhatCannotBeDoneIsSaidBeforeTheRun() {
  Json json = Base(1);
  json["connections"] = 1'000'000;
  assert(Refusal(json).starts_with("connections: 1000000 need 1000064 descriptors"));
  json = Base(1);
  json["threads"] = 17;
  assert(Refusal(json).starts_with("connections: expected at least one for each"));
  json = Base(1);
  json["max_messages"] = 10;
  assert(Refusal(json).find("max_messages") != std::string::npos);
  json = Base(1);
  json["trace"] = "/nowhere/trace";
  assert(Refusal(json).starts_with("/nowhere/trace: can't be read"));
}

void ARunIsReplayedToTheSameIntendedArrivals() {
  char folder[] = "/tmp/sagetally-loadtest-XXXXXX";
  assert(mkdtemp(folder) != nullptr);
  StandInThread standins(FrontWith(Json::array()));
  Json json = Base(standins.front_port);
  json["arrivals"] = {{"process", "poisson"}, {"rate", 400}};
  json["body_bytes"] = {{"kind", "lognormal"}, {"mean", 300}, {"cv", 2}};
  json["destinations"] = {{"first", 2}, {"count", 9}};
  json["threads"] = 2;
  RunOptions options;
  options.record = std::string(folder) + "/trace.jsonl";
  const auto planned = [](const Ran& ran) {
    std::vector<Planned> all;
    for (const Record& r : ran.records.records) all.push_back(r.planned);
    std::sort(all.begin(), all.end(), [](const Planned& a, const Planned& b) { return a.number < b.number; });
    return all;
  };
  const std::vector<Planned> first = planned(Offer(json, &standins, options));
  json.erase("arrivals");
  json["trace"] = options.record;
  json["seed"] = 77;
  json["threads"] = 1;
  assert(first.size() > 300 && planned(Offer(json, &standins)) == first);
  // A recorded plan that can't be one is told by its line.
  std::ofstream(options.record, std::ios::app) << R"({"at_us":5,"class":"aviso","destination":1})"
                                               << "\n";
  assert(Refusal(json).find("trace.jsonl:" + std::to_string(first.size() + 2) + ": its time goes back") !=
         std::string::npos);
  std::filesystem::remove_all(folder);
}

void ABrokenOffRunIsPartial() {
  StandInThread standins(FrontWith(Json::array()));
  Json json = Base(standins.front_port);
  json["seconds"] = 600;
  RunOptions options;
  int asked = 0;
  options.stop = [&] { return ++asked > 5; };
  const Ran ran = Offer(json, &standins, options);
  assert(ran.result.partial && ran.result.account.offered > 50 && ran.result.seconds < 60);
  assert(FateCount(ran, Fate::kInAim) + FateCount(ran, Fate::kUnanswered) + FateCount(ran, Fate::kUnsent) ==
         ran.result.account.offered);
  std::ostringstream text;
  PrintResult(ran.result, text);
  assert(text.str().starts_with("PARTIAL"));
}

void AStarvedGeneratorMarksItsRun() {
  StandInThread standins(FrontWith(Json::array()));
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
  Json json = Base(standins.front_port);
  json["valid"] = {{"lag_ms", 5}, {"share", 0.01}, {"run_queue_share", 0.2}};
  json["arrivals"]["rate"] = 4000;  // enough work to need the core
  const Ran ran = Offer(json, &standins);
  stop = true;
  for (std::thread& thread : busy) thread.join();
  assert(sched_setaffinity(0, sizeof before, &before) == 0);
  assert(!ran.result.valid());
  for (const std::string& why : ran.result.why_invalid) std::printf("starved: %s\n", why.c_str());
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  std::signal(SIGPIPE, SIG_IGN);
  ACleanRunIsAccountedForInFull();
  APauseIsReportedInFull();
  ClientsBehaveAsTheProtocolSays();
  WhatNeverAnswersIsCountedForAsLongAsItWasWaitedFor();
  AStalledTargetCostsBoundedMemoryAndNothingIsDroppedSilently();
  APartnerThatDeliversTwiceIsFoundAndNamed();
  ARateOfZeroOffersNothing();
  WhatCannotBeDoneIsSaidBeforeTheRun();
  ARunIsReplayedToTheSameIntendedArrivals();
  ABrokenOffRunIsPartial();
  AStarvedGeneratorMarksItsRun();
  std::puts("11 passed, 0 failed");
}
