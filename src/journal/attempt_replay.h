// How a replayed attempt changes its message, in every format of the journal.
#ifndef SAGETALLY_SRC_JOURNAL_ATTEMPT_REPLAY_H_
#define SAGETALLY_SRC_JOURNAL_ATTEMPT_REPLAY_H_

#include <string>

#include "core/message.h"

namespace sagetally {

// The attempt in flight may have run, and its outcome isn't known. Keeps an earlier uncertain attempt.
inline void MarkUncertainAttempt(Message& message) {
  if (message.first_uncertain_attempt) return;
  message.first_uncertain_attempt = message.in_flight_since;
  message.first_uncertain_endpoint = message.in_flight_endpoint;
}

// If an attempt is in flight, its outcome was lost with the process: it counts as uncertain, and has ended.
inline void CloseInterruptedAttempt(Message& message) {
  if (message.is_in_flight) MarkUncertainAttempt(message);
  message.is_in_flight = false;
}

inline void BeginReplayedAttempt(Message& message, Time started_at, std::string endpoint) {
  CloseInterruptedAttempt(message);  // of an earlier process
  message.in_flight_since = started_at;
  message.in_flight_endpoint = std::move(endpoint);
  message.attempts += 1;
  message.is_in_flight = true;
}

inline void EndReplayedAttempt(Message& message, Outcome outcome) {
  message.is_in_flight = false;
  if (MayHaveRun(outcome)) MarkUncertainAttempt(message);
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_ATTEMPT_REPLAY_H_
