// Outlier detection: which endpoints are suspects or ejected.
#include <gtest/gtest.h>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(OutlierDetection, SendsNothingNotIdempotentToASuspect) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 40)});
  CompleteThreeCalls(policy, 0s);
  policy.Accept(1s, "a");
  policy.Complete(1s, "a", Outcome::kReset);
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a");
  policy.Complete(1s, "a", Outcome::kReset);
  policy.Accept(1s, "u", kNotIdempotentClass);
  EXPECT_EQ(policy.IdsOf<StartAttempt>().find('u'), std::string::npos);
}

// Seen on a day on which connections broke at random: endpoints without any fault were left out.
TEST(OutlierDetection, IgnoresConnectionsThatBreakNowAndThen) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 40)});
  CompleteThreeCalls(policy, 0s);
  policy.Accept(1s, "a");
  for (const Time now : {1010ms, 1020ms}) {
    policy.Complete(now, "a", Outcome::kReset);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a");
  }
  EXPECT_TRUE(policy.ActionsOf<WriteLogLine>().empty());
}

// Seen where health checks are not allowed and nothing else came for a suspect: messages that are not
// idempotent waited for it until they were rejected.
TEST(OutlierDetection, DoesNotHoldNotIdempotentMessagesForEver) {
  for (const Outcome failure : {Outcome::kConnectFailed, Outcome::kTimeout}) {
    Settings settings = SmallSettings();
    settings.health_checks_allowed = false;
    settings.connection_idle_timeout = 500ms;  // each call on a new one
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 40)});
    policy.Accept(0s, "a", kNotIdempotentClass);
    policy.Complete(100ms, "a", Outcome::kOk);
    policy.Accept(1s, "b", kNotIdempotentClass);
    policy.Complete(1100ms, "b", failure);
    std::string sent;
    Time t = 1200ms;
    sent = policy.IdsOf<StartAttempt>();  // what never ran goes again
    policy.Accept(t, "c", kNotIdempotentClass);
    for (sent += policy.IdsOf<StartAttempt>(); t < 20s && sent.empty(); t += 50ms) {
      policy.Process(t);
      sent = policy.IdsOf<StartAttempt>();
    }
    EXPECT_NE(sent, "");
    if (failure == Outcome::kConnectFailed) {
      EXPECT_LT(t, 3s);  // it never ran, so there is nothing to lose
    } else {
      EXPECT_GT(t, 3s);
    }
  }
}

// Seen in an incident (a fifth of all calls reset, everywhere): endpoints that answered in between were
// ejected.
TEST(OutlierDetection, DoesNotEjectAfterAFailureASuccessAndAFailure) {
  for (const bool between : {true, false}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1, 40)});
    CompleteThreeCalls(policy, 0s);
    Time t = 1s;
    const auto sent = [&](const std::string& id) {  // steps on until the budget lets it go
      for (; policy.IdsOf<StartAttempt>() != id; t += 10ms) {
        ASSERT_LT(t, 20s);
        policy.Process(t);
      }
    };
    policy.Accept(t, "a");
    policy.Complete(t, "a", Outcome::kConnectFailed);
    sent("a");
    std::string last = "a";
    if (between) {
      policy.Complete(t, "a", Outcome::kOk);
      policy.Accept(t, "b");
      sent("b");
      last = "b";
    }
    policy.Complete(t, last, Outcome::kConnectFailed);
    EXPECT_EQ(policy.ActionsOf<WriteLogLine>().empty(), between);
  }
}

TEST(OutlierDetection, AHungDestinationLeavesConcurrentCallsToOthers) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1), EndpointAt("f", 0, 2)});
  CompleteThreeCalls(policy, 0s, 1);
  int in_flight = 0;
  for (int i = 0; i < 50; ++i) {  // destination 1 answers nothing from now on
    policy.Accept(1s + i * 50ms, "m" + std::to_string(i), kNotIdempotentClass);
    in_flight += static_cast<int>(policy.ActionsOf<StartAttempt>().size());
  }
  EXPECT_LT(in_flight, 8);
  policy.Accept(4s, "other", kIdempotentClass, 20s, "", 2);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "other");
}

// Seen in an incident: calls at many endpoints that answered nothing, a few each, took all concurrent calls.
TEST(OutlierDetection, ManyHungDestinationsLeaveConcurrentCallsToOthers) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 10;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 1), EndpointAt("f", 0, 2), EndpointAt("g", 0, 3),
                              EndpointAt("h", 0, 4), EndpointAt("i", 0, 5), EndpointAt("j", 0, 6)});
  for (int d = 1; d <= 5; ++d) CompleteThreeCalls(policy, d * 1s, d);
  for (int i = 0; i < 20; ++i) {
    for (int d = 1; d <= 5; ++d) {
      policy.Accept(10s + i * 400ms + d * 40ms, "m" + std::to_string(i * 10 + d), kIdempotentClass, 20s, "",
                    d);
    }
  }
  policy.Accept(20s, "other", kIdempotentClass, 20s, "", 6);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "other");
}

}  // namespace
}  // namespace sagetally
