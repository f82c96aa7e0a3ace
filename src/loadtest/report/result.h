// A run's result as a file: everything that reports and comparisons need. Its form is
// deploy/schema/result.schema.json.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/load/run.h"
#include "loadtest/report/account.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

struct Result {
  std::string name;
  double seconds = 0;
  bool partial = false;
  std::vector<std::string> why_invalid;
  Account account;
  std::vector<SelfReport> threads;
  std::int64_t connections_opened = 0, waits_for_plan = 0;
  std::vector<FaultSpan> faults;  // of the timeline, in ms of the run; drawn into plots
  bool watched = false;
  bool valid() const { return why_invalid.empty(); }
};

Result MakeResult(const std::string& name, const Scenario& scenario, const RunRecords& run,
                  std::span<const Sighting> sightings, bool watched, const Timeline& timeline = Timeline());

nlohmann::json ToJson(const Result& result);
Result ResultFromJson(const nlohmann::json& json);  // throws std::runtime_error
Result ReadResult(const std::string& path);         // names the file too
void WriteResult(const Result& result, const std::string& path);

// The table that ends a run, and what is wrong with it in plain words.
void PrintResult(const Result& result, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_
