// The completed attempts of the last minute: what a successor process replays into its own dispatch policy.
// The pipeline appends to it, the handover encodes it. Used by the event loop's thread only; no I/O.
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
  Time deadline{0};  // of its message
  int destination = 0;
  int message_class = 0;
  int attempts = 0;  // of its message, this one included
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration retry_after{0};  // as the endpoint asked for it; 0: not stated
  LoadReport load_report = {};
};

// A bounded window over the latest completed attempts, oldest first.
class AttemptHistory {
 public:
  // Long enough to show an ejection with its half-open attempts, the slow start after it, and the averages
  // that pacing rests on.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxAttempts = 3000;

  // Appends `attempt`, then drops the oldest ones beyond kRetention before it or beyond kMaxAttempts.
  void Add(CompletedAttempt attempt);
  std::vector<CompletedAttempt> Recent() const { return {recent_.begin(), recent_.end()}; }
  std::size_t size() const { return recent_.size(); }

 private:
  std::deque<CompletedAttempt> recent_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_ATTEMPT_HISTORY_H_
