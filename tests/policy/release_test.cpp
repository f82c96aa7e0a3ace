// Tests of when a message is sent, to which endpoint and with which timeout.
#include <gtest/gtest.h>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(Release, RespectsTheLimitOfConcurrentCalls) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 2;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(
      0s, {MakeEndpointRecord("e", 0, 1), MakeEndpointRecord("f", 0, 2), MakeEndpointRecord("g", 0, 3)});
  policy.Process(0s, {PolicyDriver::Accepted("a", 0, 20s, "", 1), PolicyDriver::Accepted("b", 0, 20s, "", 2),
                      PolicyDriver::Accepted("c", 0, 20s, "", 3)});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a b");
  policy.Complete(100ms, "a", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "c");
}

TEST(Release, SendsABatchAsOneCallInOneRun) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 2)});
  policy.Process(0s, {PolicyDriver::Accepted("a"), PolicyDriver::Accepted("b"), PolicyDriver::Accepted("c"),
                      PolicyDriver::Accepted("d"), PolicyDriver::Accepted("f")});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a b c d");
}

TEST(Release, SendsTheLowestPriorityValueFirstByTheAgeOfTheMessages) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1), MakeEndpointRecord("f", 0, 2)});
  policy.Accept(0s, "busy");
  policy.Accept(1s, "young", kIdempotentClass, 20s, "", 1);
  policy.Accept(1s, "old", kIdempotentClass, 19500ms, "", 2);  // is half a second old already
  policy.Complete(1100ms, "busy", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "old");
}

// Guards against calls that are never answered. Where that was one call in forty, each used up one of ten
// concurrent calls for up to 6 s.
TEST(Release, UsesShorterTimeoutsAtTheCallLimit) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 2;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
  CompleteThreeCalls(policy, 0s);
  policy.Accept(1s, "a");
  const Duration usual_timeout = policy.ActionsOf<StartAttempt>().at(0).timeout;
  policy.Accept(1s, "b");
  policy.Accept(1s, "c");  // waits, as the call limit is reached
  policy.Complete(1050ms, "a", Outcome::kOk);
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "c");
  EXPECT_LT(policy.ActionsOf<StartAttempt>().at(0).timeout, usual_timeout / 2);
}

// Connections that have fallen silent differ from a slow destination in that calls sent later to the same
// endpoint are answered.
TEST(Release, CancelsAndRetriesWhatLaterCallsHaveOvertaken) {
  struct Case {
    int message_class;
    bool may_cancel;
    int max_calls;
    int later_answers;  // answered calls that were sent later
    Time cancelled_at;  // 0: the call is not cancelled
  };
  const Case table[] = {
      {kIdempotentClass, true, 2, 2, 1200ms},
      {kWithKeyClass, true, 2, 2, 1200ms},
      {kNotIdempotentClass, true, 3, 3, 0ms},
      {kNotIdempotentClass, true, 4, 4, 1400ms},  // cancelling ends it
      {kNotIdempotentClass, true, 9, 4, 0ms},
      {kIdempotentClass, true, 2, 1, 0ms},
      {kIdempotentClass, true, 9, 2, 0ms},  // not at the call limit
      {kIdempotentClass, false, 2, 2, 0ms},
  };
  for (const Case& c : table) {
    Settings settings = SmallSettings();
    settings.cancellation_allowed = c.may_cancel;
    settings.max_concurrent_calls = c.max_calls;
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
    CompleteThreeCalls(policy, 0s);
    policy.Accept(1s, "silent", c.message_class);
    for (int i = 0; i < c.later_answers; ++i) policy.Accept(1010ms, "later" + std::to_string(i));
    for (int i = 0; i < c.later_answers; ++i) {
      policy.Complete(1050ms + i * 50ms, "later" + std::to_string(i), Outcome::kOk);
      EXPECT_EQ(policy.IdsOf<CancelAttempt>(), "");  // not yet, because the call may only be slow
    }
    Time cancelled_at = 0ms;
    for (Time now = 1150ms; now < 1500ms; now += 50ms) {
      policy.Process(now);
      if (policy.IdsOf<CancelAttempt>() == "silent") cancelled_at = now;
    }
    EXPECT_EQ(cancelled_at, c.cancelled_at)
        << c.message_class << " " << c.max_calls << " " << c.later_answers;
    if (c.cancelled_at == 0ms) continue;
    policy.Complete(1510ms, "silent", Outcome::kCancelled);
    const bool is_retried = c.message_class != kNotIdempotentClass;
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), is_retried ? "silent" : "");
    EXPECT_EQ(policy.IdsOf<FailMessage>(), is_retried ? "" : "silent");
  }
}

// A call to an endpoint that has calls in flight takes longer and uses up a concurrent call meanwhile, so
// messages to other endpoints go first, but not for ever.
TEST(Release, AtTheCallLimitPrefersEndpointsWithoutCallsInFlight) {
  struct Case {
    Duration delay;     // how much later the message to the other destination was accepted
    const char* first;  // the message that is sent first
  };
  for (const Case& c : {Case{20ms, "free"}, Case{90ms, "free"}, Case{400ms, "queued"}}) {
    Settings settings = SmallSettings();
    settings.max_concurrent_calls = 2;
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e1", 0, 1, 40), MakeEndpointRecord("e2", 0, 2, 40)});
    CompleteThreeCalls(policy, 0s, 1);
    CompleteThreeCalls(policy, 1s, 2);
    policy.Accept(2s, "out1");
    policy.Accept(2s, "out2");
    policy.Accept(2010ms, "queued");
    policy.Accept(2010ms + c.delay, "free", kIdempotentClass, 20s, "", 2);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
    policy.Complete(2500ms, "out1", Outcome::kOk, 100ms);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), c.first) << c.delay.count();
  }
}

// All calls are slow and are answered in the order sent, so none is overtaken and each may take its whole
// timeout.
TEST(Release, CancelsNothingWhereAllCallsAreSlow) {
  Settings settings = SmallSettings();
  settings.cancellation_allowed = true;
  settings.max_concurrent_calls = 3;  // the limit is reached
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
  CompleteThreeCalls(policy, 0s);
  for (int i = 0; i < 4; ++i) policy.Accept(1s + 10ms * i, "m" + std::to_string(i));
  for (int i = 0; i < 4; ++i) {
    policy.Process(1500ms + 200ms * i);
    EXPECT_EQ(policy.IdsOf<CancelAttempt>(), "");
    policy.Complete(1600ms + 200ms * i, "m" + std::to_string(i), Outcome::kOk, 600ms + 190ms * i);
    EXPECT_EQ(policy.IdsOf<CancelAttempt>(), "");
  }
}

// Guards against calls that the end of the process cuts off. A message that is not idempotent would be lost.
TEST(Release, HoldsBackCallsThatWouldNotReturnBeforeTheShutdown) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("a")});
  policy.Process(0s, {ShutdownStarted{1s}});
  policy.Accept(100ms, "early", kNotIdempotentClass);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "early");
  policy.Accept(900ms, "late", kNotIdempotentClass);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
}

}  // namespace
}  // namespace sagetally
