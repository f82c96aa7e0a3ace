// Time limits that both sides of a handover use. They are short because the old process serves no requests,
// not even those of operators, while it waits for the new one.
#ifndef SAGETALLY_SRC_APP_HANDOVER_TIMING_H_
#define SAGETALLY_SRC_APP_HANDOVER_TIMING_H_

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Time limit for the hello after a connection, for the first packet that answers it, and for each further
// packet of the offer.
inline constexpr Duration kHandoverAnswerTimeout = std::chrono::milliseconds(1500);
// Time limit for the new process to be ready after it has received the offer, and for the old one to allow it
// to begin after that.
inline constexpr Duration kHandoverReadyTimeout = std::chrono::milliseconds(700);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_TIMING_H_
