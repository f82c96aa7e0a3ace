// Conversions between message numbers and the string ids by which the dispatch policy identifies messages. No
// state; may be called on any thread.
#ifndef SAGETALLY_SRC_CORE_POLICY_MESSAGE_ID_H_
#define SAGETALLY_SRC_CORE_POLICY_MESSAGE_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sagetally {

// Returns the policy's id of message `number`.
std::string ToPolicyMessageId(std::uint64_t number);

// Returns the message number of an id of the policy. Returns nothing if the id does not begin with a number,
// as in the ids of attempts replayed from an earlier process.
std::optional<std::uint64_t> ParsePolicyMessageId(std::string_view id);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_POLICY_MESSAGE_ID_H_
