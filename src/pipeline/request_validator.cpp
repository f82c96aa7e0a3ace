#include "pipeline/request_validator.h"

#include <set>
#include <utility>

namespace sagetally {

std::string RequestValidator::FindProblem(const Request& r) const {
  if (r.id.empty() || r.id.size() > kMaxNameBytes) return "the id must have 1 to 512 bytes";
  if (r.message_class < 0 || r.message_class >= static_cast<int>(site_.classes.size())) {
    return "unknown class";
  }
  if (r.destination < 0 || r.destination > kMaxDestination) return "destination out of range";
  if (r.time_left <= Duration(0)) return "the deadline must be positive";
  if (r.body.size() > kMaxBodyBytes) return "the body is longer than 64 KiB";
  if (r.idempotency_key.size() > kMaxNameBytes) return "the idempotency key is longer than 512 bytes";
  return "";
}

void RequestValidator::Submit(std::vector<Request> requests, AdmissionCallback reply) {
  for (const Request& request : requests) {
    if (std::string problem = FindProblem(request); !problem.empty()) {
      reply({AdmissionStatus::kInvalid, Duration(0), std::move(problem)});
      return;
    }
    // Guards the held places against what can go nowhere. The list may be late, so it may come again.
    if (!router_.KnowsDestination(request.destination)) {
      return admission_.Reject(
          requests, reply,
          {AdmissionStatus::kRejected, Duration(0), "no endpoint of this destination is known"});
    }
    // Guards against a second copy beside the one that is being sent again.
    if (dead_letters_ != nullptr && dead_letters_->IsBeingRedriven(request)) {
      return admission_.Reject(
          requests, reply,
          {AdmissionStatus::kRejected, std::chrono::seconds(1), "a kept copy of it is being sent again"});
    }
  }
  std::vector<Request> fresh;
  std::set<std::string> ids;
  for (Request& request : requests) {
    // Held, or ended in remembered time: the same answer and no second message. After a refusal it is new.
    const Message* known = messages_.FindDuplicate(request);
    if (known != nullptr && known->final_status != FinalStatus::kRejected) continue;
    if (ids.insert(request.id).second) fresh.push_back(std::move(request));
  }
  if (fresh.empty()) {
    reply({});
    return;
  }
  admission_.Accept(std::move(fresh), std::move(reply));
}

}  // namespace sagetally
