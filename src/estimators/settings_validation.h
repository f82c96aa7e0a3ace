// Checks of the settings and indices that a host gives to the dispatch policy. Each throws
// std::invalid_argument.
#ifndef SAGETALLY_SRC_ESTIMATORS_SETTINGS_VALIDATION_H_
#define SAGETALLY_SRC_ESTIMATORS_SETTINGS_VALIDATION_H_

#include <cstddef>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Throws if a setting is out of range, or if a list that needs an item is empty. The text of the exception
// names the setting by its key in the platform's configuration.
void ValidateSettings(const Settings& settings);

// Throws unless 0 <= index < size. The text of the exception says whose index it is by `description` and
// `id`, for example "class of message" and "m-1".
void ValidateIndex(int index, std::size_t size, const char* description, const std::string& id);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_SETTINGS_VALIDATION_H_
