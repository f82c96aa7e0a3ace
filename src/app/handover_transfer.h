// What the message pipeline passes on in a handover, and how the next process's pipeline continues from it.
// No I/O.
#ifndef SAGETALLY_SRC_APP_HANDOVER_TRANSFER_H_
#define SAGETALLY_SRC_APP_HANDOVER_TRANSFER_H_

#include <cstdint>
#include <set>

#include "config/settings.h"
#include "handover/handover_state.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {

// `revision`: of the endpoint list.
HandoverState CaptureHandoverState(const MessagePipeline& pipeline, const SiteSettings& site,
                                   std::int64_t revision, const Timestamp& now);

// `pipeline` must be new, with its messages read from the journal. Returns the numbers of the calls that are
// still in flight in the other process.
std::set<std::uint64_t> RestoreHandoverState(const HandoverState& state, const SiteSettings& site,
                                             MessagePipeline& pipeline);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_TRANSFER_H_
