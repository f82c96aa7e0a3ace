// Functions by which the replay of a journal, of any format, applies the records of an attempt to its
// message. Called by the appliers of formats 1 and 2; pure functions on the message.
#ifndef SAGETALLY_SRC_JOURNAL_ATTEMPT_REPLAY_H_
#define SAGETALLY_SRC_JOURNAL_ATTEMPT_REPLAY_H_

#include <string>

#include "core/message.h"

namespace sagetally {

// Records in `message` that its attempt in flight may have run. If an earlier attempt is recorded as
// uncertain already, that one stays.
inline void MarkUncertainAttempt(Message& message) {
  if (message.first_uncertain_attempt) return;
  message.first_uncertain_attempt = message.in_flight_since;
  message.first_uncertain_endpoint = message.in_flight_endpoint;
}

// Ends the attempt in flight, if there is one, and marks it as uncertain: its outcome was lost when the
// process ended.
inline void CloseInterruptedAttempt(Message& message) {
  if (message.is_in_flight) MarkUncertainAttempt(message);
  message.is_in_flight = false;
}

// Applies the record of an attempt that was sent to `endpoint` at `started_at`.
inline void BeginReplayedAttempt(Message& message, Time started_at, std::string endpoint) {
  CloseInterruptedAttempt(message);  // an attempt that was in flight when an earlier process ended
  message.in_flight_since = started_at;
  message.in_flight_endpoint = std::move(endpoint);
  message.attempts += 1;
  message.is_in_flight = true;
}

// Applies the record of an attempt's outcome.
inline void EndReplayedAttempt(Message& message, Outcome outcome) {
  message.is_in_flight = false;
  if (MayHaveRun(outcome)) MarkUncertainAttempt(message);
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_ATTEMPT_REPLAY_H_
