// The schemas under deploy/schema/, compiled in.
#ifndef SAGETALLY_SRC_LOADTEST_SCHEMAS_H_
#define SAGETALLY_SRC_LOADTEST_SCHEMAS_H_

#include <string_view>

namespace sagetally::lab {

extern const std::string_view kScenarioSchema, kStandInSchema, kResultSchema;

}  // namespace sagetally::lab

#endif  // SAGETALLY_SRC_LOADTEST_SCHEMAS_H_
