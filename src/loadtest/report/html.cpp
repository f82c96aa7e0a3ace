#include "loadtest/report/html.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>

#include "cli/table.h"
#include "loadtest/report/plots.h"
#include "loadtest/report/statistics.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '&') {
      out += "&amp;";
    } else {
      out += c;
    }
  }
  return out;
}

std::string FileText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct Figure {
  const char* name;
  double (*of)(const Result&);
  bool less_is_better;
};
double Share(const Result& r, std::int64_t n) {
  return r.account.offered == 0 ? 0 : static_cast<double>(n) / static_cast<double>(r.account.offered);
}
constexpr Figure kFigures[] = {
    {"offered a second",
     [](const Result& r) { return r.seconds > 0 ? static_cast<double>(r.account.offered) / r.seconds : 0; },
     false},
    {"share taken", [](const Result& r) { return Share(r, r.account.taken.count()); }, false},
    {"share delivered", [](const Result& r) { return Share(r, r.account.delivered.count()); }, false},
    {"answer p50, ms", [](const Result& r) { return r.account.answer_corrected.Quantile(0.5) / 1000; }, true},
    {"answer p99, ms", [](const Result& r) { return r.account.answer_corrected.Quantile(0.99) / 1000; },
     true},
    {"answer p99.9, ms", [](const Result& r) { return r.account.answer_corrected.Quantile(0.999) / 1000; },
     true},
    {"answer p99 as sent, ms", [](const Result& r) { return r.account.answer_as_sent.Quantile(0.99) / 1000; },
     true},
    {"taken p99, ms", [](const Result& r) { return r.account.taken.Quantile(0.99) / 1000; }, true},
    {"delivered p50, ms", [](const Result& r) { return r.account.delivered.Quantile(0.5) / 1000; }, true},
    {"delivered p99, ms", [](const Result& r) { return r.account.delivered.Quantile(0.99) / 1000; }, true}};

std::vector<double> Values(const Figure& figure, const std::vector<Result>& runs) {
  std::vector<double> values;
  for (const Result& r : runs) values.push_back(figure.of(r));
  return values;
}

Json AsJson(const std::optional<Interval>& interval) {
  if (!interval) return nullptr;
  return {{"middle", interval->middle}, {"low", interval->low}, {"high", interval->high}};
}

}  // namespace

void WriteReport(const std::vector<Result>& runs, const std::string& folder) {
  std::filesystem::create_directories(folder);
  std::string body;
  Json machine = {{"runs", Json::array()}, {"figures", Json::object()}};
  if (runs.size() > 1) {
    body += "<h2>All runs</h2><table><tr><th>figure</th><th>mean</th><th>95% interval of the mean</th></tr>";
    for (const Figure& f : kFigures) {
      const std::vector<double> values = Values(f, runs);
      const auto interval = MeanInterval(values);
      machine["figures"][f.name] = {
          {"mean", Mean(values)}, {"interval", AsJson(interval)}, {"values", values}};
      body += fmt::format("<tr><td>{}</td><td>{:.4g}</td><td>{:.4g} to {:.4g}</td></tr>", f.name,
                          Mean(values), interval->low, interval->high);
    }
    body += "</table>";
  }
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const Result& r = runs[i];
    machine["runs"].push_back(ToJson(r));
    body += "<h2>" + Escaped(r.name) + "</h2>";
    std::ostringstream text;
    PrintResult(r, text);
    body += "<pre>" + Escaped(text.str()) + "</pre>";
    for (const Plot& plot : DrawPlots(r, folder, fmt::format("run{}-", i + 1))) {
      body += "<h3>" + Escaped(plot.title) + "</h3>";
      const std::string svg = plot.made ? FileText(folder + "/" + plot.name + ".svg") : "";
      const std::size_t from = svg.find("<svg");
      body += from == std::string::npos
                  ? "<p>Not drawn: gnuplot could not be run. Its script and data stand beside this page.</p>"
                  : svg.substr(from);
    }
  }
  std::ofstream page(folder + "/report.html", std::ios::trunc);
  page << "<!DOCTYPE html><html lang=\"en\"><head><meta "
          "charset=\"utf-8\"><title>sagetally-loadtest</title><style>body{"
          "font-family:sans-serif;max-width:960px;margin:2em "
          "auto}pre{background:#f6f6f6;padding:1em;overflow:auto}td,th{"
          "padding:.2em 1em;text-align:left}</style></head><body><h1>sagetally-loadtest</h1>"
       << body << "</body></html>\n";
  page.close();
  std::ofstream json(folder + "/report.json", std::ios::trunc);
  json << machine.dump(1) << "\n";
  json.close();
  if (!page || !json) throw std::runtime_error(folder + ": can't be written");
}

Json Compare(const std::vector<Result>& a, const std::vector<Result>& b) {
  Json all = {{"runs", {a.size(), b.size()}}, {"figures", Json::array()}};
  for (const Figure& f : kFigures) {
    const std::vector<double> x = Values(f, a), y = Values(f, b);
    const auto interval = RatioInterval(x, y);
    const double first = Mean(x), second = Mean(y);
    Json figure = {{"figure", f.name}, {"a", first}, {"b", second}, {"interval", AsJson(interval)}};
    figure["ratio"] = first > 0 ? Json(interval ? interval->middle : second / first) : Json(nullptr);
    std::string verdict = "one run is too few to tell";
    if (interval) {
      const bool more = interval->low > 1, less = interval->high < 1;
      verdict = !more && !less ? "no difference shown" : more == f.less_is_better ? "worse" : "better";
    }
    figure["verdict"] = verdict;
    all["figures"].push_back(figure);
  }
  return all;
}

void PrintComparison(const Json& comparison, std::ostream& out) {
  Table table({"figure", "a", "b", "b/a", "95% interval", "verdict"});
  for (const Json& f : comparison.at("figures")) {
    const Json& i = f.at("interval");
    table.Add({f.at("figure"), fmt::format("{:.4g}", f.at("a").get<double>()),
               fmt::format("{:.4g}", f.at("b").get<double>()),
               f.at("ratio").is_null() ? "" : fmt::format("{:.3f}", f.at("ratio").get<double>()),
               i.is_null()
                   ? ""
                   : fmt::format("{:.3f} to {:.3f}", i.at("low").get<double>(), i.at("high").get<double>()),
               f.at("verdict")});
  }
  table.Print(out);
}

}  // namespace sagetally::loadtest
