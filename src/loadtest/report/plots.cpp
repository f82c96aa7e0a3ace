#include "loadtest/report/plots.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <ostream>
#include <stdexcept>

#include "loadtest/demo/child.h"

namespace sagetally::loadtest {
namespace {

namespace fs = std::filesystem;

void WriteFile(const fs::path& path, const std::function<void(std::ostream&)>& write) {
  std::ofstream file(path, std::ios::trunc);
  write(file);
  file.close();
  if (!file) throw std::runtime_error(path.string() + ": can't be written");
}

// Returns the text as a single-quoted gnuplot string.
std::string QuoteForGnuplot(std::string text) {
  for (std::size_t position = 0; (position = text.find('\'', position)) != std::string::npos; position += 2)
    text.insert(position, 1, '\'');
  return "'" + text + "'";
}

// The gnuplot commands that mark the faults in a plot over time.
std::string FaultMarkCommands(const RunResult& result) {
  std::string commands;
  for (const FaultSpan& fault : result.faults) {
    const double from_s = fault.from_ms / 1000;
    const double to_s = std::min(result.seconds, (fault.from_ms + fault.for_ms) / 1000);
    if (from_s >= result.seconds) continue;
    commands += fmt::format(
        "set object rectangle from {0}, graph 0 to {1}, graph 1 behind fillcolor rgb '#f3d9d9' fillstyle "
        "solid noborder\n"
        "set label {2} at {0}, graph 0.96 font ',9'\n",
        from_s, to_s, QuoteForGnuplot(fmt::format("{} {}", Name(fault.fault), fault.endpoint)));
  }
  return commands;
}

// Runs a script of `folder`. Returns whether gnuplot ran and succeeded.
bool RunGnuplot(const fs::path& folder, const std::string& script) {
  const Child child({"gnuplot", script}, folder.string(), (folder / (script + ".log")).string());
  return child.Wait() == 0;
}

// Writes one row for each time bucket: rates a second and latencies in milliseconds.
void WriteSeries(const RunSummary& summary, std::ostream& out) {
  out << "second\toffered\ttaken\trefused\tunanswered\tunsent\tdelivered\tundelivered\tcorrected_p50_ms\t"
         "corrected_p99_ms\tcorrected_max_ms\tas_sent_p99_ms\tas_sent_max_ms\n";
  const auto per_second = [](std::int64_t count) { return count * (1'000'000 / kBucketUs); };
  for (std::size_t i = 0; i < summary.buckets.size(); ++i) {
    const TimeBucket& bucket = summary.buckets[i];
    out << fmt::format(
        "{:.1f}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\n", static_cast<double>(i) / 10,
        per_second(bucket.offered), per_second(bucket.accepted), per_second(bucket.rejected + bucket.failed),
        per_second(bucket.unanswered), per_second(bucket.unsent), per_second(bucket.delivered),
        per_second(bucket.undelivered), bucket.corrected_p50 / 1000, bucket.corrected_p99 / 1000,
        bucket.corrected_max / 1000, bucket.as_sent_p99 / 1000, bucket.as_sent_max / 1000);
  }
}

// Writes latencies in milliseconds by quantile. A row for "one in N" has the latency that one message in N
// exceeds, which is the quantile 1 - 1/N. N grows by a constant factor up to the number of messages.
void WriteQuantiles(const RunSummary& summary, std::ostream& out) {
  constexpr double kOneInFactor = 1.25;
  out << "one_in\tcorrected_ms\tas_sent_ms\ttaken_ms\tdelivered_ms\n";
  const double last = std::max(2.0, static_cast<double>(summary.offered));
  for (double one_in = kOneInFactor; one_in <= last; one_in *= kOneInFactor) {
    const double quantile = 1 - 1 / one_in;
    out << fmt::format("{}\t{}\t{}\t{}\t{}\n", one_in, summary.response_corrected.Quantile(quantile) / 1000,
                       summary.response_as_sent.Quantile(quantile) / 1000,
                       summary.accepted.Quantile(quantile) / 1000,
                       summary.delivered.Quantile(quantile) / 1000);
  }
}

struct PlotKind {
  const char* name;
  const char* title;
  const char* commands;  // gnuplot commands; {0} is the series file, {1} the quantiles file
  bool is_over_time;
};
constexpr PlotKind kPlotKinds[] = {
    {"latency", "Time to the answer, from the intended start and as sent",
     "set logscale y\nset ylabel 'ms'\nset xlabel 'second of the run'\n"
     "plot {0} using 1:10 with lines lw 2 title 'p99, intended', '' using 1:11 with "
     "lines title 'max, intended', "
     "'' using 1:12 with lines lw 2 dashtype 2 title 'p99, as sent', '' using 1:13 with "
     "lines dashtype 2 title 'max, as "
     "sent'\n",
     true},
    {"quantiles", "Latency by quantile: one message in so many takes longer",
     "set logscale xy\nset ylabel 'ms'\nset xlabel 'one in'\n"
     "plot {1} using 1:2 with lines lw 2 title 'answer, intended', '' using 1:3 with "
     "lines lw 2 dashtype 2 title "
     "'answer, as sent', '' using 1:4 with lines title 'taken', '' using 1:5 with lines "
     "title 'delivered'\n",
     false},
    {"rates", "Messages a second, by outcome",
     "set ylabel 'a second'\nset xlabel 'second of the run'\n"
     "plot {0} using 1:2 with lines lw 2 title 'offered', '' using 1:3 with lines title "
     "'taken', '' using 1:7 with lines "
     "title 'delivered', '' using 1:4 with lines title 'refused', '' using 1:5 with "
     "lines title 'unanswered', '' using "
     "1:8 with lines title 'undelivered'\n",
     true}};

Plot DrawPlot(const PlotKind& kind, const RunResult& result, const fs::path& folder,
              const std::string& prefix) {
  const std::string name = prefix + kind.name;
  std::string commands = "set datafile separator '\\t'\nset key outside below\nset grid\nset title " +
                         QuoteForGnuplot(std::string(kind.title) + (result.partial ? " (PARTIAL)" : "") +
                                         (result.valid() ? "" : " (NOT VALID)")) +
                         "\n";
  if (kind.is_over_time) commands += FaultMarkCommands(result);
  commands += fmt::format(fmt::runtime(kind.commands), QuoteForGnuplot(prefix + "series.tsv") + " skip 1",
                          QuoteForGnuplot(prefix + "quantiles.tsv") + " skip 1");
  WriteFile(folder / (name + ".gnuplot"), [&](std::ostream& out) {
    out << "set terminal svg size 900,420 font 'sans,11' background '#ffffff'\nset output '" << name
        << ".svg'\n"
        << commands << "set terminal png size 900,420\nset output '" << name << ".png'\n"
        << "replot\n";
  });
  return {name, kind.title, RunGnuplot(folder, name + ".gnuplot")};
}

}  // namespace

std::vector<Plot> DrawPlots(const RunResult& result, const std::string& folder, const std::string& prefix) {
  fs::create_directories(folder);
  const fs::path path(folder);
  WriteFile(path / (prefix + "series.tsv"), [&](std::ostream& out) { WriteSeries(result.summary, out); });
  WriteFile(path / (prefix + "quantiles.tsv"),
            [&](std::ostream& out) { WriteQuantiles(result.summary, out); });
  std::vector<Plot> plots;
  for (const PlotKind& kind : kPlotKinds) plots.push_back(DrawPlot(kind, result, path, prefix));
  return plots;
}

}  // namespace sagetally::loadtest
