#include "net/notification_queue.h"

#include <algorithm>
#include <utility>

namespace sagetally {
namespace {

// The delay after a number of failures, from 1 on.
Duration SuspectDelay(int failures) {
  Duration delay = NotificationQueue::kRetryDelay;
  for (int i = 1; i < failures && delay < NotificationQueue::kMaxSuspectDelay; ++i) delay *= 2;
  return std::min(delay, NotificationQueue::kMaxSuspectDelay);
}

}  // namespace

void NotificationQueue::Add(std::uint64_t number, Notification notification) {
  const auto [found, is_new] = entries_.try_emplace(number);
  found->second.notification = std::move(notification);
  if (is_new) regular_.push_back(number);
}

void NotificationQueue::Clear() {
  entries_.clear();
  Restart();
}

void NotificationQueue::Restart() {
  regular_.clear();
  regular_in_flight_.clear();
  suspects_.clear();
  suspects_in_flight_.reset();
  for (auto& [number, entry] : entries_) {
    entry.acknowledged_at_failure.reset();
    regular_.push_back(number);
  }
  batch_limit_ = kMaxBatchNotifications;
  regular_resumes_at_ = suspects_resume_at_ = TimePoint();
  has_failed_alone_ = false;
}

std::optional<Duration> NotificationQueue::DelayUntilNextBatch(BatchKind kind, TimePoint now) {
  TimePoint next;
  if (kind == BatchKind::kRegular) {
    if (regular_.empty() || !regular_in_flight_.empty()) return std::nullopt;
    next = regular_resumes_at_;
  } else {
    if (suspects_.empty() || suspects_in_flight_) return std::nullopt;
    next = std::max(FirstGroup()->due, suspects_resume_at_);
  }
  return std::max(Duration(0), std::chrono::ceil<Duration>(next - now));
}

std::vector<std::string> NotificationQueue::TakeBatch(BatchKind kind, TimePoint now) {
  if (DelayUntilNextBatch(kind, now) != Duration(0)) return {};
  std::vector<std::string> texts;
  for (const std::uint64_t number : kind == BatchKind::kRegular ? TakeRegular() : TakeSuspects()) {
    texts.push_back(entries_.at(number).notification.text);
  }
  return texts;
}

std::vector<std::uint64_t> NotificationQueue::TakeRegular() {
  const std::size_t size = std::min(batch_limit_, regular_.size());
  const auto end = regular_.begin() + static_cast<std::ptrdiff_t>(size);
  regular_in_flight_.assign(regular_.begin(), end);
  regular_.erase(regular_.begin(), end);
  std::ranges::sort(regular_in_flight_);
  return regular_in_flight_;
}

std::vector<std::uint64_t> NotificationQueue::TakeSuspects() {
  const auto group = FirstGroup();
  suspects_in_flight_ = std::move(*group);
  suspects_.erase(group);
  return suspects_in_flight_->numbers;
}

std::vector<NotificationQueue::Group>::iterator NotificationQueue::FirstGroup() {
  return std::ranges::min_element(suspects_, {}, &Group::due);
}

std::vector<std::uint64_t> NotificationQueue::AcknowledgeBatch(BatchKind kind) {
  ++acknowledged_batches_;
  has_failed_alone_ = false;
  std::vector<std::uint64_t> numbers;
  if (kind == BatchKind::kRegular) {
    batch_limit_ = std::min(2 * batch_limit_, kMaxBatchNotifications);
    numbers = std::exchange(regular_in_flight_, {});
  } else {
    numbers = std::exchange(suspects_in_flight_, std::nullopt).value().numbers;
  }
  for (const std::uint64_t number : numbers) entries_.erase(number);
  return numbers;
}

std::optional<NotificationQueue::Suspect> NotificationQueue::FailBatch(BatchKind kind, Failure failure,
                                                                       TimePoint now) {
  if (kind == BatchKind::kSuspects) {
    return FailGroup(std::exchange(suspects_in_flight_, std::nullopt).value(), failure, now);
  }
  std::vector<std::uint64_t> batch = std::exchange(regular_in_flight_, {});
  if (failure == Failure::kRejected) return FailGroup(Group{.numbers = std::move(batch)}, failure, now);
  FailUnavailable(batch, now);
  return std::nullopt;
}

// Smaller batches follow, of other notifications first, which shows whether the receiver acknowledges these.
void NotificationQueue::FailUnavailable(const std::vector<std::uint64_t>& batch, TimePoint now) {
  regular_resumes_at_ = now + kRetryDelay;
  if (batch.size() > 1) batch_limit_ = batch.size() / 2;
  Group suspects{.due = now + kRetryDelay, .acknowledged_at_failure = acknowledged_batches_};
  for (const std::uint64_t number : batch) {
    const auto previous = std::exchange(entries_.at(number).acknowledged_at_failure, acknowledged_batches_);
    const bool is_suspect = previous && *previous < acknowledged_batches_;
    if (is_suspect) {
      suspects.numbers.push_back(number);
    } else {
      regular_.push_back(number);
    }
  }
  if (!suspects.numbers.empty()) suspects_.push_back(std::move(suspects));
}

std::optional<NotificationQueue::Suspect> NotificationQueue::FailGroup(Group group, Failure failure,
                                                                       TimePoint now) {
  suspects_resume_at_ = now + kRetryDelay;
  const bool is_at_fault =
      failure == Failure::kRejected || group.acknowledged_at_failure < acknowledged_batches_;
  group.acknowledged_at_failure = acknowledged_batches_;
  if (is_at_fault && group.numbers.size() == 1) return DelaySuspect(std::move(group), now);
  if (is_at_fault) {
    Divide(group, now);
  } else {
    group.due = now + kRetryDelay;
    suspects_.push_back(std::move(group));
  }
  return std::nullopt;
}

// The receiver is there, so the halves are posted at once.
void NotificationQueue::Divide(const Group& group, TimePoint now) {
  const auto middle = group.numbers.begin() + static_cast<std::ptrdiff_t>(group.numbers.size() / 2);
  Group first{.due = now, .acknowledged_at_failure = group.acknowledged_at_failure};
  Group second = first;
  first.numbers.assign(group.numbers.begin(), middle);
  second.numbers.assign(middle, group.numbers.end());
  suspects_.push_back(std::move(first));
  suspects_.push_back(std::move(second));
  suspects_resume_at_ = now;
}

// Further suspects need not wait, unless the receiver has acknowledged nothing since the last such failure.
std::optional<NotificationQueue::Suspect> NotificationQueue::DelaySuspect(Group group, TimePoint now) {
  if (!std::exchange(has_failed_alone_, true)) suspects_resume_at_ = now;
  ++group.failures_alone;
  const Duration delay = SuspectDelay(group.failures_alone);
  group.due = now + delay;
  const Suspect suspect{entries_.at(group.numbers.front()).notification.id, group.failures_alone, delay};
  suspects_.push_back(std::move(group));
  return suspect;
}

}  // namespace sagetally
