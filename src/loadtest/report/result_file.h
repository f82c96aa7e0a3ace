// Result files: a RunResult as JSON (deploy/schema/result.schema.json). The codec is the only place that
// knows the file's keys.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_FILE_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_FILE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

nlohmann::json ToJson(const RunResult& result);

// Throws std::runtime_error that begins with the JSON pointer of the wrong value.
RunResult ResultFromJson(const nlohmann::json& json);

// As ResultFromJson; errors name the file too.
RunResult ReadResult(const std::string& path);

// Throws std::runtime_error if the file can't be written in full.
void WriteResult(const RunResult& result, const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_FILE_H_
