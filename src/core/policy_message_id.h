// How the service names its messages to the dispatch policy, which knows them by strings only.
#ifndef SAGETALLY_SRC_CORE_POLICY_MESSAGE_ID_H_
#define SAGETALLY_SRC_CORE_POLICY_MESSAGE_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sagetally {

// The id under which the policy knows message `number`.
std::string PolicyMessageId(std::uint64_t number);

// The message number behind an id of the policy. Nothing if the id does not begin with a number, as that of
// an attempt replayed from an earlier process.
std::optional<std::uint64_t> ParsePolicyMessageId(std::string_view id);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_POLICY_MESSAGE_ID_H_
