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

// Quotes for gnuplot's single-quoted strings.
std::string Quoted(std::string text) {
  for (std::size_t at = 0; (at = text.find('\'', at)) != std::string::npos; at += 2) text.insert(at, 1, '\'');
  return "'" + text + "'";
}

std::string Faults(const Result& r) {
  std::string text;
  for (const FaultSpan& f : r.faults) {
    const double from = f.from_ms / 1000, to = std::min(r.seconds, (f.from_ms + f.for_ms) / 1000);
    if (from >= r.seconds) continue;
    text += fmt::format(
        "set object rectangle from {0}, graph 0 to {1}, graph 1 behind fillcolor rgb '#f3d9d9' fillstyle "
        "solid noborder\n"
        "set label {2} at {0}, graph 0.96 font ',9'\n",
        from, to, Quoted(fmt::format("{} {}", Name(f.fault), f.endpoint)));
  }
  return text;
}

bool Gnuplot(const fs::path& folder, const std::string& script) {
  const Child child({"gnuplot", script}, folder.string(), (folder / (script + ".log")).string());
  return child.Wait() == 0;
}

}  // namespace

std::vector<Plot> DrawPlots(const Result& r, const std::string& folder, const std::string& prefix) {
  fs::create_directories(folder);
  const fs::path at(folder);
  const Account& a = r.account;
  WriteFile(at / (prefix + "series.tsv"), [&](std::ostream& out) {
    out << "second\toffered\ttaken\trefused\tunanswered\tunsent\tdelivered\tundelivered\tcorrected_p50_ms\t"
           "corrected_p99_ms\tcorrected_max_ms\tas_sent_p99_ms\tas_sent_max_ms\n";
    for (std::size_t i = 0; i < a.series.size(); ++i) {
      const Bucket& b = a.series[i];
      const auto rate = [](std::int64_t n) { return n * (1'000'000 / kBucketUs); };
      out << fmt::format("{:.1f}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\n",
                         static_cast<double>(i) / 10, rate(b.offered), rate(b.taken),
                         rate(b.refused + b.failed), rate(b.unanswered), rate(b.unsent), rate(b.delivered),
                         rate(b.undelivered), b.corrected_p50 / 1000, b.corrected_p99 / 1000,
                         b.corrected_max / 1000, b.as_sent_p99 / 1000, b.as_sent_max / 1000);
    }
  });
  WriteFile(at / (prefix + "quantiles.tsv"), [&](std::ostream& out) {
    out << "one_in\tcorrected_ms\tas_sent_ms\ttaken_ms\tdelivered_ms\n";
    for (double one_in = 1.25; one_in <= std::max(2.0, static_cast<double>(a.offered)); one_in *= 1.25) {
      const double p = 1 - 1 / one_in;
      out << fmt::format("{}\t{}\t{}\t{}\t{}\n", one_in, a.answer_corrected.Quantile(p) / 1000,
                         a.answer_as_sent.Quantile(p) / 1000, a.taken.Quantile(p) / 1000,
                         a.delivered.Quantile(p) / 1000);
    }
  });
  struct Kind {
    const char *name, *title, *body;
    bool over_time;
  };
  const Kind kinds[] = {{"latency", "Time to the answer, from the intended start and as sent",
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
  std::vector<Plot> plots;
  for (const Kind& kind : kinds) {
    const std::string name = prefix + kind.name;
    std::string text = "set datafile separator '\\t'\nset key outside below\nset grid\nset title " +
                       Quoted(std::string(kind.title) + (r.partial ? " (PARTIAL)" : "") +
                              (r.valid() ? "" : " (NOT VALID)")) +
                       "\n";
    if (kind.over_time) text += Faults(r);
    const std::string body = fmt::format(fmt::runtime(kind.body), Quoted(prefix + "series.tsv") + " skip 1",
                                         Quoted(prefix + "quantiles.tsv") + " skip 1");
    WriteFile(at / (name + ".gnuplot"), [&](std::ostream& out) {
      out << "set terminal svg size 900,420 font 'sans,11' background '#ffffff'\nset output '" << name
          << ".svg'\n"
          << text << body << "set terminal png size 900,420\nset output '" << name << ".png'\n"
          << "replot\n";
    });
    plots.push_back({name, kind.title, Gnuplot(at, name + ".gnuplot")});
  }
  return plots;
}

}  // namespace sagetally::loadtest
