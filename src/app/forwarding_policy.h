// What a forwarder decides: the planner of a submission, and what follows from an attempt to forward it. No
// I/O.
#ifndef SAGETALLY_SRC_APP_FORWARDING_POLICY_H_
#define SAGETALLY_SRC_APP_FORWARDING_POLICY_H_

#include <chrono>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

struct PlannerChoice {
  enum class Status {
    kFound,
    kNoPlannerUp,
    // A batch is accepted whole or not at all, which two planners can't promise.
    kSeveralPlanners,
  };
  Status status = Status::kNoPlannerUp;
  Address planner = {};  // with kFound
};
// The planner of all `destinations`, of which there must be one. `application`: the planners' name in the
// registry.
PlannerChoice ChoosePlanner(const Applications& applications, const std::string& application,
                            const std::vector<int>& destinations);

// A planner answers at once.
inline constexpr Duration kForwardingAttemptTimeout = std::chrono::milliseconds(150);
inline constexpr Duration kForwardingRetryDelay = std::chrono::milliseconds(30);
// A client waits 400 ms; by then it must know the outcome, or that it is unknown.
inline constexpr Duration kForwardingTimeout = std::chrono::milliseconds(330);

enum class ForwardingStep {
  kPassOnAnswer,       // the planner has answered
  kReportUnreachable,  // the planner has certainly not accepted it
  kReportUnknown,      // the planner may have accepted it, and there is no time for another attempt
  kRetry,  // at the same planner, under the same id: if it has accepted it, the answer is the same
};
// After an attempt. `may_be_accepted`: the whole request has been written in this attempt or an earlier one.
ForwardingStep DecideAfterAttempt(const HttpResult& result, bool may_be_accepted,
                                  std::chrono::steady_clock::time_point now,
                                  std::chrono::steady_clock::time_point give_up_at);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_FORWARDING_POLICY_H_
