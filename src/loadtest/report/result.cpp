#include "loadtest/report/result.h"

namespace sagetally::loadtest {

RunResult MakeResult(const std::string& name, const Scenario& scenario, const RunRecords& run,
                     std::span<const Observation> observations, bool outcomes_observed,
                     const Timeline& timeline) {
  RunResult result;
  result.name = name;
  result.seconds = run.partial ? static_cast<double>(run.ended_us - run.start_us) / 1e6 : scenario.seconds;
  result.partial = run.partial;
  result.faults = timeline.spans();
  result.summary =
      Summarize(scenario, run.records, observations, outcomes_observed, run.ended_us, run.run, result.faults);
  result.threads = run.threads;
  result.opened_connections = run.opened_connections;
  result.plan_underruns = run.plan_underruns;
  result.invalid_reasons = FindInvalidityReasons(scenario.validity, result.summary.lag, run.threads);
  result.outcomes_observed = outcomes_observed;
  return result;
}

}  // namespace sagetally::loadtest
