// Compares the metrics page and the status texts byte for byte with golden files, which an earlier version of
// the program wrote before its identifiers were renamed. tests/golden/README.md explains how the files were
// created, and make_golden.cpp contains their input.
#undef NDEBUG
#include <fmt/format.h>

#include <cassert>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "admin/metrics.h"
#include "admin/readiness.h"

namespace sagetally {
namespace {

const std::vector<std::string> kClasses = {"aviso", "pedido", "pagamento"};
constexpr GaugeValues kGauges{14, 9, 2};
constexpr Time kStart{1'700'000'000'000'000};

std::string ReadGolden(const std::string& path) {
  std::ifstream file(std::string(SAGETALLY_GOLDEN) + "/" + path, std::ios::binary);
  assert(file);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

// Asserts that both texts are equal. If not, prints the first line that differs, which an assertion alone
// does not show.
void ExpectSameBytes(const std::string& actual, const std::string& golden) {
  if (actual == golden) return;
  std::istringstream actual_lines(actual);
  std::istringstream golden_lines(golden);
  std::string actual_line;
  std::string golden_line;
  do {
    if (!std::getline(actual_lines, actual_line)) actual_line = "(end)";
    if (!std::getline(golden_lines, golden_line)) golden_line = "(end)";
  } while (actual_line == golden_line && actual_lines && golden_lines);
  std::fprintf(stderr, "actual: %s\ngolden: %s\n", actual_line.c_str(), golden_line.c_str());
  assert(actual == golden);
}

void RecordCompletions(Metrics& metrics, int message_class, FinalStatus status, int attempts, int times) {
  Message message;
  message.request.message_class = message_class;
  message.final_status = status;
  message.attempts = attempts;
  for (int i = 0; i < times; ++i) metrics.RecordCompletion(message);
}

void MetricsPageIsUnchanged() {
  Metrics metrics(kClasses);
  for (int i = 0; i < static_cast<int>(kClasses.size()); ++i) {
    RecordCompletions(metrics, i, FinalStatus::kDelivered, 1, 811 + i);
    RecordCompletions(metrics, i, FinalStatus::kRejected, 0, 11 + i);
    RecordCompletions(metrics, i, FinalStatus::kExpired, 0, 3 + i);
    RecordCompletions(metrics, i, FinalStatus::kExpired, 1, 2 + i);
    RecordCompletions(metrics, i, FinalStatus::kFailed, 2, 21 + i);
    metrics.RecordRejection(i);
  }
  RecordCompletions(metrics, kUnknownClass, FinalStatus::kDelivered, 1, 1);  // is not counted
  for (int i = 0; i < 1234; ++i) metrics.RecordCallWritten();
  ExpectSameBytes(metrics.FormatStatsd(kGauges), ReadGolden("metrics.txt"));
}

// Returns one line of operate.json, without the trailing comma.
std::string StatusLine(const Readiness& readiness, std::size_t pending_messages, std::size_t connections) {
  return fmt::format(R"(  {{"phase_number":{},"held":{},"connections":{},"ready":{},"word":"{}"}})",
                     static_cast<int>(readiness.phase()), pending_messages, connections, readiness.IsReady(),
                     readiness.StatusText(pending_messages, connections));
}

std::vector<std::string> StatusLines() {
  std::vector<std::string> lines;
  Readiness readiness;
  lines.push_back(StatusLine(readiness, 0, 0));
  readiness.OnStarted();
  lines.push_back(StatusLine(readiness, 3, 2));
  readiness.can_record = [] { return false; };
  lines.push_back(StatusLine(readiness, 3, 2));
  readiness.can_record = nullptr;
  readiness.Pause(kStart);
  lines.push_back(StatusLine(readiness, 3, 0));
  lines.push_back(StatusLine(readiness, 0, 2));
  lines.push_back(StatusLine(readiness, 0, 0));
  Readiness handed_over = readiness;
  handed_over.HandOver();
  lines.push_back(StatusLine(handed_over, 0, 1));
  readiness.Stop(kStart);
  lines.push_back(StatusLine(readiness, 0, 0));
  return lines;
}

void StatusTextsAreUnchanged() {
  std::string actual = "{\n \"metrics_gauges\": {\n";
  actual += fmt::format("  \"in_progress\": {},\n", kGauges.in_progress);
  actual += fmt::format("  \"known_endpoints\": {},\n", kGauges.known_endpoints);
  actual += fmt::format("  \"skipped_endpoints\": {}\n }},\n \"status\": [\n", kGauges.avoided_endpoints);
  const std::vector<std::string> lines = StatusLines();
  for (const std::string& line : lines) actual += line + (&line == &lines.back() ? "\n" : ",\n");
  actual += " ]\n}\n";
  ExpectSameBytes(actual, ReadGolden("expected/operate.json"));
}

}  // namespace
}  // namespace sagetally

int main() {
  sagetally::MetricsPageIsUnchanged();
  sagetally::StatusTextsAreUnchanged();
  std::puts("2 passed, 0 failed");
}
