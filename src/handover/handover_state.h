// What a process passes to its successor besides descriptors and the journal, and its encoding. It holds
// facts only, in a form that does not depend on what the dispatch policy of either version keeps.
//
// The handover session in src/app sends and receives these bytes. No I/O here, and no state between calls.
// The directory depends on core and base only; the pipeline fills the attempt history without knowing of it.
#ifndef SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_
#define SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/attempt_history.h"
#include "core/message.h"

namespace sagetally {

// Two processes hand over to each other only if they agree on it.
constexpr std::uint32_t kHandoverVersion = 1;

// A call that stays with the old process, which reports its result to the new one.
struct InFlightCall {
  std::uint64_t message_number = 0;  // of the message
  std::string endpoint = {};
  Time sent_at{0};
  // The earliest of the message's attempts before this one that may have run.
  std::optional<Time> first_uncertain_attempt = {};
  std::string first_uncertain_endpoint = {};
};

struct HandoverState {
  Timestamp now = {};
  std::vector<std::string> class_names = {};  // names of the message classes, by number
  std::int64_t endpoint_list_revision = 0;    // of the endpoint list
  std::vector<EndpointUpdate> endpoints = {};
  std::vector<CompletedAttempt> recent_attempts = {};  // oldest first
  std::vector<InFlightCall> in_flight_calls = {};
};

std::string EncodeHandoverState(const HandoverState& state);
// Returns nothing if the bytes are of another version or not exactly one state.
std::optional<HandoverState> DecodeHandoverState(std::string_view bytes);

std::string EncodeCallResult(const CallResult& result);
// Returns nothing if the bytes are not exactly one result.
std::optional<CallResult> DecodeCallResult(std::string_view bytes);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_
