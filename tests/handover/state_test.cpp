// Tests the encoding of the handover state, and what the successor's dispatch policy learns from its replay.
// No I/O.
#include <gtest/gtest.h>

#include "../policy/policy_driver.h"
#include "core/attempt_history.h"
#include "core/policy_message_id.h"
#include "handover/handover_state.h"
#include "handover/state_replay.h"

namespace sagetally {
namespace {

CompletedAttempt MakeAttempt(Time sent_at, Time completed_at, Outcome outcome, Duration retry_after = 0s) {
  CompletedAttempt attempt;
  attempt.sent_at = sent_at;
  attempt.completed_at = completed_at;
  attempt.deadline = sent_at + 20s;
  attempt.destination = 1;
  attempt.attempts = 1;
  attempt.endpoint = "e1";
  attempt.outcome = outcome;
  attempt.retry_after = retry_after;
  return attempt;
}

// The state at 100 s, with one endpoint, which rejected a call at 99 s and requested a pause of 3 s.
HandoverState MakeState() {
  HandoverState state;
  state.now = {100s, 50s, 9};
  state.class_names = {"safe", "keyed", "unsafe"};
  state.endpoint_list_revision = 41;
  EndpointUpdate endpoint;
  endpoint.record = MakeEndpointRecord("e1", 0, 1, 10);
  endpoint.address = "127.0.0.1:1";
  state.endpoints = {endpoint};
  state.recent_attempts = {MakeAttempt(98s, 99s, Outcome::kRejected, 3s)};
  state.recent_attempts[0].load_report = {0.5, 25};
  state.in_flight_calls = {{7, "e1", 99s, Time(97s), "e2"}, {8, "e1", 99s, {}, ""}};
  return state;
}

HandoverState MakeStateWithoutAttempts() {
  HandoverState state = MakeState();
  state.recent_attempts.clear();
  return state;
}

TEST(HandoverStateCodec, RoundTrips) {
  const HandoverState state = MakeState();
  const std::string bytes = EncodeHandoverState(state);
  const auto decoded = DecodeHandoverState(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->now, state.now);
  EXPECT_EQ(decoded->class_names, state.class_names);
  EXPECT_EQ(decoded->endpoint_list_revision, 41);
  EXPECT_EQ(decoded->recent_attempts.size(), 1U);
  EXPECT_EQ(decoded->in_flight_calls.size(), 2U);
  ASSERT_EQ(decoded->endpoints.size(), 1U);
  EXPECT_EQ(decoded->endpoints[0].address, "127.0.0.1:1");
  EXPECT_EQ(decoded->endpoints[0].record.rate, 10);
  EXPECT_EQ(EncodeHandoverState(*decoded), bytes);
}

TEST(HandoverStateCodec, RejectsMalformedBytes) {
  const std::string bytes = EncodeHandoverState(MakeState());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(DecodeHandoverState(bytes.substr(0, length))) << "cut to " << length << " bytes";
  }
  EXPECT_FALSE(DecodeHandoverState(bytes + "x"));
  EXPECT_FALSE(DecodeHandoverState("\x63" + bytes.substr(1))) << "another version";
}

struct CallResultCodec : testing::Test {
  CallResultCodec() {
    result.message_number = 7;
    result.outcome = Outcome::kRejected;
    result.retry_after = 5ms;
  }

  CallResult result;
};

TEST_F(CallResultCodec, RoundTrips) {
  const auto decoded = DecodeCallResult(EncodeCallResult(result));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->message_number, 7U);
  EXPECT_EQ(decoded->outcome, Outcome::kRejected);
  EXPECT_EQ(decoded->retry_after, 5ms);
}

TEST_F(CallResultCodec, RejectsMalformedBytes) {
  const std::string bytes = EncodeCallResult(result);
  EXPECT_FALSE(DecodeCallResult(bytes.substr(1)));
  EXPECT_FALSE(DecodeCallResult(bytes + "x"));
  std::string unknown_outcome = bytes;
  unknown_outcome[sizeof(std::uint64_t)] = 99;
  EXPECT_FALSE(DecodeCallResult(unknown_outcome));
}

