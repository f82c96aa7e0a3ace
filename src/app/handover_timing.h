// Time limits of the two ends of a handover. The old process serves nobody, operators included, while it
// waits for the new one.
#ifndef SAGETALLY_SRC_APP_HANDOVER_TIMING_H_
#define SAGETALLY_SRC_APP_HANDOVER_TIMING_H_

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// From the hello until it is answered, and between two packets of an offer.
inline constexpr Duration kHandoverAnswerTimeout = std::chrono::milliseconds(1500);
// From the complete offer until the new process is ready, and from that until it may begin.
inline constexpr Duration kHandoverReadyTimeout = std::chrono::milliseconds(700);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_TIMING_H_
