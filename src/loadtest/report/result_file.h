// Result files: a RunResult as JSON (deploy/schema/result.schema.json). Only this codec knows the file's
// keys. Called by the commands; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_FILE_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_FILE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// The content of the result file.
nlohmann::json ToJson(const RunResult& result);

// Reads the content of a result file. Throws std::runtime_error whose message begins with the JSON pointer of
// the invalid value.
RunResult ResultFromJson(const nlohmann::json& json);

// Reads a result file as ResultFromJson() does. Error messages name the file too.
RunResult ReadResult(const std::string& path);

// Writes or replaces a result file. Throws std::runtime_error if it can't be written in full.
void WriteResult(const RunResult& result, const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_FILE_H_
