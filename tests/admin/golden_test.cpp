// The metrics page and the status words, made again and compared byte for byte with those of the program
// before its code was renamed. tests/golden/README.md says how the files were made, make_golden.cpp what they
// were made from.
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

// Prints the first line that differs, so that a failure says more than an assertion.
void ExpectSameBytes(const std::string& made, const std::string& golden) {
  if (made == golden) return;
  std::istringstream made_lines(made);
  std::istringstream golden_lines(golden);
  std::string made_line;
  std::string golden_line;
  do {
    if (!std::getline(made_lines, made_line)) made_line = "(end)";
    if (!std::getline(golden_lines, golden_line)) golden_line = "(end)";
  } while (made_line == golden_line && made_lines && golden_lines);
  std::fprintf(stderr, "made:   %s\ngolden: %s\n", made_line.c_str(), golden_line.c_str());
  assert(made == golden);
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
  RecordCompletions(metrics, kUnknownClass, FinalStatus::kDelivered, 1, 1);  // counts nowhere
  for (int i = 0; i < 1234; ++i) metrics.RecordCallWritten();
  ExpectSameBytes(metrics.FormatStatsd(kGauges), ReadGolden("metrics.txt"));
}

// One line of operate.json, without the comma after it.
std::string StatusLine(const Readiness& readiness, std::size_t pending_messages, std::size_t connections) {
  return fmt::format(R"(  {{"phase_number":{},"held":{},"connections":{},"ready":{},"word":"{}"}})",
                     static_cast<int>(readiness.phase()), pending_messages, connections, readiness.IsReady(),
                     readiness.StatusWord(pending_messages, connections));
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

void StatusWordsAreUnchanged() {
  std::string made = "{\n \"metrics_gauges\": {\n";
  made += fmt::format("  \"in_progress\": {},\n", kGauges.in_progress);
  made += fmt::format("  \"known_endpoints\": {},\n", kGauges.known_endpoints);
  made += fmt::format("  \"skipped_endpoints\": {}\n }},\n \"status\": [\n", kGauges.avoided_endpoints);
  const std::vector<std::string> lines = StatusLines();
  for (const std::string& line : lines) made += line + (&line == &lines.back() ? "\n" : ",\n");
  made += " ]\n}\n";
  ExpectSameBytes(made, ReadGolden("expected/operate.json"));
}

}  // namespace
}  // namespace sagetally

int main() {
  sagetally::MetricsPageIsUnchanged();
  sagetally::StatusWordsAreUnchanged();
  std::puts("2 passed, 0 failed");
}
