// Tests of the recovery budget of a destination that returns from an outage.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(RecoveryBudget, LimitsCallsInAnyWindow) {
  // The budget of this one dispatcher is 0.25 x 2 x 4 calls a second x 3 s = 6 calls in any 3 s.
  for (const int message_class : {kIdempotentClass, kNotIdempotentClass}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 4)});
    std::vector<Time> reached;
    std::vector<std::string> in_flight;
    int number = 0;
    bool failed = false;
    for (Time t = 0s; t < 40s; t += 10ms) {
      std::vector<Event> events;
      for (const std::string& id : in_flight) {
        events.emplace_back(policy.Completed(id, Outcome::kConnectFailed, 10ms));
      }
      if (!in_flight.empty()) failed = true;
      for (const StartHealthCheck& check : policy.ActionsOf<StartHealthCheck>()) {
        events.emplace_back(HealthCheckCompleted{check.endpoint, Outcome::kOk, 10ms, {}});
      }
      if (t.count() % 50000 == 0) {
        events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(number++), message_class));
      }
      policy.Process(t, events);
      in_flight.clear();
      for (const StartAttempt& attempt : policy.ActionsOf<StartAttempt>()) in_flight.push_back(attempt.id);
      if (failed) {
        reached.insert(reached.end(), in_flight.size() + policy.ActionsOf<StartHealthCheck>().size(), t);
      }
    }
    ASSERT_GE(reached.size(), 6u);
    for (std::size_t i = 6; i < reached.size(); ++i) EXPECT_GE(reached[i] - reached[i - 6], 3s) << i;
  }
}

// Tests that the budget of all dispatchers together holds, and that dispatchers with messages can use it.
// With 72 dispatchers, each may make less than one call in a window. An even split of the budget left a
// returning destination idle, while dispatchers with messages waited 38 s for a call.
TEST(RecoveryBudget, LimitsTheSumOfAllDispatchers) {
  for (const int dispatchers : {3, 40}) {
    // The budget of all dispatchers is 0.25 x 2 x 8 calls a second x 3 s = 12 calls in any 3 s.
    const double rate = 8;
    std::vector<PolicyDriver> policies;
    Settings settings = SmallSettings();
    settings.dispatcher_count = dispatchers;
    for (int i = 0; i < dispatchers; ++i) {
      settings.dispatcher_index = i;
      policies.emplace_back(settings, static_cast<std::uint64_t>(i + 1));
      policies.back().UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, rate)});
    }
    std::vector<Time> reached;
    std::map<int, std::vector<std::string>> in_flight;
    std::map<int, bool> has_seen_failure;
    int number = 0;
    for (Time t = 0s; t < 40s; t += 20ms) {
      for (int i = 0; i < dispatchers; ++i) {
        std::vector<Event> events;
        for (const std::string& id : in_flight[i]) {
          events.emplace_back(policies[i].Completed(id, Outcome::kConnectFailed, 10ms));
          has_seen_failure[i] = true;
        }
        // Seven messages a second arrive, a third of them at the first dispatcher.
        if (t.count() % 140000 == 0 && i == (number % 3 == 0 ? 0 : number * 7 % dispatchers)) {
          events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(number)));
        }
        policies[i].Process(t, events);
        in_flight[i].clear();
        for (const StartAttempt& attempt : policies[i].ActionsOf<StartAttempt>()) {
          in_flight[i].push_back(attempt.id);
          // By 18 s all dispatchers have confirmed the failure.
          if (has_seen_failure[i] && t > 18s) reached.push_back(t);
        }
      }
      number += t.count() % 140000 == 0 ? 1 : 0;
    }
    EXPECT_GE(reached.size(), 20u) << dispatchers;  // enough to notice the end of the outage
    // On average there are at most 12 calls in 3 s. The dispatchers do not coordinate, so by chance there may
    // be six more at times.
    EXPECT_LE(static_cast<double>(reached.size()), 12 * 22 / 3.0) << dispatchers;
    for (std::size_t i = 18; i < reached.size(); ++i) {
      EXPECT_GE(reached[i] - reached[i - 18], 3s) << dispatchers << " dispatchers, call " << i;
    }
  }
}

