// Tests of when idle connections are closed.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(IdleConnections, AreClosedBeforeASendAfterAnOlderOneWasReset) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("a"), MakeEndpointRecord("b", 0, 2)});
  policy.Accept(1s, "m1");
  policy.Complete(1100ms, "m1", Outcome::kOk);
  policy.Accept(3s, "m2");  // goes out on the connection that has been idle for 1.9 s
  EXPECT_EQ(policy.ActionsOf<CloseIdleConnections>().size(), 0u);
  policy.Complete(3010ms, "m2", Outcome::kReset);  // is retried at once, on a new connection
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "m2");
  policy.Complete(3100ms, "m2", Outcome::kOk);
  policy.Accept(4s, "u1", kNotIdempotentClass, 20s, "", 2);
  policy.Complete(4100ms, "u1", Outcome::kOk);
  policy.Accept(6s, "u2", kNotIdempotentClass, 20s, "", 2);
  ASSERT_EQ(policy.ActionsOf<CloseIdleConnections>().size(), 1u);
  EXPECT_EQ(policy.ActionsOf<CloseIdleConnections>()[0].endpoint, "b");
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "u2");
  EXPECT_LT(std::find_if(policy.actions.begin(), policy.actions.end(),
                         [](const Action& a) { return std::holds_alternative<CloseIdleConnections>(a); }),
            std::find_if(policy.actions.begin(), policy.actions.end(),
                         [](const Action& a) { return std::holds_alternative<StartAttempt>(a); }));
}

TEST(IdleConnections, AResetOnANewConnectionMakesASuspectButOneOnAnIdleConnectionDoesNot) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("a")});
  policy.Accept(1s, "m1");
  policy.Complete(1100ms, "m1", Outcome::kOk);
  policy.Accept(3s, "m2");
  policy.Complete(3010ms, "m2", Outcome::kReset);
  policy.Accept(3020ms, "u1", kNotIdempotentClass);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "u1");  // the endpoint is not a suspect yet
  policy.Complete(3030ms, "m2", Outcome::kReset);
  policy.Accept(3040ms, "u2", kNotIdempotentClass);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
}

// Guards against closing all idle connections where connections of any age fall silent. The failures on idle
// connections were blamed on their idleness, and closing all idle connections tripled the number of
// handshakes.
TEST(IdleConnections, AreNotClosedWhereConnectionsOfAnyAgeFallSilent) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("a")});
  int n = 0;
  Time now = 1s;
  const auto call = [&](Outcome outcome) {
    const std::string id = "m" + std::to_string(++n);
    policy.Accept(now, id);
    ASSERT_EQ(policy.IdsOf<StartAttempt>(), id);
    AttemptCompleted e = policy.Completed(id, outcome, 50ms);
    e.message_ended = true;
    policy.Process(now += 50ms, {e});
    now += 10ms;
  };
  const auto make_six_answered_calls = [&] {
    for (int i = 0; i < 6; ++i) call(Outcome::kOk);
  };
  for (int round = 0; round < 3; ++round) {
    make_six_answered_calls();
    call(Outcome::kReset);  // on a connection in use
    make_six_answered_calls();
    for (int i = 0; i < 5; ++i) {
      now += 300ms;
      call(Outcome::kOk);
    }
    now += 1s;
    call(Outcome::kReset);  // on an idle connection
    make_six_answered_calls();
  }
  for (const Time until = now + 3s; now < until; now += 50ms) {
    policy.Process(now);
    EXPECT_EQ(policy.ActionsOf<CloseIdleConnections>().size(), 0u);
  }
}

TEST(IdleConnections, AFailedCallLeavesNoIdleConnection) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("a"), MakeEndpointRecord("b", 0, 2)});
  policy.Accept(1s, "m1");
  policy.Complete(1100ms, "m1", Outcome::kOk);
  policy.Accept(3s, "m2");
  policy.Complete(
      3010ms, "m2",
      Outcome::kReset);  // from now on, connections that have been idle for over a second are not trusted
  policy.Complete(3100ms, "m2", Outcome::kOk);
  policy.Accept(4s, "m3", kIdempotentClass, 20s, "", 2);
  policy.Complete(4010ms, "m3", Outcome::kConnectFailed);
  bool sent = !policy.ActionsOf<StartAttempt>().empty();
  for (Time t = 4020ms; t < 12s && !sent; t += 10ms) {
    policy.Process(t);
    sent = !policy.ActionsOf<StartAttempt>().empty();
    for (const CloseIdleConnections& close : policy.ActionsOf<CloseIdleConnections>())
      EXPECT_NE(close.endpoint, "b");  // has no connection to close
  }
  EXPECT_TRUE(sent);
}

// Guards against idle connections that leave no place for new ones. In a simulated fleet, each of hundreds of
// dispatchers kept one idle connection to destinations that accept about ten, and two of three new
// connections failed.
TEST(IdleConnections, AreClosedSoonerWhereNewOnesFail) {
  for (const bool fails : {false, true}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(
        0s, {MakeEndpointRecord("a"), MakeEndpointRecord("b", 0, 2), MakeEndpointRecord("c", 2, 3)});
    policy.Accept(1s, "m1", kIdempotentClass, 20s, "", 2);
    policy.Complete(1100ms, "m1", fails ? Outcome::kConnectFailed : Outcome::kOk);
    policy.Accept(2s, "m2");
    policy.Complete(2100ms, "m2", Outcome::kOk);
    policy.Accept(2100ms, "m3", kIdempotentClass, 20s, "", 3);
    policy.Complete(2200ms, "m3", Outcome::kOk);
    std::string closed;
    for (Time t = 2200ms; t < 5s; t += 50ms) {
      policy.Process(t);
      for (const CloseIdleConnections& close : policy.ActionsOf<CloseIdleConnections>())
        closed += close.endpoint;
    }
    // Before connection_idle_timeout, the idle connection to an endpoint of the same kind is closed, not that
    // of another kind.
    EXPECT_EQ(closed, fails ? "a" : "");
  }
}

// Guards against idle connections that fill a connection table. With 273 dispatchers, an endpoint's table of
// eleven connections was full of idle ones within 0.3 s, and from then on dispatchers without a connection
// were rejected for as long as the idle ones were kept.
TEST(IdleConnections, OfHundredsOfDispatchersDoNotFillAConnectionTable) {
  for (const int dispatchers : {3, 300}) {
    Settings settings = SmallSettings();
    settings.dispatcher_count = dispatchers;
    PolicyDriver policy(settings);
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e", 0, 1, 100)});
    policy.Accept(1s, "m");
    policy.Complete(1100ms, "m", Outcome::kOk);
    std::string closed = policy.ActionsOf<CloseIdleConnections>().empty() ? "" : "e";
    for (Time t = 1110ms; t < 2s; t += 10ms) {
      policy.Process(t);
      for (const CloseIdleConnections& close : policy.ActionsOf<CloseIdleConnections>())
        closed += close.endpoint;
    }
    EXPECT_EQ(closed, dispatchers == 3 ? "" : "e");
  }
}

}  // namespace
}  // namespace sagetally
