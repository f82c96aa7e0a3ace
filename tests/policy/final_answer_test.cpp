// Tests of the final answer to each message, and of which messages are retried.
#include <gtest/gtest.h>

#include "policy_driver.h"

namespace sagetally {
namespace {

TEST(FinalAnswer, RejectsUnsentMessagesShortlyBeforeTheDeadline) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  CompleteThreeCalls(policy, 0s);
  policy.UpdateEndpoints(1s, {});
  policy.Accept(1s, "a", kNotIdempotentClass, 1s);
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "");
  policy.Process(1800ms);
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "");
  policy.Process(1950ms);  // 50 ms left, a call takes 100 ms
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "a");
  policy.Process(3s);
  EXPECT_EQ(policy.IdsOf<RejectMessage>() + policy.IdsOf<FailMessage>() + policy.IdsOf<StartAttempt>(), "");
}

TEST(FinalAnswer, RejectsInTimeWhereThereIsNoEndpoint) {
  PolicyDriver policy;
  policy.Accept(0s, "a", kNotIdempotentClass, 1s);
  policy.Process(990ms);
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "a");
}

TEST(FinalAnswer, IsNotGivenForAMessageWithdrawnInFlight) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  policy.Accept(0s, "a");
  policy.Process(1s, {MessageWithdrawn{"a"}, policy.Completed("a", Outcome::kError)});
  EXPECT_EQ(policy.IdsOf<StartAttempt>() + policy.IdsOf<RejectMessage>() + policy.IdsOf<FailMessage>(), "");
}

TEST(Retry, FailsAMessageThatIsNotIdempotentAndMayHaveRun) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    PolicyDriver policy;
    policy.UpdateEndpoints(0s, {MakeEndpointRecord("e"), MakeEndpointRecord("f")});
    policy.Accept(0s, "a", kNotIdempotentClass);
    policy.Complete(1s, "a", outcome);
    EXPECT_EQ(policy.IdsOf<FailMessage>(), "a");
    EXPECT_EQ(policy.IdsOf<StartAttempt>() + policy.IdsOf<RejectMessage>(), "");
  }
}

TEST(Retry, RetriesAMessageThatIsNotIdempotentButNeverRan) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e"), MakeEndpointRecord("f")});
  policy.Accept(0s, "a", kNotIdempotentClass);
  policy.Complete(100ms, "a", Outcome::kConnectFailed);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a");
}

TEST(Retry, RetriesAMessageWithKeyOnlyWithinItsDeduplicationWindow) {
  PolicyDriver policy;
  policy.UpdateEndpoints(0s, {MakeEndpointRecord("e")});
  policy.Accept(0s, "a", kWithKeyClass);
  policy.Complete(1s, "a", Outcome::kError);
  EXPECT_EQ(policy.IdsOf<StartAttempt>(), "a");
  // The deduplication window starts with the first attempt, not with the last.
  policy.Complete(5500ms, "a", Outcome::kError);
  for (Time t = 5500ms; t < 21s; t += 50ms) {
    policy.Process(t);
    EXPECT_EQ(policy.IdsOf<StartAttempt>(), "");
  }
}

// A dispatcher whose timers fire seconds late gives the final answers that fall due in the next such gap
// before it.
TEST(FinalAnswer, IsGivenEarlierWhereTimersHaveFiredLate) {
  PolicyDriver policy;
  policy.Accept(0s, "a", kIdempotentClass, 1s);
  ASSERT_EQ(policy.ActionsOf<ScheduleTimer>().size(), 1u);
  policy.Process(3s, {TimerFired{}, PolicyDriver::Accepted("b", kIdempotentClass, 10s)});
  policy.Process(11300ms, {TimerFired{}});  // the deadline of "b" is at 13 s
  EXPECT_EQ(policy.IdsOf<RejectMessage>(), "b");
}

}  // namespace
}  // namespace sagetally
