// Queues of pending messages: ordering keys, relegation, load shedding, tenant quotas.
#include <gtest/gtest.h>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(OrderingKey, SendsOneMessageAtATimeWithAQuietTime) {
  Settings settings = SmallSettings();
  settings.classes[kNotIdempotentClass].ordered_by_key = true;
  settings.key_quiet_time = 700ms;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e")});
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

TEST(OrderingKey, IsHeldByAWithdrawnMessageInFlight) {
  Settings settings = SmallSettings();
  settings.classes[kNotIdempotentClass].ordered_by_key = true;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e")});
  policy.Process(0s, {PolicyDriver::Accepted("a", kNotIdempotentClass, 20s, "k"),
                      PolicyDriver::Accepted("b", kNotIdempotentClass, 20s, "k")});
  policy.Process(100ms, {MessageWithdrawn{"a"}});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
  AttemptCompleted over = policy.Completed("a", Outcome::kOk);
  policy.Process(200ms, {over});
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "b");
}

// A new message has no answer yet, so it is shed before one that was accepted earlier, unless it weighs much
// more or the earlier one has had most of its time.
TEST(LoadShedding, RejectsANewcomerBeforeAMessageOfTheSameWeight) {
  const struct {
    const char* name;
    int newcomer;
    Time at;
    bool newcomer_goes;
  } cases[] = {{"the same weight", kIdempotentClass, 5s, true},
               {"much more weight", kNotIdempotentClass, 5s, false},
               {"the same weight, after seven tenths of the other's time", kIdempotentClass, 15s, false}};
  for (const auto& c : cases) {
    Settings settings = SmallSettings();
    settings.max_pending_messages = 3;  // one place is kept free
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {EndpointAt("e", 0)});
    policy.Process(0s, {PolicyDriver::Accepted("first")});
    policy.Complete(100ms, "first", Outcome::kRejected, 100ms, 19s);  // nothing leaves until 19.1 s
    policy.Accept(200ms, "old", kIdempotentClass, 20s);
    policy.Accept(c.at, "new", c.newcomer, 20s);
    ASSERT_EQ(policy.ActionsOf<RejectMessage>().size(), 1u) << c.name;
    EXPECT_EQ(policy.ActionsOf<RejectMessage>()[0].id == "new", c.newcomer_goes) << c.name;
  }
}

TEST(Relegation, LowerWeightIsRelegatedFirst) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e")});
  policy.Accept(0s, "busy");
  policy.Accept(100ms, "heavy", kNotIdempotentClass);
  policy.Accept(1s, "light", kWithKeyClass);
  // "heavy" has missed its objective; "light" has not, but weighs less and waits for the same bottleneck.
  policy.Complete(2500ms, "busy", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "heavy");
}

TEST(Relegation, AMessageThatWouldMissItsObjectiveLetsOthersPass) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e")});
  policy.Accept(0s, "busy");
  policy.Accept(100ms, "missed");
  policy.Accept(1s, "in-time");
  policy.Complete(2500ms, "busy", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "in-time");
  policy.Complete(2600ms, "in-time", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "missed");
}

// Quick failures must not lower the expected latency: a late message is still rejected as early as before.
TEST(ExpectedLatency, IsNotMovedByQuickFailures) {
  for (const bool failures : {false, true}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(0s, {EndpointAt("e")});
    CompleteThreeCalls(policy, 0s);
    if (failures) {
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
    EXPECT_EQ(policy.IdsOf<RejectMessage>(), "") << failures;
    policy.Process(1000s + 905ms);
    EXPECT_EQ(policy.IdsOf<RejectMessage>(), "a") << failures;
  }
}

// Seen in an incident (clients handed in with half a second left): the margin for long tails rejected
// messages that would have arrived.
TEST(ExpectedLatency, WithALongTailDoesNotRejectWhatUsuallyArrives) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {EndpointAt("e")});
  for (int i = 0; i < 12; ++i) {
    const std::string id = "w" + std::to_string(i);
    policy.Accept(i * 1s, id);
    policy.Complete(i * 1s + 500ms, id, Outcome::kOk, i % 4 == 0 ? 700ms : 50ms);  // 210 ms in the mean
  }
  policy.Accept(20s, "short", kIdempotentClass, 400ms);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "short");
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "");
}

