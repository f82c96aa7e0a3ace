// The JSON schemas of the load test tool's files. CMake generates their definitions from deploy/schema/.
#ifndef SAGETALLY_SRC_LOADTEST_SCHEMAS_H_
#define SAGETALLY_SRC_LOADTEST_SCHEMAS_H_

#include <string_view>

namespace sagetally::loadtest {

extern const std::string_view kScenarioSchema;
extern const std::string_view kStubServerSchema;
extern const std::string_view kResultSchema;

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SCHEMAS_H_
