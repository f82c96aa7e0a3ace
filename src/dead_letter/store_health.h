// Tracks whether the store works: counts consecutive failed jobs and backs off after each. Part of the
// dead-letter manager; used on the event loop only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORE_HEALTH_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORE_HEALTH_H_

#include "dead_letter/manager_context.h"

namespace sagetally::dead_letter {

// How long the manager waits when the job queue is full, and after the first failure of the store.
inline constexpr Duration kJobRetryTime = std::chrono::milliseconds(100);

class StoreHealth {
 public:
  explicit StoreHealth(ManagerContext& context) : context_(context) {}

  // Called when a job failed. `pending`, the number of messages that wait for the store, is only logged.
  void OnFailure(const JobError& error, std::size_t pending);
  void OnSuccess() { failures_in_a_row_ = 0; }
  // Delays the next job by kJobRetryTime, because the job queue is full.
  void Defer() { retry_at_ = context_.clock.Now() + kJobRetryTime; }

  bool is_failing() const { return failures_in_a_row_ > 0; }
  // The store must not be used before this time.
  Time retry_at() const { return retry_at_; }

 private:
  ManagerContext& context_;
  int failures_in_a_row_ = 0;
  Time retry_at_{0};
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORE_HEALTH_H_
