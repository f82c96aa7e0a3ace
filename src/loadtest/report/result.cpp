#include "loadtest/report/result.h"

#include <fmt/format.h>

#include <fstream>
#include <ostream>
#include <stdexcept>

#include "cli/table.h"
#include "config/schema.h"
#include "loadtest/schemas.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

struct Named {
  const char* name;
  LatencyHistogram Account::*histogram;
};
constexpr Named kHistograms[] = {{"answer_corrected", &Account::answer_corrected},
                                 {"answer_as_sent", &Account::answer_as_sent},
                                 {"taken", &Account::taken},
                                 {"delivered", &Account::delivered},
                                 {"ended", &Account::ended},
                                 {"lag", &Account::lag},
                                 {"connection_wait", &Account::connection_wait}};

Json Latency(const LatencyHistogram& h) {
  Json json = h.ToJson();
  json["count"] = h.count();
  json["mean_us"] = h.Mean();
  for (const auto& [name, p] :
       {std::pair{"p50_us", 0.5}, {"p90_us", 0.9}, {"p99_us", 0.99}, {"p999_us", 0.999}})
    json[name] = h.Quantile(p);
  return json;
}

Json Fates(const std::array<std::int64_t, kFates>& fates) {
  Json json = Json::object();
  for (int i = 0; i < kFates; ++i) json[Name(static_cast<Fate>(i))] = fates[static_cast<std::size_t>(i)];
  return json;
}

std::array<std::int64_t, kFates> FatesFrom(const Json& json) {
  std::array<std::int64_t, kFates> fates{};
  for (int i = 0; i < kFates; ++i) fates[static_cast<std::size_t>(i)] = json.at(Name(static_cast<Fate>(i)));
  return fates;
}

Json Series(const std::vector<Bucket>& series) {
  Json all = Json::array();
  for (const Bucket& b : series) {
    all.push_back({b.offered, b.taken, b.refused, b.failed, b.unanswered, b.unsent, b.delivered,
                   b.undelivered, b.corrected_p50, b.corrected_p99, b.corrected_max, b.as_sent_p99,
                   b.as_sent_max});
  }
  return all;
}

Bucket BucketFrom(const Json& j) {
  return {j.at(0), j.at(1), j.at(2), j.at(3),  j.at(4),  j.at(5), j.at(6),
          j.at(7), j.at(8), j.at(9), j.at(10), j.at(11), j.at(12)};
}

std::string Ms(double us) { return fmt::format("{:.3f}", us / 1000); }

}  // namespace

Result MakeResult(const std::string& name, const Scenario& scenario, const RunRecords& run,
                  std::span<const Sighting> sightings, bool watched, const Timeline& timeline) {
  Result r;
  r.name = name;
  r.seconds = run.partial ? static_cast<double>(run.over_us - run.start_us) / 1e6 : scenario.seconds;
  r.partial = run.partial;
  r.faults = timeline.spans();
  r.account = Settle(scenario, run.records, sightings, watched, run.over_us, run.run, r.faults);
  r.threads = run.threads;
  r.connections_opened = run.connections_opened;
  r.waits_for_plan = run.waits_for_plan;
  r.why_invalid = Invalid(scenario.valid, r.account.lag, run.threads);
  r.watched = watched;
  return r;
}

Json ToJson(const Result& r) {
  const Account& a = r.account;
  Json json = {
      {"sagetally_lab", 1},
      {"name", r.name},
      {"seconds", r.seconds},
      {"partial", r.partial},
      {"valid", r.valid()},
      {"why_invalid", r.why_invalid},
      {"watched", r.watched},
      {"offered", a.offered},
      {"hand_ins", a.hand_ins},
      {"fates", Fates(a.fates)},
      {"answers_cut", a.answers_cut},
      {"connections_opened", r.connections_opened},
      {"waits_for_plan", r.waits_for_plan},
      {"strangers", a.strangers},
      {"given_up", a.given_up},
      {"findings_count", a.findings_count},
      {"series_ms", kBucketUs / 1000},
      {"series_columns",
       {"offered", "taken", "refused", "failed", "unanswered", "unsent", "delivered", "undelivered",
        "corrected_p50_us", "corrected_p99_us", "corrected_max_us", "as_sent_p99_us", "as_sent_max_us"}},
      {"series", Series(a.series)}};
  for (const Named& n : kHistograms) json["latency"][n.name] = Latency(a.*n.histogram);
  json["classes"] = Json::object();
  for (const auto& [name, fates] : a.classes) json["classes"][name] = Fates(fates);
  json["destinations"] = Json::object();
  for (const auto& [number, count] : a.destinations) json["destinations"][std::to_string(number)] = count;
  json["findings"] = Json::array();
  for (const Finding& f : a.findings)
    json["findings"].push_back({{"rule", f.rule}, {"id", f.id}, {"detail", f.detail}});
  json["threads"] = Json::array();
  for (const SelfReport& t : r.threads) {
    json["threads"].push_back({{"wall_s", t.wall_s},
                               {"cpu_s", t.cpu_s},
                               {"run_queue_s", t.run_queue_s},
                               {"clock_jumps", t.clock_jumps}});
  }
  json["faults"] = Timeline(r.faults).ToJson();
  for (std::size_t i = 0; i < r.faults.size(); ++i) {
    const Met& m = r.account.met[i];
    json["faults"][i]["met"] = {{"offered", m.offered},
                                {"taken", m.taken},
                                {"in_aim", m.in_aim},
                                {"waited", m.waited},
                                {"answer_max_us", m.answer_max_us}};
  }
  return json;
}

