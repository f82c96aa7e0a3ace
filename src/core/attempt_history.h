// The history of recently completed attempts, which a successor process replays into its own dispatch policy.
// The pipeline appends to it, and the handover encodes it. Used on the event loop's thread only; no I/O.
#ifndef SAGETALLY_SRC_CORE_ATTEMPT_HISTORY_H_
#define SAGETALLY_SRC_CORE_ATTEMPT_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// A call whose result has arrived.
struct CompletedAttempt {
  Time sent_at{0};
  Time completed_at{0};
  Time deadline{0};  // of the message
  int destination = 0;
  int message_class = 0;
  int attempts = 0;  // made for the message so far, including this one
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration retry_after{0};  // as requested by the endpoint; 0: not stated
  LoadReport load_report = {};
};

// The latest completed attempts, limited by age and number, oldest first.
class AttemptHistory {
 public:
  // Long enough to cover an ejection with its half-open attempts, the slow start after it, and the averages
  // on which pacing is based.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxAttempts = 3000;

  // Appends `attempt`, and drops the oldest attempts as long as there are more than kMaxAttempts or they
  // completed more than kRetention before `attempt`.
  void Add(CompletedAttempt attempt);
  // Returns the attempts, oldest first.
  std::vector<CompletedAttempt> Recent() const { return {recent_.begin(), recent_.end()}; }
  std::size_t size() const { return recent_.size(); }

 private:
  std::deque<CompletedAttempt> recent_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_ATTEMPT_HISTORY_H_