// Guards a destination that rejects all calls and then accepts them again. With 649 dispatchers, those that
// it had rejected returned at their paces, together several times the rate that it could take.
TEST(RecoveryBudget, LimitsDispatchersAtADestinationThatRejectsAllCalls) {
  std::vector<Time> reached;
  Settings settings = SmallSettings();
  settings.dispatcher_count = 40;
  for (int i = 0; i < settings.dispatcher_count; ++i) {
    settings.dispatcher_index = i;
    PolicyDriver policy(settings, static_cast<std::uint64_t>(i + 1));
    policy.UpdateEndpoints(0s,
                           {MakeEndpointRecord("e", 0, 1, 8)});  // 12 calls in any 3 s for all dispatchers
    policy.Accept(0s, "m");
    for (Time t = 20ms; t < 19s; t += 20ms) {
      std::vector<Event> events;
      for (const StartAttempt& attempt : policy.ActionsOf<StartAttempt>()) {
        events.emplace_back(policy.Completed(attempt.id, Outcome::kRejected, 10ms));
      }
      if (t % 5s == 0ms) events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(t.count())));
      policy.Process(t, events);
      if (t > 10s) reached.insert(reached.end(), policy.ActionsOf<StartAttempt>().size(), t);
    }
  }
  std::sort(reached.begin(), reached.end());
  ASSERT_GE(reached.size(), 10u);
  for (std::size_t n = 15; n < reached.size(); ++n) EXPECT_GE(reached[n] - reached[n - 15], 3s) << n;
}

// Send times of calls.
struct CallsAfterRejections {
  // Of dispatchers that were rejected once.
  std::vector<Time> rejected;
  // Of dispatchers that were not rejected.
  std::vector<Time> not_rejected;
};

// Returns the calls of 240 dispatchers to a hung destination after 7.5 s, until when it rejects all calls. A
// hundred of the dispatchers get one message each.
CallsAfterRejections RunRejectedDispatchers(std::uint64_t seed) {
  CallsAfterRejections calls;
  Settings settings = SmallSettings();
  settings.dispatcher_count = 240;
  for (int i = 0; i < 100; ++i) {
    settings.dispatcher_index = i;
    PolicyDriver policy(settings, seed + static_cast<std::uint64_t>(i));
    policy.UpdateEndpoints(0s,
                           {MakeEndpointRecord("e", 0, 1, 8)});  // 12 calls in any 3 s for all dispatchers
    // Messages arrive at the rate that the destination usually takes.
    const Time accepted_at = i * 125ms;
    policy.Accept(accepted_at, "m");
    if (accepted_at > 7500ms) {  // the destination has recovered
      calls.not_rejected.push_back(accepted_at);
      continue;
    }
    policy.Complete(accepted_at + 20ms, "m", Outcome::kRejected, 10ms, 500ms);
    for (Time t = accepted_at + 500ms; t < 12s && policy.ActionsOf<StartAttempt>().empty(); t += 20ms) {
      policy.Process(t);
      if (t > 7500ms) calls.rejected.insert(calls.rejected.end(), policy.ActionsOf<StartAttempt>().size(), t);
    }
  }
  return calls;
}

// Guards a hung destination that recovers. In a simulated fleet, hundreds of dispatchers that it had rejected
// once each returned at their paces, together several times the rate that it could take.
TEST(RecoveryBudget, LimitsDispatchersThatWereRejectedOnce) {
  const auto count_in_window = [](const std::vector<Time>& calls, Time start) {
    return std::ranges::count_if(calls, [&](Time t) { return t >= start && t < start + 3s; });
  };
  std::size_t rejected_calls = 0;
  for (std::uint64_t seed = 1; seed <= 1000; seed += 100) {
    const CallsAfterRejections calls = RunRejectedDispatchers(seed);
    rejected_calls += calls.rejected.size();
    // The overload rule is broken if there are too many calls and two thirds of them came from dispatchers
    // that had been rejected.
    for (Time t = 7500ms; t < 9s; t += 20ms) {
      const auto rejected = count_in_window(calls.rejected, t);
      const auto not_rejected = count_in_window(calls.not_rejected, t);
      EXPECT_TRUE(rejected + not_rejected <= 12 || rejected < 2 * not_rejected)
          << "seed " << seed << ", " << t.count();
    }
  }
  // Dispatchers that make no calls would not break the rule either.
  EXPECT_GE(rejected_calls, 20u);
}

