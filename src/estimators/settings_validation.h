// Checks of what a host hands to the dispatch policy. Each throws std::invalid_argument.
#ifndef SAGETALLY_SRC_ESTIMATORS_SETTINGS_VALIDATION_H_
#define SAGETALLY_SRC_ESTIMATORS_SETTINGS_VALIDATION_H_

#include <cstddef>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Throws if the settings contradict themselves. The text names the setting as the platform's configuration
// does.
void ValidateSettings(const Settings& settings);

// Throws unless 0 <= index < size. `what` and `id` say in the text whose index it is: "class of message",
// "m-1".
void ValidateIndex(int index, std::size_t size, const char* what, const std::string& id);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_SETTINGS_VALIDATION_H_
