#include "pipeline/request_validator.h"

#include <set>
#include <utility>

namespace sagetally {

std::string Intake::Problem(const Request& r) const {
  if (r.id.empty() || r.id.size() > kMostName) return "the id must have 1 to 512 bytes";
  if (r.message_class < 0 || r.message_class >= static_cast<int>(site_.classes.size())) {
    return "unknown class";
  }
  if (r.destination < 0 || r.destination > kMostDestination) return "destination out of range";
  if (r.time_left <= Duration(0)) return "the deadline must be positive";
  if (r.body.size() > kMostBody) return "the body is longer than 64 KiB";
  if (r.key.size() > kMostName) return "the idempotency key is longer than 512 bytes";
  return "";
}

void Intake::Take(std::vector<Request> requests, Reply reply) {
  for (const Request& request : requests) {
    if (std::string problem = Problem(request); !problem.empty()) {
      reply({Verdict::kInvalid, Duration(0), std::move(problem)});
      return;
    }
    // Guards the held places against what can go nowhere. The list may be late, so it may come again.
    if (!route_.Knows(request.destination)) {
      return admit_.Refuse(requests, reply,
                           {Verdict::kRefused, Duration(0), "no endpoint of this destination is known"});
    }
    // Guards against a second copy beside the one that is being sent again.
    if (keep_ != nullptr && keep_->BeingResent(request)) {
      return admit_.Refuse(
          requests, reply,
          {Verdict::kRefused, std::chrono::seconds(1), "a kept copy of it is being sent again"});
    }
  }
  std::vector<Request> fresh;
  std::set<std::string> ids;
  for (Request& request : requests) {
    // Held, or ended in remembered time: the same answer and no second message. After a refusal it is new.
    const Message* known = ledger_.FindSame(request);
    if (known != nullptr && known->end != End::kRefused) continue;
    if (ids.insert(request.id).second) fresh.push_back(std::move(request));
  }
  if (fresh.empty()) {
    reply({});
    return;
  }
  admit_.Take(std::move(fresh), std::move(reply));
}

}  // namespace sagetally
