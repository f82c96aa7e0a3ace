// `sagetally-loadtest limit`: searches for the highest rate that a target sustains.
#include <fmt/format.h>

#include <iostream>
#include <memory>

#include "loadtest/commands/command.h"
#include "loadtest/interrupt.h"
#include "loadtest/load/rate_search.h"
#include "loadtest/report/result.h"

namespace sagetally::loadtest {
namespace {

struct LimitCommandOptions {
  std::string scenario;
  Overrides settings;
  RateSearchOptions search;
  // The highest p99 of the time to acceptance at which a rate counts as sustained.
  double p99_ms = 10;
  // The highest p99 of the generator's lag. Above it, a probe says nothing about the target.
  double lag_p99_ms = 1;
};

// Returns why the target did not sustain the probe's rate. Returns an empty string if it did, which means
// that the generator kept up and that each message was accepted at its first submission and in time.
std::string FailureReason(const RunResult& result, const RateProbe& probe,
                          const LimitCommandOptions& options) {
  const std::int64_t not_accepted = result.summary.offered - result.summary.accepted.count();
  if (result.partial) return "interrupted";
  if (probe.lag_p99_ms > options.lag_p99_ms) return "the generator lagged";
  if (not_accepted > 0) return std::to_string(not_accepted) + " not accepted";
  if (result.summary.submissions > result.summary.offered) return "some messages were submitted again";
  if (probe.p99_ms > options.p99_ms) return "p99 too high";
  return "";
}

// Offers `rate` messages a second for `seconds`, and prints and returns the measurement.
RateProbe ProbeRate(const Scenario& scenario, const LimitCommandOptions& options, double rate, double seconds,
                    Interrupt& interrupt) {
  Scenario probe_scenario = scenario;
  probe_scenario.seconds = seconds;
  probe_scenario.arrivals["rate"] = rate;
  RunOptions run_options;
  run_options.stop = [&] { return interrupt.Requested(); };
  const RunResult result =
      MakeResult("probe", probe_scenario, RunLoad(probe_scenario, run_options), {}, false);
  RateProbe probe;
  probe.rate = rate;
  probe.seconds = seconds;
  probe.p99_ms = result.summary.accepted.Quantile(0.99) / 1000;
  probe.lag_p99_ms = result.summary.lag.Quantile(0.99) / 1000;
  probe.reason = FailureReason(result, probe, options);
  probe.is_sustained = probe.reason.empty();
  std::cout << fmt::format("{:8.0f}/s for {:3.0f} s: p99 {:9.3f} ms, generator lag p99 {:8.3f} ms: {}", rate,
                           seconds, probe.p99_ms, probe.lag_p99_ms,
                           probe.is_sustained ? "held" : probe.reason)
            << std::endl;
  return probe;
}

int RunLimitCommand(const LimitCommandOptions& options) {
  Interrupt interrupt;
  const Scenario scenario = ReadScenario(options.scenario, options.settings);
  const RateSearchResult result = FindHighestSustainedRate(options.search, [&](double rate, double seconds) {
    return ProbeRate(scenario, options, rate, seconds, interrupt);
  });
  std::cout << fmt::format("highest rate held for {:.0f} s: {:.0f}/s\n", options.search.confirm_seconds,
                           result.rate);
  return result.rate > 0 ? 0 : 1;
}

}  // namespace

Command AddLimitCommand(CLI::App& parent) {
  auto options = std::make_shared<LimitCommandOptions>();
  RateSearchOptions& search = options->search;
  CLI::App* command = AddSubcommand(parent, "limit", "searches for the highest rate that a target sustains");
  AddOption(command, "--scenario,scenario", options->scenario, "a JSON file; the search replaces its rate");
  AddOption(command, "--from", search.from, "lowest rate, in messages a second")->check(CLI::PositiveNumber);
  AddOption(command, "--to", search.to, "highest rate, in messages a second")->check(CLI::PositiveNumber);
  AddOption(command, "--within", search.relative_width, "relative width of the result")
      ->check(CLI::Range(0.005, 1.0));
  AddOption(command, "--probe-s", search.probe_seconds, "duration of a probe in seconds")
      ->check(CLI::PositiveNumber);
  AddOption(command, "--confirm-s", search.confirm_seconds, "seconds for which the result must be sustained")
      ->check(CLI::PositiveNumber);
  AddOption(command, "--p99-ms", options->p99_ms,
            "highest p99 from the intended time to the 202 at which a rate counts as sustained")
      ->check(CLI::PositiveNumber);
  AddOption(command, "--lag-p99-ms", options->lag_p99_ms,
            "highest p99 of the generator's lag at which a probe counts")
      ->check(CLI::PositiveNumber);
  AddSettings(*command, SettingNames(ScenarioSchema()), kVariablePrefix, options->settings,
              "Settings of the scenario, which override the file");
  return {command, [options] { return RunLimitCommand(*options); }};
}

}  // namespace sagetally::loadtest
