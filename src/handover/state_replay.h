// Tells a new decision module what the attempts of late have taught the one of the process before. No I/O.
#ifndef SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_
#define SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_

#include <functional>
#include <string>
#include <vector>

#include "core/message_table.h"
#include "handover/handover_state.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Calls `step` with events in the order of their times, none later than state.now: the list, each attempt of
// late, and each message of the ledger whose call is out (Message::out), as taken with that call out.
// Attempts of classes that are not in `classes`, and kinds from `kinds` on, are passed over or taken for the
// first. The module's actions of these steps mean nothing but the time to wake it.
void ReplayHandoverState(const HandoverState& state, const std::vector<std::string>& classes,
                         std::size_t kinds, const MessageTable& ledger,
                         const std::function<void(Time at, const std::vector<Event>& events)>& step);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_STATE_REPLAY_H_
