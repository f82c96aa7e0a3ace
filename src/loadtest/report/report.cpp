#include "loadtest/report/report.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "loadtest/report/metrics.h"
#include "loadtest/report/plots.h"
#include "loadtest/report/result_file.h"
#include "loadtest/report/result_table.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

constexpr char kPageHead[] =
    "<!DOCTYPE html><html lang=\"en\"><head><meta "
    "charset=\"utf-8\"><title>sagetally-loadtest</title><style>body{"
    "font-family:sans-serif;max-width:960px;margin:2em "
    "auto}pre{background:#f6f6f6;padding:1em;overflow:auto}td,th{"
    "padding:.2em 1em;text-align:left}</style></head><body><h1>sagetally-loadtest</h1>";
constexpr char kPageEnd[] = "</body></html>\n";

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<') {
      escaped += "&lt;";
    } else if (c == '&') {
      escaped += "&amp;";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns an HTML table of the metrics' means over all runs, and adds the means to `json`. Needs two runs or
// more, because one has no interval.
std::string MetricsSection(const std::vector<RunResult>& runs, Json& json) {
  std::string html =
      "<h2>All runs</h2><table><tr><th>figure</th><th>mean</th><th>95% interval of the mean</th></tr>";
  for (const Metric& metric : kMetrics) {
    const std::vector<double> values = MetricValues(metric, runs);
    const auto interval = MeanInterval(values);
    json[metric.name] = {{"mean", Mean(values)}, {"interval", IntervalToJson(interval)}, {"values", values}};
    html += fmt::format("<tr><td>{}</td><td>{:.4g}</td><td>{:.4g} to {:.4g}</td></tr>", metric.name,
                        Mean(values), interval->low, interval->high);
  }
  return html + "</table>";
}

std::string PlotSection(const Plot& plot, const std::string& folder) {
  const std::string heading = "<h3>" + EscapeHtml(plot.title) + "</h3>";
  const std::string svg = plot.drawn ? ReadText(folder + "/" + plot.name + ".svg") : "";
  const std::size_t image = svg.find("<svg");
  if (image == std::string::npos) {
    return heading +
           "<p>Not drawn: gnuplot could not be run. Its script and data stand beside this page.</p>";
  }
  return heading + svg.substr(image);
}

std::string RunSection(const RunResult& result, std::size_t number, const std::string& folder) {
  std::string html = "<h2>" + EscapeHtml(result.name) + "</h2>";
  std::ostringstream text;
  PrintResult(result, text);
  html += "<pre>" + EscapeHtml(text.str()) + "</pre>";
  for (const Plot& plot : DrawPlots(result, folder, fmt::format("run{}-", number))) {
    html += PlotSection(plot, folder);
  }
  return html;
}

}  // namespace

void WriteReport(const std::vector<RunResult>& runs, const std::string& folder) {
  std::filesystem::create_directories(folder);
  std::string body;
  Json json = {{"runs", Json::array()}, {"figures", Json::object()}};
  if (runs.size() > 1) body += MetricsSection(runs, json["figures"]);
  for (std::size_t i = 0; i < runs.size(); ++i) {
    json["runs"].push_back(ToJson(runs[i]));
    body += RunSection(runs[i], i + 1, folder);
  }
  std::ofstream page(folder + "/report.html", std::ios::trunc);
  page << kPageHead << body << kPageEnd;
  page.close();
  std::ofstream json_file(folder + "/report.json", std::ios::trunc);
  json_file << json.dump(1) << "\n";
  json_file.close();
  if (!page || !json_file) throw std::runtime_error(folder + ": can't be written");
}

}  // namespace sagetally::loadtest
