// The state that a process passes to its successor in a handover, in addition to file descriptors and the
// journal, and the encoding of that state. It contains facts only, such as endpoints and attempts, so that
// its format does not depend on the internal state of the dispatch policy in either version of the program.
//
// The handover classes in src/app send and receive the encoded bytes. The functions here do no I/O and keep
// no state between calls. This folder depends on core and base only; the pipeline, which fills the attempt
// history, does not depend on it.
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

// The version of the handover format. A handover takes place only between processes of the same version.
constexpr std::uint32_t kHandoverVersion = 1;

// A call that stays in flight in the predecessor, which reports its result to the successor.
struct InFlightCall {
  std::uint64_t message_number = 0;
  std::string endpoint = {};
  Time sent_at{0};
  // The earliest of the message's attempts before this one that may have run.
  std::optional<Time> first_uncertain_attempt = {};
  std::string first_uncertain_endpoint = {};
};

// What the predecessor knows at the time of the handover.
struct HandoverState {
  Timestamp now = {};                         // when the predecessor captured the state
  std::vector<std::string> class_names = {};  // names of the message classes, by class number
  std::int64_t endpoint_list_revision = 0;
  std::vector<EndpointUpdate> endpoints = {};          // the endpoint list
  std::vector<CompletedAttempt> recent_attempts = {};  // oldest first
  std::vector<InFlightCall> in_flight_calls = {};
};

// Encodes a state in the format of kHandoverVersion.
std::string EncodeHandoverState(const HandoverState& state);
// Returns nothing if the bytes have another version or are not exactly one encoded state.
std::optional<HandoverState> DecodeHandoverState(std::string_view bytes);

// Encodes the result of a call that stayed in flight in the predecessor.
std::string EncodeCallResult(const CallResult& result);
// Returns nothing if the bytes are not exactly one encoded result.
std::optional<CallResult> DecodeCallResult(std::string_view bytes);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_
