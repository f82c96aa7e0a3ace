#include "dead_letter/resubmission_tracker.h"

#include <algorithm>
#include <memory>

namespace sagetally::dead_letter {

void ResubmissionTracker::Add(std::uint64_t identity, std::uint64_t number) {
  redrivable_.erase(identity);
  unrecorded_.push_back({identity, number});
}

bool ResubmissionTracker::HasLaterThan(std::uint64_t number,
                                       const std::optional<std::uint64_t>& identity) const {
  return std::any_of(unrecorded_.begin(), unrecorded_.end(), [&](const Resubmission& resubmission) {
    return resubmission.identity == identity && resubmission.number > number;
  });
}

void ResubmissionTracker::StartRecording() {
  if (is_recording_ || unrecorded_.empty()) return;
  const auto batch = std::make_shared<const std::vector<Resubmission>>(unrecorded_);
  const auto marked = std::make_shared<int>(0);
  is_recording_ = context_.jobs.Run(
      [batch, marked](Database& database) {
        for (const Resubmission& resubmission : *batch) {
          *marked += database.MarkResubmitted(resubmission.identity, resubmission.number);
        }
      },
      [this, batch, marked](const JobError* error) {
        is_recording_ = false;
        if (error != nullptr) {
          context_.on_store_error(*error);
        } else {
          OnRecorded(batch->size(), *marked);
        }
        context_.run_due_work();
      });
}

void ResubmissionTracker::OnRecorded(std::size_t recorded, int marked) {
  unrecorded_.erase(unrecorded_.begin(), unrecorded_.begin() + static_cast<std::ptrdiff_t>(recorded));
  context_.counters.resubmitted += marked;
  if (marked > 0) context_.log.Info("dead_letter.resubmitted", {{"messages", marked}});
}

}  // namespace sagetally::dead_letter
