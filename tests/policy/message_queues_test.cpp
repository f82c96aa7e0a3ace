// Tests of the queues of pending messages: ordering keys, relegation, load shedding and tenant quotas.
#include <gtest/gtest.h>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(OrderingKey, SendsOneMessageAtATimeWithAQuietTime) {
  Settings settings = SmallSettings();
  settings.classes[kNotIdempotentClass].ordered_by_key = true;
  settings.key_quiet_time = 700ms;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  CompleteThreeCalls(policy, 0s);
  policy.Process(1s, {PolicyDriver::Accepted("a", kNotIdempotentClass, 20s, "k"),
                      PolicyDriver::Accepted("b", kNotIdempotentClass, 20s, "k"),
                      PolicyDriver::Accepted("c", kNotIdempotentClass, 20s, "other")});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a c");
  policy.Complete(2s, "a", Outcome::kReset);
  EXPECT_EQ(policy.IdsOf<FailMessage>(), "a");
  for (Time t = 2s; t < 2700ms; t += 5ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "") << t.count();
  }
}

TEST(OrderingKey, HoldsMessagesBackWhileAWithdrawnOneIsInFlight) {
  Settings settings = SmallSettings();
  settings.classes[kNotIdempotentClass].ordered_by_key = true;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  policy.Process(0s, {PolicyDriver::Accepted("a", kNotIdempotentClass, 20s, "k"),
                      PolicyDriver::Accepted("b", kNotIdempotentClass, 20s, "k")});
  policy.Process(100ms, {MessageWithdrawn{"a"}});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
  AttemptCompleted completed = policy.Completed("a", Outcome::kOk);
  policy.Process(200ms, {completed});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "b");
}

// A message that was accepted just now has no answer yet, so it is shed before one that was accepted earlier,
// unless it weighs much more or most of the time of the earlier one has passed.
TEST(LoadShedding, ShedsANewMessageBeforeAnEarlierOneOfTheSameWeight) {
  const struct {
    const char* name;
    int new_message_class;
    Time accepted_at;
    bool sheds_new_message;
  } cases[] = {{"the same weight", kIdempotentClass, 5s, true},
               {"much more weight", kNotIdempotentClass, 5s, false},
               {"the same weight, after seven tenths of the other's time", kIdempotentClass, 15s, false}};
  for (const auto& c : cases) {
    Settings settings = SmallSettings();
    settings.max_pending_messages = 3;  // one of them is kept free
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0)});
    policy.Process(0s, {PolicyDriver::Accepted("first")});
    policy.Complete(100ms, "first", Outcome::kRejected, 100ms, 19s);  // nothing is sent until 19.1 s
    policy.Accept(200ms, "old", kIdempotentClass, 20s);
    policy.Accept(c.accepted_at, "new", c.new_message_class, 20s);
    ASSERT_EQ(policy.ActionsOf<RejectMessage>().size(), 1u) << c.name;
    EXPECT_EQ(policy.ActionsOf<RejectMessage>()[0].id == "new", c.sheds_new_message) << c.name;
  }
}

TEST(Relegation, RelegatesTheLowerWeightFirst) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  policy.Accept(0s, "busy");
  policy.Accept(100ms, "heavy", kNotIdempotentClass);
  policy.Accept(1s, "light", kWithKeyClass);
  // "heavy" has missed its objective; "light" has not, but weighs less and waits for the same bottleneck.
  policy.Complete(2500ms, "busy", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "heavy");
}

TEST(Relegation, SendsAMessageThatMissesItsObjectiveAfterOthers) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  policy.Accept(0s, "busy");
  policy.Accept(100ms, "missed");
  policy.Accept(1s, "in-time");
  policy.Complete(2500ms, "busy", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "in-time");
  policy.Complete(2600ms, "in-time", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "missed");
}

// Quick failures must not lower the expected latency: a late message must be rejected as early as without
// them.
TEST(ExpectedLatency, IsNotLoweredByQuickFailures) {
  for (const bool has_failures : {false, true}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
    CompleteThreeCalls(policy, 0s);
    if (has_failures) {
      for (int i = 0; i < 10; ++i) {
        const std::string id = "f" + std::to_string(i);
        policy.Accept(1s + i * 50s, id, kIdempotentClass, 100ms);
        if (!policy.ActionsOf<StartAttempt>().empty()) {
          policy.Complete(1s + i * 50s + 1ms, id, Outcome::kRejected, 1ms);
        }
        policy.Process(1s + i * 50s + 99ms);
      }
    }
    policy.UpdateEndpoints(1000s, {});
    policy.Accept(1000s, "a", kIdempotentClass, 1s);
    policy.Process(1000s + 890ms);
    EXPECT_EQ(policy.IdsOf<RejectMessage>(), "") << has_failures;
    policy.Process(1000s + 905ms);
    EXPECT_EQ(policy.IdsOf<RejectMessage>(), "a") << has_failures;
  }
}

