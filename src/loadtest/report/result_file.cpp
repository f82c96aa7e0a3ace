#include "loadtest/report/result_file.h"

#include <fstream>
#include <stdexcept>

#include "config/schema.h"
#include "loadtest/schemas.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

// A histogram and its name in result files.
struct NamedHistogram {
  const char* name;
  LatencyHistogram RunSummary::*histogram;
};
constexpr NamedHistogram kHistograms[] = {{"answer_corrected", &RunSummary::response_corrected},
                                          {"answer_as_sent", &RunSummary::response_as_sent},
                                          {"taken", &RunSummary::accepted},
                                          {"delivered", &RunSummary::delivered},
                                          {"ended", &RunSummary::undelivered},
                                          {"lag", &RunSummary::lag},
                                          {"connection_wait", &RunSummary::connection_wait}};

// A quantile (0 to 1) and its name in result files.
struct NamedQuantile {
  const char* name;
  double quantile;
};
constexpr NamedQuantile kQuantiles[] = {
    {"p50_us", 0.5}, {"p90_us", 0.9}, {"p99_us", 0.99}, {"p999_us", 0.999}};

// The names of a time bucket's columns, in the order of BucketToJson().
constexpr const char* kBucketColumns[] = {
    "offered",          "taken",          "refused",       "failed",           "unanswered",
    "unsent",           "delivered",      "undelivered",   "corrected_p50_us", "corrected_p99_us",
    "corrected_max_us", "as_sent_p99_us", "as_sent_max_us"};

Json HistogramToJson(const LatencyHistogram& histogram) {
  Json json = histogram.ToJson();
  json["count"] = histogram.count();
  json["mean_us"] = histogram.Mean();
  for (const NamedQuantile& named : kQuantiles) json[named.name] = histogram.Quantile(named.quantile);
  return json;
}

Json OutcomesToJson(const OutcomeCounts& outcomes) {
  Json json = Json::object();
  for (std::size_t i = 0; i < outcomes.size(); ++i) json[Name(static_cast<FinalOutcome>(i))] = outcomes[i];
  return json;
}

OutcomeCounts OutcomesFromJson(const Json& json) {
  OutcomeCounts outcomes{};
  for (std::size_t i = 0; i < outcomes.size(); ++i) outcomes[i] = json.at(Name(static_cast<FinalOutcome>(i)));
  return outcomes;
}

Json BucketToJson(const TimeBucket& bucket) {
  return {bucket.offered,       bucket.accepted,      bucket.rejected,      bucket.failed,
          bucket.unanswered,    bucket.unsent,        bucket.delivered,     bucket.undelivered,
          bucket.corrected_p50, bucket.corrected_p99, bucket.corrected_max, bucket.as_sent_p99,
          bucket.as_sent_max};
}

TimeBucket BucketFromJson(const Json& json) {
  return {json.at(0), json.at(1), json.at(2), json.at(3),  json.at(4),  json.at(5), json.at(6),
          json.at(7), json.at(8), json.at(9), json.at(10), json.at(11), json.at(12)};
}

Json FaultsToJson(const RunResult& result) {
  Json json = FaultTimeline(result.faults).ToJson();
  for (std::size_t i = 0; i < result.faults.size(); ++i) {
    const FaultImpact& impact = result.summary.fault_impacts[i];
    json[i]["met"] = {{"offered", impact.offered},
                      {"taken", impact.accepted},
                      {"in_aim", impact.within_objective},
                      {"waited", impact.waited_long},
                      {"answer_max_us", impact.max_response_us}};
  }
  return json;
}

FaultImpact FaultImpactFromJson(const Json& json) {
  return {json.at("offered"), json.at("taken"), json.at("in_aim"), json.at("waited"),
          json.at("answer_max_us")};
}

Json ThreadsToJson(const std::vector<SenderThreadReport>& threads) {
  Json json = Json::array();
  for (const SenderThreadReport& thread : threads) {
    json.push_back({{"wall_s", thread.wall_seconds},
                    {"cpu_s", thread.cpu_seconds},
                    {"run_queue_s", thread.run_queue_seconds},
                    {"clock_jumps", thread.clock_jumps}});
  }
  return json;
}

