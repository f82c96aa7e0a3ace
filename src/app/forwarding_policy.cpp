#include "app/forwarding_policy.h"

#include <set>

#include "service_registry/planner_selection.h"

namespace sagetally {

PlannerChoice ChoosePlanner(const Applications& applications, const std::string& application,
                            const std::vector<int>& destinations) {
  const auto found = applications.find(application);
  if (found == applications.end()) return {PlannerChoice::Status::kNoPlannerUp};
  std::set<const Instance*> planners;
  for (const int destination : destinations) planners.insert(SelectPlanner(found->second, destination));
  if (planners.contains(nullptr)) return {PlannerChoice::Status::kNoPlannerUp};
  if (planners.size() > 1) return {PlannerChoice::Status::kSeveralPlanners};
  const Instance& planner = **planners.begin();
  return {PlannerChoice::Status::kFound, {planner.host, planner.port}};
}

ForwardingStep DecideAfterAttempt(const HttpResult& result, bool may_be_accepted,
                                  std::chrono::steady_clock::time_point now,
                                  std::chrono::steady_clock::time_point give_up_at) {
  if (result.status_code != 0) return ForwardingStep::kPassOnResponse;
  if (!may_be_accepted) return ForwardingStep::kReportUnreachable;
  if (now + kForwardingRetryDelay >= give_up_at) return ForwardingStep::kReportUnknown;
  return ForwardingStep::kRetry;
}

}  // namespace sagetally