// Guards against rejecting messages that can be delivered in time. In an incident, clients handed in messages
// with half a second left, and the margin for slow calls led to rejections.
TEST(ExpectedLatency, WithALongTailDoesNotLeadToEarlyRejections) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  for (int i = 0; i < 12; ++i) {
    const std::string id = "w" + std::to_string(i);
    policy.Accept(i * 1s, id);
    policy.Complete(i * 1s + 500ms, id, Outcome::kOk, i % 4 == 0 ? 700ms : 50ms);  // the mean is about 210 ms
  }
  policy.Accept(20s, "short", kIdempotentClass, 400ms);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "short");
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "");
}

TEST(TenantQuota, ShedsMessagesBeyondItFirst) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 10;
  settings.tenants = {{.service_fraction = 0.5, .quota_per_second = 1000},
                      {.service_fraction = 0.5, .quota_per_second = 0.01}};
  settings.over_quota_weight = 0.1;
  PolicyDriver policy(settings);
  std::string rejected;
  for (int i = 0; i < 16; ++i) {  // there is no endpoint
    MessageAccepted m = PolicyDriver::Accepted((i % 2 ? "over" : "within") + std::to_string(i));
    m.tenant = m.destination = i % 2;  // each tenant has a destination of its own
    policy.Process(i * 10ms, {m});
    rejected += policy.IdsOf<RejectMessage>();
  }
  EXPECT_NE(rejected.find("over"), std::string::npos);
  EXPECT_EQ(rejected.find("within"), std::string::npos);
}

TEST(TenantQuota, IsNotAppliedToAnUnknownTenantOrWithoutAQuota) {
  Settings settings = SmallSettings();
  settings.tenants = {{.service_fraction = 1, .quota_per_second = 0}};
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  for (const int tenant : {-1, 0, 7}) {
    MessageAccepted m = PolicyDriver::Accepted("m" + std::to_string(tenant));
    m.tenant = tenant;
    policy.Process(1s, {m});
    EXPECT_EQ(policy.ActionsOf<StartAttempt>().size(), 1u);
  }
}

// Guards against shedding a message that can be sent at once in favour of messages that wait. That happened
// in a simulated fleet.
TEST(LoadShedding, KeepsAMessageThatCanBeSentAtOnce) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 10;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 2, 40)});
  for (int i = 0; i < 9; ++i) {
    policy.Accept(0s, "u" + std::to_string(i), kNotIdempotentClass);  // there is no endpoint
  }
  policy.Accept(1s, "k", kWithKeyClass, 20s, "", 2);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "k");
}

// Guards against taking a message that its client handed in with little time left for an old one. Such
// messages were relegated, and at the limit of concurrent calls they were never sent.
TEST(ImpatientClient, MessageIsSentBeforeThoseDueLaterOrAnsweredInTime) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("a")});
  policy.Accept(0s, "first");
  policy.Accept(100ms, "patient");
  policy.Accept(200ms, "hasty", kIdempotentClass, 1s);
  policy.Complete(300ms, "first", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "hasty");
  // A message that cannot be sent gets its final answer before its deadline, wherever it is in the queue.
  policy.Accept(400ms, "hopeless", kIdempotentClass, 500ms);
  std::string rejected;
  for (Time t = 410ms; t < 900ms; t += 5ms) {
    policy.Process(t);
    rejected += policy.IdsOf<RejectMessage>();
  }
  EXPECT_EQ(rejected, "hopeless");
}

// Guards against shedding other messages than those that wait behind a rate limit. With 260 dispatchers, more
// than half of all rejections were messages that were shed while others waited behind one limit.
TEST(LoadShedding, ShedsMessagesFarBackBehindARateLimitFirst) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 12;
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("b", 0, 1, 1000), MakeEndpointRecord("a", 0, 2, 1)});
  policy.Accept(0s, "m", kIdempotentClass, 20s, "", 2);
  policy.Complete(100ms, "m", Outcome::kRejected);  // the destination has a pace from now on
  std::vector<Event> events;
  for (int i = 0; i < 6; ++i) {
    events.emplace_back(PolicyDriver::Accepted("b" + std::to_string(i), kIdempotentClass, 20s, "", 1));
    events.emplace_back(PolicyDriver::Accepted("a" + std::to_string(i), kIdempotentClass, 20s, "", 2));
  }
  policy.Process(200ms, events);
  EXPECT_NE(policy.IdsOf<RejectMessage>(), "");
  EXPECT_EQ(policy.IdsOf<RejectMessage>().find('b'), std::string::npos);
}

TEST(LoadShedding, ShedsTheLowestWeightBeforeTheLimitIsReached) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 10;
  PolicyDriver policy(settings);
  std::string rejected;
  for (int i = 0; i < 10; ++i) {
    policy.Accept(1ms * i, (i % 2 ? "light" : "heavy") + std::to_string(i),
                  i % 2 ? kWithKeyClass : kNotIdempotentClass);
    rejected += policy.IdsOf<RejectMessage>();
  }
  EXPECT_EQ(rejected, "light9");
}

}  // namespace
}  // namespace sagetally