void AddSummary(const RunSummary& summary, Json& json) {
  json["offered"] = summary.offered;
  json["hand_ins"] = summary.submissions;
  json["fates"] = OutcomesToJson(summary.outcomes);
  json["answers_cut"] = summary.unanswered_count;
  json["strangers"] = summary.foreign_observations;
  json["given_up"] = summary.abandoned_observations;
  json["findings_count"] = summary.violation_count;
  json["series_ms"] = kBucketUs / 1000;
  json["series_columns"] = kBucketColumns;
  json["series"] = Json::array();
  for (const TimeBucket& bucket : summary.buckets) json["series"].push_back(BucketToJson(bucket));
  for (const NamedHistogram& named : kHistograms) {
    json["latency"][named.name] = HistogramToJson(summary.*named.histogram);
  }
  json["classes"] = Json::object();
  for (const auto& [name, outcomes] : summary.classes) json["classes"][name] = OutcomesToJson(outcomes);
  json["destinations"] = Json::object();
  for (const auto& [number, count] : summary.destinations) {
    json["destinations"][std::to_string(number)] = count;
  }
  json["findings"] = Json::array();
  for (const Violation& violation : summary.violations) {
    json["findings"].push_back(
        {{"rule", violation.rule}, {"id", violation.id}, {"detail", violation.detail}});
  }
}

RunSummary SummaryFromJson(const Json& json) {
  RunSummary summary;
  summary.offered = json.at("offered");
  summary.submissions = json.at("hand_ins");
  summary.outcomes = OutcomesFromJson(json.at("fates"));
  summary.unanswered_count = json.at("answers_cut");
  summary.foreign_observations = json.at("strangers");
  summary.abandoned_observations = json.at("given_up");
  summary.violation_count = json.at("findings_count");
  for (const Json& bucket : json.at("series")) summary.buckets.push_back(BucketFromJson(bucket));
  for (const NamedHistogram& named : kHistograms) {
    summary.*named.histogram = LatencyHistogram::FromJson(json.at("latency").at(named.name));
  }
  for (const auto& [name, outcomes] : json.at("classes").items()) {
    summary.classes[name] = OutcomesFromJson(outcomes);
  }
  for (const auto& [number, count] : json.at("destinations").items()) {
    summary.destinations[std::stoi(number)] = count;
  }
  for (const Json& violation : json.at("findings")) {
    summary.violations.push_back({violation.at("rule"), violation.at("id"), violation.at("detail")});
  }
  for (const Json& fault : json.at("faults")) {
    summary.fault_impacts.push_back(FaultImpactFromJson(fault.at("met")));
  }
  return summary;
}

}  // namespace

Json ToJson(const RunResult& result) {
  Json json = {{"sagetally_lab", 1},
               {"name", result.name},
               {"seconds", result.seconds},
               {"partial", result.partial},
               {"valid", result.valid()},
               {"why_invalid", result.invalid_reasons},
               {"watched", result.outcomes_observed},
               {"connections_opened", result.opened_connections},
               {"waits_for_plan", result.plan_underruns}};
  AddSummary(result.summary, json);
  json["threads"] = ThreadsToJson(result.threads);
  json["faults"] = FaultsToJson(result);
  return json;
}

RunResult ResultFromJson(const Json& json) {
  ValidateAgainstSchema(Json::parse(kResultSchema), json);
  RunResult result;
  result.name = json.at("name");
  result.seconds = json.at("seconds");
  result.partial = json.at("partial");
  result.invalid_reasons = json.at("why_invalid").get<std::vector<std::string>>();
  result.outcomes_observed = json.at("watched");
  result.opened_connections = json.at("connections_opened");
  result.plan_underruns = json.at("waits_for_plan");
  result.summary = SummaryFromJson(json);
  for (const Json& thread : json.at("threads")) {
    result.threads.push_back(
        {thread.at("wall_s"), thread.at("cpu_s"), thread.at("run_queue_s"), thread.at("clock_jumps")});
  }
  result.faults = FaultTimeline::FromJson(json.at("faults")).spans();
  return result;
}

RunResult ReadResult(const std::string& path) {
  const Json json = ReadJsonFile(path);
  try {
    return ResultFromJson(json);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

void WriteResult(const RunResult& result, const std::string& path) {
  std::ofstream file(path, std::ios::trunc);
  file << ToJson(result).dump(1) << "\n";
  file.close();
  if (!file) throw std::runtime_error(path + ": can't be written");
}

}  // namespace sagetally::loadtest
