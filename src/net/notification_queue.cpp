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
  if (is_new) unsuspected_.push_back(number);
}

void NotificationQueue::Clear() {
  entries_.clear();
  Restart();
}

void NotificationQueue::Restart() {
  unsuspected_.clear();
  groups_.clear();
  in_flight_.clear();
  group_in_flight_.reset();
  for (auto& [number, entry] : entries_) {
    entry.acknowledged_at_failure.reset();
    unsuspected_.push_back(number);
  }
  batch_limit_ = kMaxBatchNotifications;
  has_failed_alone_ = false;
  resume_at_ = TimePoint();
}

std::optional<Duration> NotificationQueue::DelayUntilNextBatch(TimePoint now) {
  if (has_batch_in_flight() || (unsuspected_.empty() && groups_.empty())) return std::nullopt;
  const TimePoint due = unsuspected_.empty() ? FirstGroup()->due : TimePoint();
  return std::max(Duration(0), std::chrono::ceil<Duration>(std::max(due, resume_at_) - now));
}

std::vector<std::string> NotificationQueue::TakeBatch(TimePoint now) {
  if (now < resume_at_) return {};
  was_group_posted_ = IsGroupNext(now);
  if (was_group_posted_) {
    const auto group = FirstGroup();
    group_in_flight_ = std::move(*group);
    groups_.erase(group);
    in_flight_ = group_in_flight_->numbers;
  } else {
    TakeUnsuspected();
  }
  std::vector<std::string> texts;
  for (const std::uint64_t number : in_flight_) texts.push_back(entries_.at(number).notification.text);
  return texts;
}

std::vector<NotificationQueue::Group>::iterator NotificationQueue::FirstGroup() {
  return std::ranges::min_element(groups_, {}, &Group::due);
}

// Suspects and the others take turns, so that neither wait for long while many of the other kind arrive.
bool NotificationQueue::IsGroupNext(TimePoint now) {
  const auto group = FirstGroup();
  const bool is_group_due = group != groups_.end() && group->due <= now;
  return is_group_due && (unsuspected_.empty() || !was_group_posted_);
}

void NotificationQueue::TakeUnsuspected() {
  const auto end =
      unsuspected_.begin() + static_cast<std::ptrdiff_t>(std::min(batch_limit_, unsuspected_.size()));
  in_flight_.assign(unsuspected_.begin(), end);
  unsuspected_.erase(unsuspected_.begin(), end);
  std::ranges::sort(in_flight_);
}

std::vector<std::uint64_t> NotificationQueue::AcknowledgeBatch() {
  ++acknowledged_batches_;
  has_failed_alone_ = false;
  batch_limit_ = std::min(2 * batch_limit_, kMaxBatchNotifications);
  group_in_flight_.reset();
  for (const std::uint64_t number : in_flight_) entries_.erase(number);
  return std::exchange(in_flight_, {});
}

std::optional<NotificationQueue::Suspect> NotificationQueue::FailBatch(Failure failure, TimePoint now) {
  resume_at_ = now + kRetryDelay;
  if (!group_in_flight_ && failure == Failure::kUnavailable) {
    FailUnsuspected(now);
    return std::nullopt;
  }
  Group group = std::exchange(group_in_flight_, std::nullopt).value_or(Group{.numbers = in_flight_});
  in_flight_.clear();
  return FailGroup(std::move(group), failure, now);
}

// Smaller batches follow, of other notifications first, which shows whether the receiver acknowledges these.
void NotificationQueue::FailUnsuspected(TimePoint now) {
  Group suspects{.due = now + kRetryDelay, .acknowledged_at_failure = acknowledged_batches_};
  if (in_flight_.size() > 1) batch_limit_ = in_flight_.size() / 2;
  for (const std::uint64_t number : std::exchange(in_flight_, {})) {
    const auto previous = std::exchange(entries_.at(number).acknowledged_at_failure, acknowledged_batches_);
    if (previous && *previous < acknowledged_batches_) {
      suspects.numbers.push_back(number);
    } else {
      unsuspected_.push_back(number);
    }
  }
  if (!suspects.numbers.empty()) groups_.push_back(std::move(suspects));
}

std::optional<NotificationQueue::Suspect> NotificationQueue::FailGroup(Group group, Failure failure,
                                                                       TimePoint now) {
  const bool is_at_fault =
      failure == Failure::kRejected || group.acknowledged_at_failure < acknowledged_batches_;
  group.acknowledged_at_failure = acknowledged_batches_;
  if (is_at_fault && group.numbers.size() == 1) return DelaySuspect(std::move(group), now);
  if (is_at_fault) {
    Divide(group, now);
  } else {
    group.due = now + kRetryDelay;
    groups_.push_back(std::move(group));
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
  groups_.push_back(std::move(first));
  groups_.push_back(std::move(second));
  resume_at_ = now;
}

// The others need not wait, unless the receiver has not acknowledged any of them since the last such failure.
std::optional<NotificationQueue::Suspect> NotificationQueue::DelaySuspect(Group group, TimePoint now) {
  if (!std::exchange(has_failed_alone_, true)) resume_at_ = now;
  ++group.failures_alone;
  const Duration delay = SuspectDelay(group.failures_alone);
  group.due = now + delay;
  const Suspect suspect{entries_.at(group.numbers.front()).notification.id, group.failures_alone, delay};
  groups_.push_back(std::move(group));
  return suspect;
}

}  // namespace sagetally
