#include "loadtest/report/result_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "cli/table.h"

namespace sagetally::loadtest {
namespace {

std::string Milliseconds(double us) { return fmt::format("{:.3f}", us / 1000); }

void PrintOutcomes(const RunSummary& summary, std::ostream& out) {
  Table table({"messages", "count", "share"});
  const auto add_row = [&](const std::string& name, std::int64_t count) {
    const double share =
        summary.offered == 0 ? 0 : 100.0 * static_cast<double>(count) / static_cast<double>(summary.offered);
    table.Add({name, std::to_string(count), fmt::format("{:.2f}%", share)});
  };
  add_row("offered", summary.offered);
  add_row("taken", summary.accepted.count());
  for (std::size_t i = 0; i < summary.outcomes.size(); ++i) {
    if (summary.outcomes[i] > 0) add_row(Name(static_cast<FinalOutcome>(i)), summary.outcomes[i]);
  }
  table.Print(out);
}

void PrintLatencies(const RunSummary& summary, std::ostream& out) {
  struct Row {
    const char* name;
    const LatencyHistogram& histogram;
  };
  const Row rows[] = {{"answer, from the intended start", summary.response_corrected},
                      {"answer, as sent", summary.response_as_sent},
                      {"taken, from the intended start", summary.accepted},
                      {"delivered, from the intended start", summary.delivered},
                      {"ended undelivered, from the intended start", summary.undelivered},
                      {"the generator's own lag", summary.lag}};
  Table table({"ms", "count", "p50", "p90", "p99", "p99.9", "max"});
  for (const Row& row : rows) {
    const LatencyHistogram& histogram = row.histogram;
    if (histogram.count() == 0) continue;
    table.Add({row.name, std::to_string(histogram.count()), Milliseconds(histogram.Quantile(0.5)),
               Milliseconds(histogram.Quantile(0.9)), Milliseconds(histogram.Quantile(0.99)),
               Milliseconds(histogram.Quantile(0.999)), Milliseconds(histogram.max())});
  }
  table.Print(out);
}

// The endpoint or destination that a fault affects; empty if it affects all.
std::string Scope(const FaultSpan& fault) {
  if (!fault.endpoint.empty()) return " at " + fault.endpoint;
  if (fault.destination) return " at " + std::to_string(*fault.destination);
  return "";
}

void PrintFaults(const RunResult& result, std::ostream& out) {
  Table table(
      {"due during", "from s", "to s", "offered", "taken", "in aim", "waited over 20 ms", "longest ms"});
  for (std::size_t i = 0; i < result.faults.size(); ++i) {
    const FaultSpan& fault = result.faults[i];
    const FaultImpact& impact = result.summary.fault_impacts[i];
    const double to_s = std::min(result.seconds, (fault.from_ms + fault.for_ms) / 1000);
    table.Add({Name(fault.fault) + Scope(fault), fmt::format("{:.1f}", fault.from_ms / 1000),
               fmt::format("{:.1f}", to_s), std::to_string(impact.offered), std::to_string(impact.accepted),
               result.outcomes_observed ? std::to_string(impact.within_objective) : "",
               std::to_string(impact.waited_long), Milliseconds(impact.max_response_us)});
  }
  table.Print(out);
}

// Prints how much of the latency coordinated omission would have hidden: the difference between the p99.9
// from the intended time and the p99.9 from the time of sending.
void PrintHiddenLatency(const RunSummary& summary, std::ostream& out) {
  const double hidden_us =
      summary.response_corrected.Quantile(0.999) - summary.response_as_sent.Quantile(0.999);
  out << fmt::format("\nas-sent figures hide {} ms of the p99.9", Milliseconds(hidden_us));
  if (summary.unanswered_count > 0) {
    out << fmt::format("; {} answers never came and count as long as they were waited for",
                       summary.unanswered_count);
  }
  out << "\n";
}

void PrintProblems(const RunResult& result, std::ostream& out) {
  const RunSummary& summary = result.summary;
  if (summary.abandoned_observations > 0) {
    out << summary.abandoned_observations
        << " deliveries or ends came under hand-ins that clients had given up\n";
  }
  for (const Violation& violation : summary.violations) {
    out << "BROKEN RULE: " << violation.rule << ": " << violation.id << ": " << violation.detail << "\n";
  }
  if (summary.violation_count > static_cast<std::int64_t>(summary.violations.size())) {
    out << "... " << summary.violation_count << " in all\n";
  }
  for (const std::string& reason : result.invalid_reasons) out << "NOT VALID: " << reason << "\n";
}

}  // namespace

void PrintResult(const RunResult& result, std::ostream& out) {
  if (result.partial) out << "PARTIAL: the run was broken off; what follows is what there was until then\n";
  PrintOutcomes(result.summary, out);
  out << "\n";
  PrintLatencies(result.summary, out);
  if (!result.faults.empty()) {
    out << "\n";
    PrintFaults(result, out);
  }
  PrintHiddenLatency(result.summary, out);
  PrintProblems(result, out);
}

}  // namespace sagetally::loadtest
