// Retry-After, and the pace of calls under a rate limit.
#include <gtest/gtest.h>

#include <map>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(RetryAfter, HoldsForTheWholeDestination) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e"), EndpointAt("f")});
  policy.Accept(0s, "a");
  policy.Process(100ms,
                 {policy.Completed("a", Outcome::kRejected, 100ms, 500ms), PolicyDriver::Accepted("b")});
  for (Time t = 100ms; t < 600ms; t += 5ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "") << t.count();
  }
  bool is_sent = false;
  for (Time t = 600ms; t <= 6s && !is_sent; t += 5ms) {  // the host runs it when it asks to be
    policy.Process(t);
    is_sent = !policy.ActionsOf<StartAttempt>().empty();
  }
  EXPECT_TRUE(is_sent);
}

// Seen in the simulator: a call whose connection took a second to come up was written 0.22 s after another
// call had been given a Retry-After.
TEST(RetryAfter, CancelsAttemptsThatHaveNotLeft) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e"), EndpointAt("f"), EndpointAt("g", 0, 2)});
  policy.Process(0s, {PolicyDriver::Accepted("a"), PolicyDriver::Accepted("b"), PolicyDriver::Accepted("c"),
                      PolicyDriver::Accepted("other", kIdempotentClass, 20s, "", 2)});
  policy.Complete(100ms, "a", Outcome::kRejected, 100ms);
  EXPECT_EQ(policy.IdsOf<CancelIfUnsent>(), "");  // no Retry-After
  policy.Complete(200ms, "b", Outcome::kRejected, 100ms, 500ms);
  EXPECT_EQ(policy.IdsOf<CancelIfUnsent>(), "c");
  policy.Complete(200ms, "c", Outcome::kNotSent);
  for (Time t = 200ms; t < 700ms; t += 10ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "") << t.count();
  }
}

TEST(RetryAfter, HoldsForOneEndpointWhereEachHasItsOwnLimit) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e", 1), EndpointAt("f", 1)});
  policy.Accept(0s, "a");
  const std::string first = policy.ActionsOf<StartAttempt>()[0].endpoint;
  policy.Complete(100ms, "a", Outcome::kRejected, 100ms, 5s);
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a");
  EXPECT_NE(policy.ActionsOf<StartAttempt>()[0].endpoint, first);
}

// Seen in a simulated day: the messages of one call were given different Retry-After values.
TEST(RetryAfter, OfEveryMessageOfACallIsObserved) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e", 2)});
  policy.Process(0s, {PolicyDriver::Accepted("a"), PolicyDriver::Accepted("b")});
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a b");
  policy.Process(100ms, {policy.Completed("a", Outcome::kRejected, 100ms, 200ms),
                         policy.Completed("b", Outcome::kRejected, 100ms, 900ms)});
  for (Time t = 100ms; t < 1s; t += 5ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "") << t.count();
  }
}

// Seen with 273 dispatchers: each rejection by a full connection table cut the pace to one call in seconds
// and led to an ejection.
TEST(Pace, IsNotDecreasedByOneRejectionOnANewConnection) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 300;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 24)});
  policy.Accept(1s, "first");
  policy.Complete(1050ms, "first", Outcome::kOk, 50ms);
  policy.Accept(3s, "m");
  policy.Complete(3020ms, "m", Outcome::kRejected, 20ms);
  Time again{0};
  for (Time t = 3030ms; t < 9s && again == 0s; t += 10ms) {
    policy.Process(t);
    if (policy.IdsOf<StartAttempt>() == "m") again = t;
  }
  EXPECT_LE(again, 3200ms);
  policy.Complete(again + 50ms, "m", Outcome::kOk, 50ms);
  for (const std::string id : {"n", "o", "p"}) {
    policy.Accept(again + 60ms, id);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), id);
  }
}

