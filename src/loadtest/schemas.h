// The schemas under deploy/schema/, compiled in.
#ifndef SAGETALLY_SRC_LOADTEST_SCHEMAS_H_
#define SAGETALLY_SRC_LOADTEST_SCHEMAS_H_

#include <string_view>

namespace sagetally::loadtest {

extern const std::string_view kScenarioSchema, kStandInSchema, kResultSchema;

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SCHEMAS_H_
