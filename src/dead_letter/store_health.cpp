#include "dead_letter/store_health.h"

#include <algorithm>

namespace sagetally::dead_letter {
namespace {

constexpr Duration kMaxRetryTime = std::chrono::seconds(5);
constexpr int kMaxDoublings = 6;
// The pause after a database file was replaced. It slows down the growth in the number of damaged files on a
// disk that corrupts every file.
constexpr Duration kRecreationPause = std::chrono::seconds(1);

}  // namespace

void StoreHealth::OnFailure(const JobError& error, std::size_t pending) {
  ++failures_in_a_row_;
  ++context_.counters.store_failures;
  const Time now = context_.clock.Now();
  if (error.file_replaced) {
    ++context_.counters.files_replaced;
    context_.log.Error("dead_letter.store_recreated", {{"why", error.message}});
    failures_in_a_row_ = 0;
    retry_at_ = now + kRecreationPause;
    return;
  }
  const int doublings = std::min(failures_in_a_row_ - 1, kMaxDoublings);
  const Duration backoff = std::min(kMaxRetryTime, kJobRetryTime * (1 << doublings));
  retry_at_ = now + backoff;
  context_.log.Warn("dead_letter.store_failed", {{"why", error.message},
                                                 {"pending", pending},
                                                 {"retry_ms", backoff / std::chrono::milliseconds(1)},
                                                 {"failures", failures_in_a_row_}});
}

}  // namespace sagetally::dead_letter