TEST(AttemptHistory, DropsAttemptsOlderThanAMinuteOrBeyondTheMaximumCount) {
  AttemptHistory history;
  for (int i = 0; i < 10'000; ++i) history.Add(MakeAttempt(i * 1ms, i * 1ms, Outcome::kOk));
  EXPECT_EQ(history.size(), AttemptHistory::kMaxAttempts);
  history.Add(MakeAttempt(200s, 200s, Outcome::kOk));
  EXPECT_EQ(history.size(), 1U);
}

// A dispatch policy into which a handover state was replayed.
class SuccessorPolicy {
 public:
  explicit SuccessorPolicy(const HandoverState& state, const MessageTable& messages = MessageTable())
      : policy_(SmallSettings(), /*seed=*/3) {
    Time last{0};
    ReplayHandoverState(state, {"safe", "keyed", "unsafe"}, /*kind_count=*/3, messages,
                        [&](Time now, const std::vector<Event>& events) {
                          EXPECT_GE(now, last);
                          EXPECT_LE(now, state.now.wall_time);
                          last = now;
                          Process(now, events);
                        });
  }
  // Runs the policy once and returns the ids of the messages that it sends.
  std::vector<std::string> Process(Time now, const std::vector<Event>& events) {
    std::vector<Action> actions;
    policy_.Process(now, events, actions);
    std::vector<std::string> sent;
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) sent.push_back(attempt->id);
    }
    return sent;
  }
  int AvoidedEndpointCount() const { return policy_.AvoidedEndpointCount(); }

 private:
  DispatchPolicy policy_;
};

const std::vector<std::string> kOnlyMessageM = {"m"};

TEST(StateReplay, RetryAfterTimeFromBeforeTheHandoverIsRespected) {
  SuccessorPolicy policy(MakeState());
  EXPECT_TRUE(policy.Process(100s, {PolicyDriver::Accepted("m")}).empty());
  EXPECT_TRUE(policy.Process(101s + 900ms, {TimerFired{}}).empty());
  // After the 3 s the message is sent as soon as the recovery budget allows it.
  std::vector<std::string> sent;
  for (Time now = 102s; now < 104s && sent.empty(); now += 20ms) sent = policy.Process(now, {TimerFired{}});
  EXPECT_EQ(sent, kOnlyMessageM);
}

TEST(StateReplay, MessageIsSentImmediatelyIfThereWereNoAttemptsBeforeTheHandover) {
  SuccessorPolicy policy(MakeStateWithoutAttempts());
  EXPECT_EQ(policy.Process(100s, {PolicyDriver::Accepted("m")}), kOnlyMessageM);
}

TEST(StateReplay, OutlierFromBeforeTheHandoverIsAvoided) {
  HandoverState state = MakeStateWithoutAttempts();
  for (int i = 0; i < 10; ++i) {
    const Time sent_at = 90s + i * 1s;
    state.recent_attempts.push_back(MakeAttempt(sent_at, sent_at + 10ms, Outcome::kTimeout));
  }
  SuccessorPolicy policy(state);
  EXPECT_EQ(policy.AvoidedEndpointCount(), 1);
  EXPECT_TRUE(policy.Process(100s, {PolicyDriver::Accepted("m", kNotIdempotentClass)}).empty())
      << "an outlier gets no messages that can't be retried";
}

// Eight messages have a call in flight, as many as SmallSettings() allows. The endpoint of the last call is
// no longer listed.
struct InFlightReplay : testing::Test {
  static constexpr int kCalls = 8;

  InFlightReplay() {
    for (int i = 0; i < kCalls; ++i) {
      Message message;
      message.request.id = "out" + std::to_string(i);
      message.request.destination = 1;
      message.deadline = 110s;
      message.attempts = 2;
      message.is_in_flight = true;
      message.in_flight_since = 99s;
      message.in_flight_endpoint = i == kCalls - 1 ? "gone" : "e1";
      messages.Add(std::move(message));
    }
  }
  static AttemptCompleted Completed(std::uint64_t number) {
    AttemptCompleted event;
    event.id = ToPolicyMessageId(number);
    event.attempt = 1;
    event.message_ended = true;
    return event;
  }

  MessageTable messages;
};

TEST_F(InFlightReplay, CallsCountAgainstTheLimitUntilTheyCompleteAndFailedOnesAreRetried) {
  SuccessorPolicy policy(MakeStateWithoutAttempts(), messages);
  EXPECT_TRUE(policy.Process(100s, {PolicyDriver::Accepted("m")}).empty());
  EXPECT_EQ(policy.Process(100s + 1ms, {Completed(8)}), kOnlyMessageM);
  for (std::uint64_t number = 2; number <= 7; ++number) policy.Process(100s + 1ms, {Completed(number)});

  AttemptCompleted failed = Completed(1);
  failed.message_ended = false;
  failed.outcome = Outcome::kConnectFailed;
  std::vector<std::string> sent = policy.Process(100s + 2ms, {failed});
  for (int i = 0; i < 40 && sent.empty(); ++i) sent = policy.Process(101s + i * 100ms, {TimerFired{}});
  EXPECT_EQ(sent, std::vector<std::string>{ToPolicyMessageId(1)}) << "the third of six attempts";
}

}  // namespace
}  // namespace sagetally
