// Which notifications form a batch, and when, after batches were acknowledged, rejected or not answered.
#include "net/notification_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace sagetally {
namespace {

using namespace std::chrono_literals;
using Kind = NotificationQueue::BatchKind;
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

// Returns the kind of which a batch is due, regular ones first, or nothing if none is due.
std::optional<Kind> DueKind(NotificationQueue& queue, TimePoint now) {
  for (const Kind kind : {Kind::kRegular, Kind::kSuspects}) {
    if (queue.DelayUntilNextBatch(kind, now) == Duration(0)) return kind;
  }
  return std::nullopt;
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
    while (const std::optional<Kind> kind = DueKind(queue, now)) {
      ++posts;
      if (Contains(queue.TakeBatch(*kind, now), rejected)) {
        suspect = queue.FailBatch(*kind, Failure::kRejected, now);
      } else {
        acknowledged += queue.AcknowledgeBatch(*kind).size();
      }
    }
    EXPECT_EQ(acknowledged, kNotices - 1);
    ASSERT_TRUE(suspect);
    EXPECT_EQ(suspect->id, "m" + std::to_string(rejected));
    EXPECT_EQ(suspect->retry_delay, NotificationQueue::kRetryDelay);
    EXPECT_LE(posts, 17) << rejected;  // the whole batch, and two halves of each of 200, 100 ... 2
  }
}

// Guards against a notice that is answered by silence, for which the others would wait.
TEST(NotificationQueue, SuspectInFlightDelaysNoOther) {
  NotificationQueue queue;
  TimePoint now = TimePoint(1h);
  AddNotices(queue, 1);
  queue.TakeBatch(Kind::kRegular, now);
  ASSERT_TRUE(queue.FailBatch(Kind::kRegular, Failure::kRejected, now));
  now += NotificationQueue::kRetryDelay;
  EXPECT_EQ(queue.TakeBatch(Kind::kSuspects, now), std::vector<std::string>{"1"});
  for (std::uint64_t number = 2; number < 20; ++number) {
    queue.Add(number, Notice(number));
    ASSERT_EQ(queue.DelayUntilNextBatch(Kind::kRegular, now), Duration(0));
    EXPECT_EQ(queue.TakeBatch(Kind::kRegular, now), std::vector<std::string>{std::to_string(number)});
    EXPECT_EQ(queue.DelayUntilNextBatch(Kind::kSuspects, now), std::nullopt);
    queue.AcknowledgeBatch(Kind::kRegular);
  }
  EXPECT_EQ(queue.AcknowledgeBatch(Kind::kSuspects), std::vector<std::uint64_t>{1});
  EXPECT_TRUE(queue.empty());
}

TEST(NotificationQueue, DelayOfSuspectDoublesUpToItsMaximum) {
  NotificationQueue queue;
  TimePoint now = TimePoint(1h);
  AddNotices(queue, 1);
  Duration expected = NotificationQueue::kRetryDelay;
  for (int failures = 1; failures <= 2000; ++failures) {
    const Kind kind = failures == 1 ? Kind::kRegular : Kind::kSuspects;
    ASSERT_EQ(queue.TakeBatch(kind, now).size(), 1U);
    const auto suspect = queue.FailBatch(kind, Failure::kRejected, now);
    ASSERT_TRUE(suspect);
    ASSERT_EQ(suspect->retry_delay, expected);
    ASSERT_EQ(queue.DelayUntilNextBatch(Kind::kSuspects, now), expected);
    EXPECT_TRUE(queue.TakeBatch(Kind::kSuspects, now + expected - 1us).empty());
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
    ASSERT_FALSE(queue.TakeBatch(Kind::kRegular, now).empty());
    ASSERT_FALSE(queue.FailBatch(Kind::kRegular, Failure::kUnavailable, now));
    ASSERT_EQ(queue.DelayUntilNextBatch(Kind::kRegular, now), NotificationQueue::kRetryDelay);
    ASSERT_EQ(queue.DelayUntilNextBatch(Kind::kSuspects, now), std::nullopt);
    now += NotificationQueue::kRetryDelay;
  }
  int posts = 0;
  for (; !queue.empty(); ++posts) {
    ASSERT_FALSE(queue.TakeBatch(Kind::kRegular, now).empty());
    queue.AcknowledgeBatch(Kind::kRegular);
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
    for (const Kind kind : {Kind::kRegular, Kind::kSuspects}) {
      const std::vector<std::string> batch = queue.TakeBatch(kind, now);
      if (Contains(batch, 1)) {
        suspect = queue.FailBatch(kind, Failure::kUnavailable, now);
      } else if (!batch.empty()) {
        queue.AcknowledgeBatch(kind);
      }
    }
  }
  ASSERT_TRUE(suspect);
  EXPECT_EQ(suspect->id, "m1");
  ++added;
  queue.Add(added, Notice(added));
  std::vector<std::string> batch;
  while (!Contains(batch, added)) {
    batch = queue.TakeBatch(Kind::kRegular, now);
    ASSERT_FALSE(batch.empty() || Contains(batch, 1));
    queue.AcknowledgeBatch(Kind::kRegular);
  }
}

TEST(NotificationQueue, AnotherReceiverGetsAllNoticesAtOnce) {
  NotificationQueue queue;
  const TimePoint now = TimePoint(1h);
  AddNotices(queue, 1);
  queue.TakeBatch(Kind::kRegular, now);
  queue.FailBatch(Kind::kRegular, Failure::kRejected, now);
  queue.Add(2, Notice(2));
  ASSERT_FALSE(queue.TakeBatch(Kind::kRegular, now + 1s).empty());
  ASSERT_FALSE(queue.TakeBatch(Kind::kSuspects, now + 1s).empty());
  queue.Restart();
  EXPECT_EQ(queue.TakeBatch(Kind::kRegular, now + 1s), (std::vector<std::string>{"1", "2"}));
  EXPECT_TRUE(queue.TakeBatch(Kind::kSuspects, now + 1s).empty());
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
    std::map<Kind, std::vector<std::string>> in_flight;
    const auto never_accepted = static_cast<std::uint64_t>(1 + draw(50));
    for (int step = 0; step < 4000 || (step < 40000 && !queue.empty()); ++step) {
      const bool is_ending = step >= 4000;
      if (!is_ending && draw(4) == 0) {
        ++added;
        queue.Add(added, Notice(added));
      }
      if (!is_ending && draw(1000) == 0) {
        queue.Restart();
        in_flight.clear();
      }
      const Kind kind = draw(2) == 0 ? Kind::kRegular : Kind::kSuspects;
      const auto found = in_flight.find(kind);
      if (found == in_flight.end()) {
        now += queue.DelayUntilNextBatch(kind, now).value_or(Duration(0));
        std::vector<std::string> batch = queue.TakeBatch(kind, now);
        if (!batch.empty()) in_flight[kind] = std::move(batch);
        continue;
      }
      const std::vector<std::string> batch = std::move(found->second);
      in_flight.erase(found);
      if (!is_ending && Contains(batch, never_accepted)) {
        queue.FailBatch(kind, draw(2) == 0 ? Failure::kRejected : Failure::kUnavailable, now);
      } else if (!is_ending && draw(4) == 0) {
        queue.FailBatch(kind, Failure::kUnavailable, now);
      } else {
        for (const std::uint64_t number : queue.AcknowledgeBatch(kind)) {
          ASSERT_TRUE(acknowledged.insert(number).second) << "seed " << seed;
        }
      }
    }
    ASSERT_EQ(acknowledged.size(), added) << "seed " << seed;
  }
}

}  // namespace
}  // namespace sagetally