Result ResultFromJson(const Json& json) {
  Validate(Json::parse(kResultSchema), json);
  Result r;
  r.name = json.at("name");
  r.seconds = json.at("seconds");
  r.partial = json.at("partial");
  r.why_invalid = json.at("why_invalid").get<std::vector<std::string>>();
  r.watched = json.at("watched");
  r.connections_opened = json.at("connections_opened");
  r.waits_for_plan = json.at("waits_for_plan");
  Account& a = r.account;
  a.offered = json.at("offered");
  a.hand_ins = json.at("hand_ins");
  a.fates = FatesFrom(json.at("fates"));
  a.answers_cut = json.at("answers_cut");
  a.strangers = json.at("strangers");
  a.given_up = json.at("given_up");
  a.findings_count = json.at("findings_count");
  for (const Json& b : json.at("series")) a.series.push_back(BucketFrom(b));
  for (const Named& n : kHistograms)
    a.*n.histogram = LatencyHistogram::FromJson(json.at("latency").at(n.name));
  for (const auto& [name, fates] : json.at("classes").items()) a.classes[name] = FatesFrom(fates);
  for (const auto& [number, count] : json.at("destinations").items())
    a.destinations[std::stoi(number)] = count;
  for (const Json& f : json.at("findings")) a.findings.push_back({f.at("rule"), f.at("id"), f.at("detail")});
  for (const Json& t : json.at("threads"))
    r.threads.push_back({t.at("wall_s"), t.at("cpu_s"), t.at("run_queue_s"), t.at("clock_jumps")});
  r.faults = Timeline::FromJson(json.at("faults")).spans();
  for (const Json& fault : json.at("faults")) {
    const Json& m = fault.at("met");
    a.met.push_back({m.at("offered"), m.at("taken"), m.at("in_aim"), m.at("waited"), m.at("answer_max_us")});
  }
  return r;
}

Result ReadResult(const std::string& path) {
  const Json json = ReadJsonFile(path);
  try {
    return ResultFromJson(json);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

void WriteResult(const Result& result, const std::string& path) {
  std::ofstream file(path, std::ios::trunc);
  file << ToJson(result).dump(1) << "\n";
  file.close();
  if (!file) throw std::runtime_error(path + ": can't be written");
}

void PrintResult(const Result& r, std::ostream& out) {
  const Account& a = r.account;
  if (r.partial) out << "PARTIAL: the run was broken off; what follows is what there was until then\n";
  Table fates({"messages", "count", "share"});
  const auto row = [&](const std::string& what, std::int64_t n) {
    const double share = a.offered == 0 ? 0 : 100.0 * static_cast<double>(n) / static_cast<double>(a.offered);
    fates.Add({what, std::to_string(n), fmt::format("{:.2f}%", share)});
  };
  row("offered", a.offered);
  row("taken", a.taken.count());
  for (int i = 0; i < kFates; ++i) {
    if (a.fates[static_cast<std::size_t>(i)] > 0)
      row(Name(static_cast<Fate>(i)), a.fates[static_cast<std::size_t>(i)]);
  }
  fates.Print(out);
  out << "\n";
  Table latency({"ms", "count", "p50", "p90", "p99", "p99.9", "max"});
  const std::pair<const char*, const LatencyHistogram*> rows[] = {
      {"answer, from the intended start", &a.answer_corrected},
      {"answer, as sent", &a.answer_as_sent},
      {"taken, from the intended start", &a.taken},
      {"delivered, from the intended start", &a.delivered},
      {"ended undelivered, from the intended start", &a.ended},
      {"the generator's own lag", &a.lag}};
  for (const auto& [name, h] : rows) {
    if (h->count() == 0) continue;
    latency.Add({name, std::to_string(h->count()), Ms(h->Quantile(0.5)), Ms(h->Quantile(0.9)),
                 Ms(h->Quantile(0.99)), Ms(h->Quantile(0.999)), Ms(h->max())});
  }
  latency.Print(out);
  if (!r.faults.empty()) {
    out << "\n";
    Table faults(
        {"due during", "from s", "to s", "offered", "taken", "in aim", "waited over 20 ms", "longest ms"});
    for (std::size_t i = 0; i < r.faults.size(); ++i) {
      const FaultSpan& f = r.faults[i];
      const Met& m = r.account.met[i];
      const std::string where = !f.endpoint.empty() ? " at " + f.endpoint
                                : f.destination     ? " at " + std::to_string(*f.destination)
                                                    : "";
      faults.Add({Name(f.fault) + where, fmt::format("{:.1f}", f.from_ms / 1000),
                  fmt::format("{:.1f}", std::min(r.seconds, (f.from_ms + f.for_ms) / 1000)),
                  std::to_string(m.offered), std::to_string(m.taken),
                  r.watched ? std::to_string(m.in_aim) : "", std::to_string(m.waited), Ms(m.answer_max_us)});
    }
    faults.Print(out);
  }
  const double hidden = a.answer_corrected.Quantile(0.999) - a.answer_as_sent.Quantile(0.999);
  out << fmt::format("\nas-sent figures hide {} ms of the p99.9", Ms(hidden));
  if (a.answers_cut > 0)
    out << fmt::format("; {} answers never came and count as long as they were waited for", a.answers_cut);
  out << "\n";
  if (a.given_up > 0)
    out << a.given_up << " deliveries or ends came under hand-ins that clients had given up\n";
  for (const Finding& f : a.findings)
    out << "BROKEN RULE: " << f.rule << ": " << f.id << ": " << f.detail << "\n";
  if (a.findings_count > static_cast<std::int64_t>(a.findings.size()))
    out << "... " << a.findings_count << " in all\n";
  for (const std::string& why : r.why_invalid) out << "NOT VALID: " << why << "\n";
}

}  // namespace sagetally::loadtest
