// Replays the predecessor's recent attempts into the dispatch policy of the successor, so that this policy
// learns from them what the predecessor's policy had learned. Called once on the event loop's thread, after
// the journal was replayed and before the policy runs for the first time. No I/O.
#ifndef SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_
#define SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/message_table.h"
#include "handover/handover_state.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Makes the policy process events as of the time `now`; see Router::ReplayEvents().
using ProcessEventsAt = std::function<void(Time now, const std::vector<Event>& events)>;

// Replays `state` by calling `process_events` with events in the order of their times, none of them later
// than `state.now`: the endpoint list, each completed attempt, and each pending message of `messages` that
// has a call in flight.
//
// `classes` holds the names of this process's message classes by class number, and `kind_count` is the number
// of its destination kinds. Attempts of a class that this process does not have are skipped. Endpoints of a
// kind that it does not have are treated as endpoints of the first kind. `process_events` must ignore the
// actions that the policy returns, except for the timer that it requests.
void ReplayHandoverState(const HandoverState& state, const std::vector<std::string>& classes,
                         std::size_t kind_count, const MessageTable& messages,
                         const ProcessEventsAt& process_events);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_
