// Teaches the dispatch policy of a new process what that of the process before learnt from its latest
// attempts. Called once, after the journal's replay and before the policy's first run. No I/O.
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

// Lets the policy process events as of the time `now`; see Router::ReplayEvents().
using ReplayStep = std::function<void(Time now, const std::vector<Event>& events)>;

// Replays `state` by calling `step` with events in the order of their times, none of them later than
// `state.now`: the endpoint list, each completed attempt, and each pending message of `messages` whose call
// is in flight.
//
// `classes` are this process's message classes by number, `kind_count` the number of its destination kinds.
// Attempts of a class that it does not have are left out; endpoints of a kind that it does not have count as
// of the first kind. The actions that the policy answers with have no meaning, apart from the timer it asks
// for.
void ReplayHandoverState(const HandoverState& state, const std::vector<std::string>& classes,
                         std::size_t kind_count, const MessageTable& messages, const ReplayStep& step);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_
