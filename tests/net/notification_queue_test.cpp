// Which notifications form a batch, and when, after batches were acknowledged, rejected or not answered.
#include "net/notification_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace sagetally {
namespace {

using namespace std::chrono_literals;
using Failure = NotificationQueue::Failure;
using TimePoint = NotificationQueue::TimePoint;

NotificationQueue::Notification Notice(std::uint64_t number) {
  return {"m" + std::to_string(number), std::to_string(number)};
}

// Adds the notifications with the message numbers 1 to `count`.
void AddNotices(NotificationQueue& queue, std::uint64_t count) {
  for (std::uint64_t number = 1; number <= count; ++number) queue.Add(number, Notice(number));
}

bool Contains(const std::vector<std::string>& batch, std::uint64_t number) {
  return std::ranges::find(batch, std::to_string(number)) != batch.end();
}

// Guards against review/1: a rejected notice must be found among its batch without waiting.
TEST(NotificationQueue, RejectedBatchIsDividedAtOnce) {
  constexpr std::uint64_t kNotices = NotificationQueue::kMaxBatchNotifications;
  for (const std::uint64_t rejected : {std::uint64_t{1}, std::uint64_t{77}, kNotices}) {
    NotificationQueue queue;
    const TimePoint now = TimePoint(1h);
    AddNotices(queue, kNotices);
    std::size_t acknowledged = 0;
    std::optional<NotificationQueue::Suspect> suspect;
    int posts = 0;
    while (queue.DelayUntilNextBatch(now) == Duration(0)) {
      ++posts;
      if (Contains(queue.TakeBatch(now), rejected)) {
        suspect = queue.FailBatch(Failure::kRejected, now);
      } else {
        acknowledged += queue.AcknowledgeBatch().size();
      }
    }
    EXPECT_EQ(acknowledged, kNotices - 1);
    ASSERT_TRUE(suspect);
    EXPECT_EQ(suspect->id, "m" + std::to_string(rejected));
    EXPECT_EQ(suspect->retry_delay, NotificationQueue::kRetryDelay);
    EXPECT_LE(posts, 60) << rejected;
  }
}

TEST(NotificationQueue, SuspectIsPostedAloneAndInTurnWithOthers) {
  NotificationQueue queue;
  TimePoint now = TimePoint(1h);
  AddNotices(queue, 1);
  queue.TakeBatch(now);
  ASSERT_TRUE(queue.FailBatch(Failure::kRejected, now));
  queue.Add(100, Notice(100));
  now += NotificationQueue::kRetryDelay / 2;
  queue.TakeBatch(now);
  queue.AcknowledgeBatch();
  for (std::uint64_t number = 2; number < 20; number += 2) {
    queue.Add(number, Notice(number));
    queue.Add(number + 1, Notice(number + 1));
    now += NotificationQueue::kMaxSuspectDelay;  // the suspect is due, too
    EXPECT_EQ(queue.TakeBatch(now), std::vector<std::string>{"1"});
    queue.FailBatch(Failure::kRejected, now);
    ASSERT_EQ(queue.DelayUntilNextBatch(now), Duration(0));
    const std::vector<std::string> others = {std::to_string(number), std::to_string(number + 1)};
    EXPECT_EQ(queue.TakeBatch(now), others);
    queue.AcknowledgeBatch();
  }
}

TEST(NotificationQueue, DelayOfSuspectDoublesUpToItsMaximum) {
  NotificationQueue queue;
  TimePoint now = TimePoint(1h);
  AddNotices(queue, 1);
  Duration expected = NotificationQueue::kRetryDelay;
  for (int failures = 1; failures <= 2000; ++failures) {
    ASSERT_EQ(queue.TakeBatch(now).size(), 1U);
    const auto suspect = queue.FailBatch(Failure::kRejected, now);
    ASSERT_TRUE(suspect);
    ASSERT_EQ(suspect->retry_delay, expected);
    ASSERT_EQ(queue.DelayUntilNextBatch(now), expected);
    EXPECT_TRUE(queue.TakeBatch(now + expected - 1us).empty());
    now += expected;
    expected = std::min(2 * expected, NotificationQueue::kMaxSuspectDelay);
  }
}

// Guards against notices that become late because the receiver was away: an outage is no notice's fault.
TEST(NotificationQueue, OutageMakesNoSuspects) {
  NotificationQueue queue;
  TimePoint now = TimePoint(1h);
  AddNotices(queue, 450);
  for (int i = 0; i < 1000; ++i) {
    ASSERT_FALSE(queue.TakeBatch(now).empty());
    ASSERT_FALSE(queue.FailBatch(Failure::kUnavailable, now));
    ASSERT_EQ(queue.DelayUntilNextBatch(now), NotificationQueue::kRetryDelay);
    now += NotificationQueue::kRetryDelay;
  }
  int posts = 0;
  for (; !queue.empty(); ++posts) {
    ASSERT_FALSE(queue.TakeBatch(now).empty());
    queue.AcknowledgeBatch();
  }
  EXPECT_LE(posts, 12);  // batches of 1, 2, 4 ... 128, 195
}

// Guards against review/1 where the receiver closes the connection on a notice that it can't read.
TEST(NotificationQueue, NoticeThatFailsWhileOthersAreAcknowledgedBecomesSuspect) {
  constexpr int kMaxPosts = 20;
  NotificationQueue queue;
  TimePoint now = TimePoint(1h);
  std::uint64_t added = 0;
  std::optional<NotificationQueue::Suspect> suspect;
  for (int posts = 0; posts < kMaxPosts && !suspect; ++posts) {
    ++added;
    queue.Add(added, Notice(added));
    now += NotificationQueue::kRetryDelay;
    if (Contains(queue.TakeBatch(now), 1)) {
      suspect = queue.FailBatch(Failure::kUnavailable, now);
    } else {
      queue.AcknowledgeBatch();
    }
  }
  ASSERT_TRUE(suspect);
  EXPECT_EQ(suspect->id, "m1");
  ++added;
  queue.Add(added, Notice(added));
  std::vector<std::string> batch;
  while (!Contains(batch, added)) {
    batch = queue.TakeBatch(now);
    ASSERT_FALSE(batch.empty() || Contains(batch, 1));
    queue.AcknowledgeBatch();
  }
}

TEST(NotificationQueue, AnotherReceiverGetsAllNoticesAtOnce) {
  NotificationQueue queue;
  const TimePoint now = TimePoint(1h);
  AddNotices(queue, 1);
  queue.TakeBatch(now);
  queue.FailBatch(Failure::kRejected, now);
  queue.Add(2, Notice(2));
  queue.TakeBatch(now + 1s);
  ASSERT_TRUE(queue.has_batch_in_flight());
  queue.Restart();
  EXPECT_EQ(queue.TakeBatch(now + 1s), (std::vector<std::string>{"1", "2"}));
}

// Guards against lost or repeated notices under any order of additions, responses and new receivers.
TEST(NotificationQueue, EveryNoticeIsAcknowledgedExactlyOnce) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
    NotificationQueue queue;
    TimePoint now = TimePoint(1h);
    std::uint64_t added = 0;
    std::set<std::uint64_t> acknowledged;
    const int never_accepted = 1 + draw(50);
    for (int step = 0; step < 2000 || (step < 20000 && !queue.empty()); ++step) {
      const bool is_ending = step >= 2000;
      if (!is_ending && draw(2) == 0) {
        ++added;
        queue.Add(added, Notice(added));
      }
      if (!is_ending && draw(500) == 0) queue.Restart();
      const std::optional<Duration> delay = queue.DelayUntilNextBatch(now);
      if (delay) now += *delay;
      const std::vector<std::string> batch = queue.TakeBatch(now);
      if (batch.empty()) continue;
      if (!is_ending && Contains(batch, static_cast<std::uint64_t>(never_accepted))) {
        queue.FailBatch(draw(2) == 0 ? Failure::kRejected : Failure::kUnavailable, now);
      } else if (!is_ending && draw(4) == 0) {
        queue.FailBatch(Failure::kUnavailable, now);
      } else {
        for (const std::uint64_t number : queue.AcknowledgeBatch()) {
          ASSERT_TRUE(acknowledged.insert(number).second) << "seed " << seed;
        }
      }
    }
    ASSERT_EQ(acknowledged.size(), added) << "seed " << seed;
  }
}

}  // namespace
}  // namespace sagetally
