// Tests of the pause that a rejection asks for (Retry-After) and of the pace of calls under a rate limit.
#include <gtest/gtest.h>

#include <map>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(RetryAfter, AppliesToTheWholeDestination) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e"), MakeEndpointRecord("f")});
  policy.Accept(0s, "a");
  policy.Process(100ms,
                 {policy.Completed("a", Outcome::kRejected, 100ms, 500ms), PolicyDriver::Accepted("b")});
  for (Time t = 100ms; t < 600ms; t += 5ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "") << t.count();
  }
  bool is_sent = false;
  for (Time t = 600ms; t <= 6s && !is_sent; t += 5ms) {  // as the policy asks the host to run it
    policy.Process(t);
    is_sent = !policy.ActionsOf<StartAttempt>().empty();
  }
  EXPECT_TRUE(is_sent);
}

// Guards against calls during a pause. In the simulator, a call whose connection took a second to be made was
// sent 0.22 s after another call had got a Retry-After.
TEST(RetryAfter, CancelsAttemptsThatAreNotSentYet) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s,
                         {MakeEndpointRecord("e"), MakeEndpointRecord("f"), MakeEndpointRecord("g", 0, 2)});
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

TEST(RetryAfter, AppliesToOneEndpointWhereEachHasItsOwnLimit) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 1), MakeEndpointRecord("f", 1)});
  policy.Accept(0s, "a");
  const std::string first = policy.ActionsOf<StartAttempt>()[0].endpoint;
  policy.Complete(100ms, "a", Outcome::kRejected, 100ms, 5s);
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a");
  EXPECT_NE(policy.ActionsOf<StartAttempt>()[0].endpoint, first);
}

// Guards the longest pause where the messages of one call get different Retry-After values.
TEST(RetryAfter, OfEachMessageOfACallIsObserved) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 2)});
  policy.Process(0s, {PolicyDriver::Accepted("a"), PolicyDriver::Accepted("b")});
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a b");
  policy.Process(100ms, {policy.Completed("a", Outcome::kRejected, 100ms, 200ms),
                         policy.Completed("b", Outcome::kRejected, 100ms, 900ms)});
  for (Time t = 100ms; t < 1s; t += 5ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "") << t.count();
  }
}

// Guards against taking a rejection by a full connection table for a rate limit or an outage. With 273
// dispatchers, each such rejection decreased the pace to one call in several seconds and led to an ejection.
TEST(Pace, IsNotDecreasedByOneRejectionOnANewConnection) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 300;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 24)});
  policy.Accept(1s, "first");
  policy.Complete(1050ms, "first", Outcome::kOk, 50ms);
  policy.Accept(3s, "m");
  policy.Complete(3020ms, "m", Outcome::kRejected, 20ms);
  Time retried_at{0};
  for (Time t = 3030ms; t < 9s && retried_at == 0s; t += 10ms) {
    policy.Process(t);
    if (policy.IdsOf<StartAttempt>() == "m") retried_at = t;
  }
  EXPECT_LE(retried_at, 3200ms);
  policy.Complete(retried_at + 50ms, "m", Outcome::kOk, 50ms);
  for (const std::string id : {"n", "o", "p"}) {
    policy.Accept(retried_at + 60ms, id);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), id);
  }
}

// Guards a destination that has recovered and warmed up against a burst of calls.
TEST(Pace, IsDecreasedOnceForABurstOfFailedCalls) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 1)});
  std::vector<Event> accepted;
  std::vector<Event> failed;
  for (int i = 0; i < 4; ++i) accepted.emplace_back(PolicyDriver::Accepted("a" + std::to_string(i)));
  policy.Process(0s, accepted);
  ASSERT_EQ(policy.ActionsOf<StartAttempt>().size(), 4u);  // there is no pace at first
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

// 100 dispatchers share a limit of 5 calls a second. After they were rejected together, they must not return
// together, and the paces of all must not exceed the limit by much.
TEST(Pace, SpreadsTheReturnOfRejectedDispatchers) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 100;
  std::map<Time, int> returned;  // by second
  for (int i = 0; i < 100; ++i) {
    settings.dispatcher_index = i;
    PolicyDriver policy(settings, static_cast<std::uint64_t>(i + 1));
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 5)});
    policy.Accept(0s, "m");
    policy.Complete(10ms, "m", Outcome::kRejected);
    for (Time t = 20ms; t < 15s; t += 10ms) {
      policy.Process(t);
      if (policy.IdsOf<StartAttempt>().empty()) continue;
      returned[std::chrono::duration_cast<std::chrono::seconds>(t)] += 1;
      break;
    }
  }
  for (const auto& [second, count] : returned) EXPECT_LE(count, 30) << second.count();
  EXPECT_GE(returned.size(), 5u);
}

// Guards against taking a rejection by a rate limit for one by a full connection table. With 300 dispatchers,
// a limit that counts rejected calls too stayed used up for 4 to 17 s, because each rejected dispatcher made
// one more call within 0.3 s. A rate limit rejects after the handshake, a full connection table before it.
TEST(Pace, IsDecreasedByARejectionThatComesAsLateAsOneWithRetryAfter) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 300;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 24), MakeEndpointRecord("f", 0, 2, 24),
                              MakeEndpointRecord("g", 0, 3, 24), MakeEndpointRecord("h", 0, 4, 24)});
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

// Dispatchers that a full connection table has rejected together each make one more call soon, but not all at
// the same time.
TEST(Pace, SpreadsTheConfirmingCallsAfterAFullConnectionTable) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 100;
  std::map<Time, int> returned;  // by 50 ms
  for (int i = 0; i < 100; ++i) {
    PolicyDriver policy(settings, static_cast<std::uint64_t>(i + 1));
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 5)});
    policy.Accept(0s, "before");
    policy.Complete(50ms, "before", Outcome::kOk, 50ms);
    policy.Accept(2s, "m");
    policy.Complete(2017ms, "m", Outcome::kRejected, 17ms);
    for (Time t = 2020ms; policy.ActionsOf<StartAttempt>().empty() && t < 3s; t += 10ms) {
      policy.Process(t);
      if (!policy.ActionsOf<StartAttempt>().empty()) returned[t / 50ms * 50ms] += 1;
    }
  }
  int sum = 0;
  for (const auto& [start, count] : returned) {
    EXPECT_LE(count, 30) << start.count();
    sum += count;
  }
  EXPECT_EQ(sum, 100);
}

}  // namespace
}  // namespace sagetally
