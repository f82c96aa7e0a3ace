// Tests of how the policy takes in events: its contract with the host, the endpoint list, and messages from
// before a restart.
#include <gtest/gtest.h>

#include <stdexcept>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(Settings, NamesTheSettingThatIsOutOfRange) {
  const auto rejects = [](auto change, const std::string& name) {
    Settings settings = SmallSettings();
    change(settings);
    try {
      DispatchPolicy policy(settings, 1);
      return false;
    } catch (const std::invalid_argument& error) {
      return std::string(error.what()).find(name) != std::string::npos;
    }
  };
  EXPECT_TRUE(rejects([](Settings& settings) { settings.classes.clear(); }, "grades"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.kinds.clear(); }, "flavors"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.max_concurrent_calls = 0; }, "callsOut"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.dispatcher_count = 0; }, "balancers"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.max_pending_messages = -1; }, "mostHeld"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.max_attempts = 0; }, "maxAttempts"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.classes[0].latency_objective = 0s; }, "slo"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.kinds[0].max_batch_size = 0; }, "bundleMax"));
  PolicyDriver policy;
  EXPECT_THROW(policy.Accept(0s, "a", 3), std::invalid_argument);
  EXPECT_THROW(policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 9)}), std::invalid_argument);
}

TEST(Contract, IgnoresEventsThatBreakIt) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  policy.Process(1s, {AttemptCompleted{.id = "nobody"}, MessageWithdrawn{"nobody"},
                      HealthCheckCompleted{.endpoint = "e"}, HealthCheckCompleted{.endpoint = "nowhere"},
                      TimerFired{}, GossipReceived{}});
  policy.Accept(2s, "a");
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a");
  policy.Accept(2s, "a");  // accepted twice
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
  AttemptCompleted wrong = policy.Completed("a", Outcome::kRejected);
  wrong.attempt = 3;
  policy.Process(2s, {wrong});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
  policy.Accept(1s, "b");  // the clock goes back, and the policy goes on with 2 s
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "b");
}

TEST(EndpointList, SendsNothingToADrainingOrRemovedEndpoint) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e"), MakeEndpointRecord("f")});
  EndpointRecord draining = MakeEndpointRecord("e");
  draining.state = EndpointRecord::State::kDraining;
  EndpointRecord removed = MakeEndpointRecord("f");
  removed.state = EndpointRecord::State::kRemoved;
  policy.Process(1s, {EndpointListUpdated{.endpoints = {draining, removed}}, PolicyDriver::Accepted("a")});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
  policy.UpdateEndpoints(2s, {MakeEndpointRecord("g")});
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a");
  EXPECT_EQ(policy.ActionsOf<StartAttempt>()[0].endpoint, "g");
}

// Where rates are not advertised, the endpoint list has the rate 1 for each endpoint.
TEST(EndpointList, IgnoresRatesWhereNoneAreAdvertised) {
  for (const AdvertisedRates rates : {AdvertisedRates::kNone, AdvertisedRates::kExact}) {
    Settings settings = SmallSettings();
    settings.advertised_rates = rates;
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 0.01)});
    policy.Accept(0s, "a");
    policy.Complete(100ms, "a", Outcome::kRejected);
    Time t = 100ms;
    for (; t < 19s && policy.ActionsOf<StartAttempt>().empty(); t += 50ms) policy.Process(t);
    EXPECT_EQ(t < 10s, rates == AdvertisedRates::kNone);
  }
}

TEST(EndpointList, SubscribesAgainAfterAFailure) {
  Settings settings = SmallSettings();
  settings.endpoint_list_on_request = true;
  settings.max_poll_interval = 4s;
  PolicyDriver policy(settings);
  policy.Process(0s,
                 {EndpointListUpdated{
                     .kind = EndpointListUpdated::Kind::kFullSnapshot, .is_cached = true, .endpoints = {}}});
  EXPECT_EQ(policy.ActionsOf<SubscribeEndpointList>().size(), 1u);
  policy.Process(100ms);
  EXPECT_TRUE(policy.ActionsOf<SubscribeEndpointList>().empty());
  policy.Process(200ms, {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFailed, .endpoints = {}}});
  EXPECT_TRUE(policy.ActionsOf<SubscribeEndpointList>().empty());
  policy.Process(2s);
  EXPECT_EQ(policy.ActionsOf<SubscribeEndpointList>().size(), 1u);
}

// Guards messages from before a restart: their attempts count as if this process had made them.
TEST(History, GivesTheFinalAnswerAtOnceIfAMessageMayNotBeRetried) {
  PolicyDriver policy;
  policy.UpdateEndpoints(30s, {MakeEndpointRecord("a")});
  MessageAccepted not_idempotent = PolicyDriver::Accepted("u", kNotIdempotentClass);
  not_idempotent.attempts = 1;
  not_idempotent.first_uncertain_attempt = 29s;
  MessageAccepted expired =
      PolicyDriver::Accepted("k", kWithKeyClass);  // its deduplication window of 5 s is over
  expired.attempts = 1;
  expired.first_uncertain_attempt = 24s;
  MessageAccepted without_attempts_left = PolicyDriver::Accepted("w");
  without_attempts_left.attempts = 6;
  policy.Process(30s, {not_idempotent, expired, without_attempts_left});
  EXPECT_EQ(policy.IdsOf<FailMessage>(), "u");
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "w k");
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
}

TEST(History, RetriesAMessageWithKeyWithinItsDeduplicationWindow) {
  PolicyDriver policy;
  policy.UpdateEndpoints(30s, {MakeEndpointRecord("a")});
  MessageAccepted with_key = PolicyDriver::Accepted("k", kWithKeyClass);
  with_key.attempts = 2;
  with_key.first_uncertain_attempt = 28s;
  policy.Process(30s, {with_key});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "k");
}

}  // namespace
}  // namespace sagetally
