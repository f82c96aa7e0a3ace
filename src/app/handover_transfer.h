// Captures the state of the message pipeline for a handover, and restores it in the pipeline of the next
// process. Called by the Dispatcher on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_APP_HANDOVER_TRANSFER_H_
#define SAGETALLY_SRC_APP_HANDOVER_TRANSFER_H_

#include <cstdint>
#include <set>

#include "config/settings.h"
#include "handover/handover_state.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {

// Returns the state of `pipeline` at the moment `now`. `revision` is the revision of its endpoint list.
HandoverState CaptureHandoverState(const MessagePipeline& pipeline, const SiteSettings& site,
                                   std::int64_t revision, const Timestamp& now);

// Restores `state` in `pipeline`, which must be new and must have its messages read from the journal. Returns
// the numbers of the calls that are still in flight in the old process.
std::set<std::uint64_t> RestoreHandoverState(const HandoverState& state, const SiteSettings& site,
                                             MessagePipeline& pipeline);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_TRANSFER_H_