// Guards a destination that returns against too many calls that confirm failures. In a simulated fleet,
// dozens of dispatchers each tried every endpoint of a destination three times after failed connections and
// overloaded it as it returned.
TEST(RecoveryBudget, ConfirmsFailedConnectionsOnceForAllEndpoints) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 50;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 4), MakeEndpointRecord("f", 0, 1, 4),
                              MakeEndpointRecord("g", 0, 1, 4)});
  policy.Accept(0s, "a");
  policy.Complete(100ms, "a", Outcome::kOk, 300ms);
  int calls = 0;
  policy.Accept(1s, "b");
  for (Time t = 1s; t < 3s; t += 20ms) {
    std::vector<Event> events;
    for (const StartAttempt& attempt : policy.ActionsOf<StartAttempt>()) {
      events.emplace_back(policy.Completed(attempt.id, Outcome::kConnectFailed));
    }
    calls += static_cast<int>(events.size());
    policy.Process(t, events);
  }
  EXPECT_LE(calls, 3);
}

// Guards an endpoint that replaces a failed one against getting all messages at once.
TEST(RecoveryBudget, CoversAnEndpointThatReplacesAFailedOne) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 4)});
  policy.Accept(0s, "a");
  policy.Complete(100ms, "a", Outcome::kConnectFailed);
  std::vector<Event> events = {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                                   .endpoints = {MakeEndpointRecord("g", 0, 1, 4)}}};
  for (int i = 0; i < 8; ++i) events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(i)));
  policy.Process(5s, events);
  EXPECT_LE(policy.ActionsOf<StartAttempt>().size(), 1u);
}

TEST(RecoveryBudget, DoesNotLimitTheOtherEndpointsIfOneFails) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40), MakeEndpointRecord("f", 0, 1, 40)});
  policy.Accept(0s, "a");
  policy.Complete(100ms, "a", Outcome::kConnectFailed);
  ASSERT_EQ(policy.IdsOf<StartAttempt>(), "a");  // goes to the other endpoint at once
  EXPECT_EQ(policy.ActionsOf<StartAttempt>()[0].endpoint, "f");
  policy.Complete(200ms, "a", Outcome::kOk);
  std::vector<Event> events;
  for (int i = 0; i < 5; ++i) events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(i)));
  policy.Process(300ms, events);
  EXPECT_EQ(policy.ActionsOf<StartAttempt>().size(), 5u);
}

// Guards against a recovery that does not end. In a simulated fleet, calls to the endpoint that answered used
// up the budget of the one that had failed, and its answers never ended the recovery, so nothing was sent for
// a minute.
TEST(RecoveryBudget, IsNotUsedUpByAnotherEndpointThatAnswers) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = 50;
  settings.health_checks_allowed = false;
  PolicyDriver policy(settings);
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 40), MakeEndpointRecord("f", 0, 1, 40)});
  policy.Accept(0s, "a");
  const std::string first = policy.ActionsOf<StartAttempt>()[0].endpoint;
  policy.Complete(100ms, "a", Outcome::kConnectFailed);
  policy.Complete(200ms, "a", Outcome::kOk);  // the other endpoint answers
  for (int i = 0; i < 20; ++i) {
    const std::string id = "m" + std::to_string(i);
    policy.Accept(300ms + i * 20ms, id);
    policy.Complete(310ms + i * 20ms, id, Outcome::kOk);
  }
  policy.Accept(1s, "b");
  ASSERT_NE(policy.ActionsOf<StartAttempt>()[0].endpoint, first);
  policy.Complete(1010ms, "b", Outcome::kConnectFailed);  // now the other endpoint fails
  Time t = 1020ms;
  for (; t < 20s && policy.ActionsOf<StartAttempt>().empty(); t += 20ms) policy.Process(t);
  EXPECT_LT(t, 5s);
}

}  // namespace
}  // namespace sagetally