// So that a destination that is back and warm is not met with a burst.
TEST(Pace, IsDecreasedWhereMostCallsFailAndForOneBurstOnce) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 1)});
  std::vector<Event> accepted;
  std::vector<Event> failed;
  for (int i = 0; i < 4; ++i) accepted.emplace_back(PolicyDriver::Accepted("a" + std::to_string(i)));
  policy.Process(0s, accepted);
  ASSERT_EQ(policy.ActionsOf<StartAttempt>().size(), 4u);  // unlimited at first
  for (int i = 0; i < 4; ++i) {
    failed.emplace_back(policy.Completed("a" + std::to_string(i), Outcome::kConnectFailed));
  }
  failed.emplace_back(PolicyDriver::Accepted("b"));
  policy.Process(100ms, failed);
  Time first{0};
  for (Time t = 100ms; t < 20s && first == 0s; t += 10ms) {
    policy.Process(t);
    if (!policy.ActionsOf<StartAttempt>().empty()) first = t;
  }
  EXPECT_GT(first, 500ms);
}

// A limit of 5 calls a second shared by 100 dispatchers: rejected together, they must not return together,
// and the paces of all must not pass it by much.
TEST(Pace, SpreadsTheReturnOfRejectedDispatchers) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 100;
  std::map<Time, int> back;  // by second
  for (int i = 0; i < 100; ++i) {
    settings.dispatcher_index = i;
    PolicyDriver policy(settings, static_cast<std::uint64_t>(i + 1));
    policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 5)});
    policy.Accept(0s, "m");
    policy.Complete(10ms, "m", Outcome::kRejected);
    for (Time t = 20ms; t < 15s; t += 10ms) {
      policy.Process(t);
      if (policy.IdsOf<StartAttempt>().empty()) continue;
      back[std::chrono::duration_cast<std::chrono::seconds>(t)] += 1;
      break;
    }
  }
  for (const auto& [second, count] : back) EXPECT_LE(count, 30) << second.count();
  EXPECT_GE(back.size(), 5u);
}

// Seen with 300 dispatchers: a limit that counts rejected calls too stayed used up for 4 to 17 s, as each
// dispatcher that it had rejected asked once more within 0.3 s. It rejects after the handshake, a full
// connection table before it.
TEST(Pace, IsDecreasedByARejectionThatComesAsLateAsOneWithRetryAfter) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 300;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 24), EndpointAt("f", 0, 2, 24), EndpointAt("g", 0, 3, 24),
                              EndpointAt("h", 0, 4, 24)});
  policy.Process(1s, {PolicyDriver::Accepted("waits0"), PolicyDriver::Accepted("waits1"),
                      PolicyDriver::Accepted("g", kIdempotentClass, 20s, "", 3),
                      PolicyDriver::Accepted("h", kIdempotentClass, 20s, "", 4)});
  policy.Complete(1050ms, "waits0", Outcome::kRejected, 50ms, 500ms);
  policy.Complete(1050ms, "waits1", Outcome::kRejected, 50ms, 500ms);
  policy.Complete(1050ms, "g", Outcome::kRejected, 50ms);
  policy.Complete(1050ms, "h", Outcome::kRejected, 50ms);
  policy.Accept(2s, "m", kIdempotentClass, 20s, "", 2);
  policy.Complete(2050ms, "m", Outcome::kRejected, 50ms);  // without Retry-After
  for (Time t = 2060ms; t < 2400ms; t += 10ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>().find('m'), std::string::npos) << t.count();
  }
}

// Rejected together by a full connection table, they confirm it within a moment, but not in the same one.
TEST(Pace, SpreadsTheConfirmingCallsAfterAFullConnectionTable) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 100;
  std::map<Time, int> back;  // by 50 ms
  for (int i = 0; i < 100; ++i) {
    PolicyDriver policy(settings, static_cast<std::uint64_t>(i + 1));
    policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 5)});
    policy.Accept(0s, "before");
    policy.Complete(50ms, "before", Outcome::kOk, 50ms);
    policy.Accept(2s, "m");
    policy.Complete(2017ms, "m", Outcome::kRejected, 17ms);
    for (Time t = 2020ms; policy.ActionsOf<StartAttempt>().empty() && t < 3s; t += 10ms) {
      policy.Process(t);
      if (!policy.ActionsOf<StartAttempt>().empty()) back[t / 50ms * 50ms] += 1;
    }
  }
  int sum = 0;
  for (const auto& [from, count] : back) {
    EXPECT_LE(count, 30) << from.count();
    sum += count;
  }
  EXPECT_EQ(sum, 100);
}

}  // namespace
}  // namespace sagetally
