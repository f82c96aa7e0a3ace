// Tests of outlier detection: which endpoints are suspects or ejected, and what may be sent to them.
#include <gtest/gtest.h>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(OutlierDetection, SendsNoMessageThatIsNotIdempotentToASuspect) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
  CompleteThreeCalls(policy, 0s);
  policy.Accept(1s, "a");
  policy.Complete(1s, "a", Outcome::kReset);
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a");
  policy.Complete(1s, "a", Outcome::kReset);
  policy.Accept(1s, "u", kNotIdempotentClass);
  EXPECT_EQ(policy.IdsOf<StartAttempt>().find('u'), std::string::npos);
}

// Guards against ejecting healthy endpoints where connections break at random.
TEST(OutlierDetection, IgnoresOccasionalConnectionResets) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
  CompleteThreeCalls(policy, 0s);
  policy.Accept(1s, "a");
  for (const Time now : {1010ms, 1020ms}) {
    policy.Complete(now, "a", Outcome::kReset);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a");
  }
  EXPECT_TRUE(policy.ActionsOf<WriteLogLine>().empty());
}

// Guards messages that are not idempotent against waiting for a suspect until they are rejected. That
// happened where health checks were not allowed and no other messages came for the suspect.
TEST(OutlierDetection, SendsNotIdempotentMessagesToASuspectAgainAfterAWhile) {
  for (const Outcome failure : {Outcome::kConnectFailed, Outcome::kTimeout}) {
    Settings settings = SmallSettings();
    settings.health_checks_allowed = false;
    settings.connection_idle_timeout = 500ms;  // each call goes out on a new connection
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
    policy.Accept(0s, "a", kNotIdempotentClass);
    policy.Complete(100ms, "a", Outcome::kOk);
    policy.Accept(1s, "b", kNotIdempotentClass);
    policy.Complete(1100ms, "b", failure);
    std::string sent;
    Time t = 1200ms;
    sent = policy.IdsOf<StartAttempt>();  // a message that never ran is retried
    policy.Accept(t, "c", kNotIdempotentClass);
    for (sent += policy.IdsOf<StartAttempt>(); t < 20s && sent.empty(); t += 50ms) {
      policy.Process(t);
      sent = policy.IdsOf<StartAttempt>();
    }
    EXPECT_NE(sent, "");
    if (failure == Outcome::kConnectFailed) {
      EXPECT_LT(t, 3s);  // the message never ran, so a retry does no harm
    } else {
      EXPECT_GT(t, 3s);
    }
  }
}

// Guards against ejecting endpoints that answer between failures. That happened in an incident in which a
// fifth of all calls were reset at all endpoints.
TEST(OutlierDetection, DoesNotEjectAfterAFailureASuccessAndAFailure) {
  for (const bool has_success_between : {true, false}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40)});
    CompleteThreeCalls(policy, 0s);
    Time t = 1s;
    // Runs the policy until the recovery budget allows the message to be sent.
    const auto wait_until_sent = [&](const std::string& id) {
      for (; policy.IdsOf<StartAttempt>() != id; t += 10ms) {
        ASSERT_LT(t, 20s);
        policy.Process(t);
      }
    };
    policy.Accept(t, "a");
    policy.Complete(t, "a", Outcome::kConnectFailed);
    wait_until_sent("a");
    std::string last = "a";
    if (has_success_between) {
      policy.Complete(t, "a", Outcome::kOk);
      policy.Accept(t, "b");
      wait_until_sent("b");
      last = "b";
    }
    policy.Complete(t, last, Outcome::kConnectFailed);
    EXPECT_EQ(policy.ActionsOf<WriteLogLine>().empty(), has_success_between);
  }
}

TEST(OutlierDetection, LimitsCallsInFlightToADestinationThatDoesNotAnswer) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1), MakeEndpointRecord("f", 0, 2)});
  CompleteThreeCalls(policy, 0s, 1);
  int in_flight = 0;
  for (int i = 0; i < 50; ++i) {  // destination 1 does not answer from now on
    policy.Accept(1s + i * 50ms, "m" + std::to_string(i), kNotIdempotentClass);
    in_flight += static_cast<int>(policy.ActionsOf<StartAttempt>().size());
  }
  EXPECT_LT(in_flight, 8);
  policy.Accept(4s, "other", kIdempotentClass, 20s, "", 2);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "other");
}

// Guards against calls to many endpoints that do not answer, a few calls to each, using up all concurrent
// calls. That happened in an incident.
TEST(OutlierDetection, LimitsCallsInFlightToManyDestinationsThatDoNotAnswer) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 10;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(
      0s, {MakeEndpointRecord("e", 0, 1), MakeEndpointRecord("f", 0, 2), MakeEndpointRecord("g", 0, 3),
           MakeEndpointRecord("h", 0, 4), MakeEndpointRecord("i", 0, 5), MakeEndpointRecord("j", 0, 6)});
  for (int destination = 1; destination <= 5; ++destination)
    CompleteThreeCalls(policy, destination * 1s, destination);
  for (int i = 0; i < 20; ++i) {
    for (int destination = 1; destination <= 5; ++destination) {
      policy.Accept(10s + i * 400ms + destination * 40ms, "m" + std::to_string(i * 10 + destination),
                    kIdempotentClass, 20s, "", destination);
    }
  }
  policy.Accept(20s, "other", kIdempotentClass, 20s, "", 6);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "other");
}

}  // namespace
}  // namespace sagetally
