// The decisions of a forwarder: which planner gets a submission, and what to do after an attempt to forward
// it. Pure functions without I/O, called by Forwarder.
#ifndef SAGETALLY_SRC_APP_FORWARDING_POLICY_H_
#define SAGETALLY_SRC_APP_FORWARDING_POLICY_H_

#include <chrono>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

// Which planner gets a submission, or why none does.
struct PlannerChoice {
  enum class Status {
    kFound,
    kNoPlannerUp,
    // The destinations belong to different planners. A batch must be accepted as a whole or not at all, which
    // two planners can't guarantee.
    kSeveralPlanners,
  };
  Status status = Status::kNoPlannerUp;
  Address planner = {};  // set with kFound only
};
// Selects the planner that owns all `destinations`, which must not be empty. `application` is the planners'
// application name in the registry.
PlannerChoice ChoosePlanner(const Applications& applications, const std::string& application,
                            const std::vector<int>& destinations);

// Time limit of one attempt. It can be short, because a planner responds without delay.
inline constexpr Duration kForwardingAttemptTimeout = std::chrono::milliseconds(150);
// Time between two attempts.
inline constexpr Duration kForwardingRetryDelay = std::chrono::milliseconds(30);
// Time limit of all attempts together. A client waits 400 ms, and by then must have been told the outcome, or
// that the outcome is unknown.
inline constexpr Duration kForwardingTimeout = std::chrono::milliseconds(330);

// What the forwarder does after an attempt.
enum class ForwardingStep {
  kPassOnResponse,     // the planner has responded
  kReportUnreachable,  // the planner has certainly not accepted the submission
  kReportUnknown,      // the planner may have accepted it, and no time is left for another attempt
  // Sends it to the same planner again, under the same id. A planner that has accepted it already gives the
  // same response again.
  kRetry,
};
// Decides what to do after an attempt. `may_be_accepted` says whether the whole request was written in this
// or an earlier attempt. At `give_up_at` the client must have its response.
ForwardingStep DecideAfterAttempt(const HttpResult& result, bool may_be_accepted,
                                  std::chrono::steady_clock::time_point now,
                                  std::chrono::steady_clock::time_point give_up_at);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_FORWARDING_POLICY_H_
