#include "core/attempt_history.h"

#include <utility>

namespace sagetally {

void AttemptHistory::Add(CompletedAttempt attempt) {
  while (!recent_.empty() && (recent_.size() >= kMaxAttempts ||
                              recent_.front().completed_at + kRetention < attempt.completed_at)) {
    recent_.pop_front();
  }
  recent_.push_back(std::move(attempt));
}

}  // namespace sagetally