TEST(TenantQuota, ShedsFirstWhatIsBeyondIt) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 10;
  settings.tenants = {{.service_fraction = 0.5, .quota_per_second = 1000},
                      {.service_fraction = 0.5, .quota_per_second = 0.01}};
  settings.over_quota_weight = 0.1;
  PolicyDriver policy(settings);
  std::string rejected;
  for (int i = 0; i < 16; ++i) {  // nowhere to go
    MessageAccepted m = PolicyDriver::Accepted((i % 2 ? "over" : "within") + std::to_string(i));
    m.tenant = m.destination = i % 2;  // each destination is one tenant's
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
  policy.UpdateEndpoints(0s, {EndpointAt("e")});
  for (const int tenant : {-1, 0, 7}) {
    MessageAccepted m = PolicyDriver::Accepted("m" + std::to_string(tenant));
    m.tenant = tenant;
    policy.Process(1s, {m});
    EXPECT_EQ(policy.ActionsOf<StartAttempt>().size(), 1u);
  }
}

// Seen in a simulated fleet: what could leave at once was shed for what waits.
TEST(LoadShedding, KeepsWhatCanLeaveAtOnce) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 10;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("e", 0, 2, 40)});
  for (int i = 0; i < 9; ++i) {
    policy.Accept(0s, "u" + std::to_string(i), kNotIdempotentClass);  // nowhere to go
  }
  policy.Accept(1s, "k", kWithKeyClass, 20s, "", 2);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "k");
}

// Seen on a day with impatient clients: a message with little time left was taken for an old one, relegated
// and never sent at the call limit.
TEST(ImpatientClient, GoesBeforeWhatIsDueLaterAndIsAnsweredInTime) {
  Settings settings = SmallSettings();
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("a")});
  policy.Accept(0s, "first");
  policy.Accept(100ms, "patient");
  policy.Accept(200ms, "hasty", kIdempotentClass, 1s);
  policy.Complete(300ms, "first", Outcome::kOk);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "hasty");
  // One that cannot be sent is answered before its time is up, wherever it stands in the queue.
  policy.Accept(400ms, "hopeless", kIdempotentClass, 500ms);
  std::string rejected;
  for (Time t = 410ms; t < 900ms; t += 5ms) {
    policy.Process(t);
    rejected += policy.IdsOf<RejectMessage>();
  }
  EXPECT_EQ(rejected, "hopeless");
}

// Seen with 260 dispatchers: more than half of all rejections were messages shed while others waited behind
// one limit.
TEST(LoadShedding, ShedsFirstWhatWaitsFarBackAtAPace) {
  Settings settings = SmallSettings();
  settings.max_pending_messages = 12;
  settings.max_concurrent_calls = 1;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {EndpointAt("b", 0, 1, 1000), EndpointAt("a", 0, 2, 1)});
  policy.Accept(0s, "m", kIdempotentClass, 20s, "", 2);
  policy.Complete(100ms, "m", Outcome::kRejected);  // a pace there now
  std::vector<Event> events;
  for (int i = 0; i < 6; ++i) {
    events.emplace_back(PolicyDriver::Accepted("b" + std::to_string(i), kIdempotentClass, 20s, "", 1));
    events.emplace_back(PolicyDriver::Accepted("a" + std::to_string(i), kIdempotentClass, 20s, "", 2));
  }
  policy.Process(200ms, events);
  EXPECT_NE(policy.IdsOf<RejectMessage>(), "");
  EXPECT_EQ(policy.IdsOf<RejectMessage>().find('b'), std::string::npos);
}

TEST(LoadShedding, ShedsTheLowestWeightBeforeTheLimit) {
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
