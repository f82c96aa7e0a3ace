// Runs the policy on long seeded sequences of legal events and checks from outside, with records of its own,
// that the policy keeps its rules. The outcomes of calls are random; no servers are simulated.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "policy_driver.h"

namespace sagetally {
namespace {

// An attempt in flight: when it ends, and how.
struct AttemptInFlight {
  Time ends_at{0};
  AttemptCompleted completed;
};

// What the checker knows of one message.
struct MessageRecord {
  int message_class = 0, destination = 0, attempts = 0;
  std::uint64_t sequence = 0;
  Time deadline{0};
  std::string key;
  bool in_flight = false, has_ended = false;
  std::optional<Time> uncertain_since;
};

class RuleChecker {
 public:
  RuleChecker(std::uint64_t seed, const Settings& settings)
      : settings_(settings), policy_(settings, seed), random_(seed) {}

  // Runs the policy for 60 s and checks each action. The id of an endpoint is "e", the number of its
  // destination (0 to 3) and its own number (0 or 1). The kind of the destination is its number modulo 3.
  void Run() {
    for (int destination = 0; destination < 4; ++destination) {
      for (int number = 0; number < 2; ++number) {
        const std::string id = "e" + std::to_string(destination) + std::to_string(number);
        endpoints_.push_back(MakeEndpointRecord(id, destination % 3, destination, 4));
        up_[id] = true;
      }
    }
    Time wake_at = Time::max();
    for (Time now = 0s; now < 60s; now += 5ms) {
      std::vector<Event> events;
      if (now == 0s) {
        events.emplace_back(
            EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = endpoints_});
      }
      if (Chance(0.002)) Toggle(now, events);
      if (Chance(0.002)) behaviour_[Pick(4)] = Pick(4);
      if (now < 30s && Chance(0.15)) Accept(now, events);
      if (Chance(0.001) && !known_.empty()) Withdraw(events);
      for (auto entry = in_flight_.begin(); entry != in_flight_.end();) {
        if (entry->ends_at > now) {
          ++entry;
          continue;
        }
        Complete(now, *entry, events);
        entry = in_flight_.erase(entry);
      }
      for (auto& [id, m] : known_) {
        if (!m.has_ended) {
          ASSERT_LE(now, m.deadline + settings_.response_slack) << "no answer in time: " << id;
        }
      }
      if (now >= wake_at) {
        events.emplace_back(TimerFired{});
        wake_at = Time::max();
      }
      if (events.empty()) continue;
      std::vector<Action> actions;
      policy_.Process(now, events, actions);
      for (const auto& [scope, until] : new_pauses_) {
        retry_after_until_[scope] = std::max(retry_after_until_[scope], until);
      }
      new_pauses_.clear();
      new_calls_.clear();
      for (const Action& action : actions) {
        if (const auto* attempt = std::get_if<StartAttempt>(&action)) Check(now, *attempt);
        if (const auto* rejection = std::get_if<RejectMessage>(&action)) Check(now, *rejection);
        if (const auto* failure = std::get_if<FailMessage>(&action)) End(now, failure->id);
        if (const auto* cancel = std::get_if<CancelAttempt>(&action)) Cancel(now, *cancel);
        if (const auto* timer = std::get_if<ScheduleTimer>(&action)) {
          wake_at = std::min(wake_at, now + timer->delay);
        }
        if (const auto* check = std::get_if<StartHealthCheck>(&action)) {
          CheckMaySendTo(now, check->endpoint, false);
          EXPECT_TRUE(settings_.health_checks_allowed);
          in_flight_.push_back({now + 50ms, {}});
          in_flight_.back().completed.id = "probe " + check->endpoint;
        }
        if (::testing::Test::HasFatalFailure()) return;
      }
    }
    EXPECT_GT(known_.size(), 300u);
    EXPECT_GT(delivered_, 50);
    for (const auto& [id, m] : known_) EXPECT_TRUE(m.has_ended) << id;
  }

 private:
  // True with the given probability.
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  // A random number from 0 to n - 1.
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  // The rate-limit scope of an endpoint. Destination 1 is of the kind whose endpoints have limits of their
  // own.
  std::string ScopeOf(const std::string& endpoint) const {
    return endpoint[1] == '1' ? endpoint : endpoint.substr(0, 2);
  }

  // Puts a random endpoint into the list, or lets it drain or be removed.
  void Toggle(Time now, std::vector<Event>& events) {
    EndpointRecord record = endpoints_[static_cast<std::size_t>(Pick(static_cast<int>(endpoints_.size())))];
    up_[record.endpoint] = !up_[record.endpoint];
    if (!up_[record.endpoint]) {
      record.state = Chance(0.5) ? EndpointRecord::State::kDraining : EndpointRecord::State::kRemoved;
    }
    changed_at_[record.endpoint] = now;
    events.emplace_back(EndpointListUpdated{.endpoints = {record}});
  }

  void Accept(Time now, std::vector<Event>& events) {
    const std::string id = "m" + std::to_string(known_.size());
    MessageRecord m;
    m.message_class = Pick(3);
    m.destination = Pick(4);
    m.sequence = known_.size();
    const Duration time_left =
        settings_.classes[m.message_class].deadline - Milliseconds(Chance(0.2) ? Pick(9000) : 0);
    m.deadline = now + time_left;
    if (settings_.classes[m.message_class].ordered_by_key) m.key = "k" + std::to_string(Pick(6));
    events.emplace_back(PolicyDriver::Accepted(id, m.message_class, time_left, m.key, m.destination));
    known_[id] = m;
  }
  static Duration Milliseconds(int n) { return std::chrono::milliseconds(n); }

  void Withdraw(std::vector<Event>& events) {
    auto entry = known_.begin();
    std::advance(entry, Pick(static_cast<int>(known_.size())));
    entry->second.has_ended = true;
    events.emplace_back(MessageWithdrawn{entry->first});
  }

  void Complete(Time now, AttemptInFlight& flight, std::vector<Event>& events) {
    if (flight.completed.id.rfind("probe ", 0) == 0) {
      failures_[flight.completed.id.substr(6)] = 0;
      reached_[flight.completed.id.substr(6)].clear();
      events.emplace_back(HealthCheckCompleted{flight.completed.id.substr(6), Outcome::kOk, 50ms, {}});
      return;
    }
    MessageRecord& m = known_[flight.completed.id];
    m.in_flight = false;
    const Outcome outcome = flight.completed.outcome;
    if (outcome == Outcome::kOk) {
      answered_.emplace_back(endpoint_[flight.completed.id], sent_[flight.completed.id]);
      if (!m.has_ended) ++delivered_;
      m.has_ended = true;
    }
    flight.completed.message_ended = m.has_ended;
    if (outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kReset ||
        outcome == Outcome::kCancelled) {
      if (!m.uncertain_since) m.uncertain_since = sent_[flight.completed.id];
      if (outcome != Outcome::kError && !m.key.empty()) {
        quiet_[m.key] = {now + settings_.key_quiet_time, flight.completed.id};
      }
    }
    if (flight.completed.retry_after > 0ms) {
      const std::string scope = ScopeOf(endpoint_[flight.completed.id]);
      new_pauses_.emplace_back(scope, now + flight.completed.retry_after);
    }
    // A call has ended when the attempts for all its messages have.
    const auto call = call_of_[flight.completed.id];
    if (--messages_of_call_[call] == 0) --calls_in_flight_;
    if (outcome == Outcome::kConnectFailed) {
      failures_[endpoint_[flight.completed.id]] += failed_call_.insert(call).second ? 1 : 0;
    } else if (outcome == Outcome::kOk) {
      failures_[endpoint_[flight.completed.id]] = 0;
      reached_[endpoint_[flight.completed.id]].clear();
    }
    events.emplace_back(flight.completed);
  }

  void Cancel(Time now, const CancelAttempt& cancel) {
    const MessageRecord& m = known_.at(cancel.id);
    ASSERT_TRUE(settings_.cancellation_allowed && m.in_flight);
    ASSERT_EQ(cancel.attempt, m.attempts - 1);
    const auto later_answers = std::ranges::count_if(answered_, [&](const auto& call) {
      return call.first == endpoint_[cancel.id] && call.second > sent_[cancel.id];
    });
    ASSERT_GE(later_answers,
              settings_.classes[m.message_class].idempotency == Idempotency::kNotIdempotent ? 4 : 2)
        << "cancelled without evidence";
    for (AttemptInFlight& flight : in_flight_) {
      if (flight.completed.id != cancel.id) continue;
      flight.ends_at = now + 10ms;
      flight.completed.outcome = Outcome::kCancelled;
      flight.completed.retry_after = 0ms;
    }
  }

  // Checks that something may be sent to the endpoint. A message that shares a call with an earlier one is
  // not counted against the recovery budget.
  void CheckMaySendTo(Time now, const std::string& endpoint, bool shares_call) {
    const auto pause = retry_after_until_.find(ScopeOf(endpoint));
    if (pause != retry_after_until_.end()) {
      ASSERT_LE(pause->second, now) << "Retry-After ignored";
    }
    if (!up_[endpoint]) {
      ASSERT_LE(now, changed_at_[endpoint]) << "sent to a draining endpoint";
    }
    ASSERT_TRUE(up_[endpoint]);
    if (shares_call || failures_[endpoint] < 2) return;
    // The recovery budget is checked from the second failed call in a row until a call or a health check
    // succeeds. An endpoint has a larger part of the destination's rate while the other endpoint of the
    // destination is not in the list.
    const std::string other = endpoint.substr(0, 2) + (endpoint[2] == '0' ? "1" : "0");
    const auto changed = changed_at_.find(other);
    const bool is_alone = !up_[other] || (changed != changed_at_.end() && now < changed->second + 6s);
    const double rate = ScopeOf(endpoint) == endpoint || is_alone ? 4.0 : 2.0;
    // This is the budget of all dispatchers together. One that has all the traffic may use all of it.
    // recovery_budget_test counts the calls of several dispatchers together.
    const double budget = settings_.cold_capacity_fraction * settings_.overload_multiple * rate * 3.0;
    std::vector<Time>& reached = reached_[endpoint];
    reached.push_back(now);
    const auto in_window =
        std::count_if(reached.begin(), reached.end(), [&](Time t) { return t > now - 3s; });
    // The budget is that of the destination, and by chance the parts of both endpoints may go to one of them.
    // The overload rule allows three more calls.
    ASSERT_LE(static_cast<double>(in_window), 1 + std::ceil(budget)) << "overloaded " << endpoint;
  }

  void Check(Time now, const StartAttempt& attempt) {
    MessageRecord& m = known_.at(attempt.id);
    ASSERT_FALSE(m.has_ended) << "sent after its final answer";
    ASSERT_FALSE(m.in_flight) << "two attempts in flight";
    ASSERT_EQ(attempt.endpoint[1] - '0', m.destination);
    const ClassSettings& c = settings_.classes[m.message_class];
    if (m.uncertain_since) {
      ASSERT_NE(c.idempotency, Idempotency::kNotIdempotent) << "sent again after it may have run";
      if (c.idempotency == Idempotency::kIdempotentWithKey) {
        ASSERT_LE(now, *m.uncertain_since + c.deduplication_window) << "sent after the deduplication window";
      }
    }
    if (!m.key.empty()) {
      for (const auto& [id, other] : known_) {
        if (other.key == m.key && other.sequence < m.sequence) {
          ASSERT_FALSE(!other.has_ended || other.in_flight) << "sent out of order";
        }
      }
      const auto quiet = quiet_.find(m.key);
      if (quiet != quiet_.end() && quiet->second.second != attempt.id) {
        ASSERT_LE(quiet->second.first, now);
      }
    }
    const int max_batch_size = settings_.kinds[m.destination % 3].max_batch_size;
    auto& [call, message_count] = new_calls_[attempt.endpoint];
    const bool shares_call = message_count > 0 && message_count < max_batch_size;
    if (!shares_call) {
      call = ++calls_;
      message_count = 0;
      ++calls_in_flight_;
    }
    ++message_count;
    ASSERT_LE(calls_in_flight_, settings_.max_concurrent_calls) << "beyond the limit of concurrent calls";
    CheckMaySendTo(now, attempt.endpoint, shares_call);
    if (::testing::Test::HasFatalFailure()) return;
    m.in_flight = true;
    ASSERT_LE(++m.attempts, settings_.max_attempts);
    sent_[attempt.id] = now;
    endpoint_[attempt.id] = attempt.endpoint;
    call_of_[attempt.id] = call;
    messages_of_call_[call] += 1;
    // All messages of a call have the same outcome. It is drawn with the first one.
    if (!shares_call) call_outcome_[call] = DrawOutcome(m.destination);
    AttemptCompleted completed = call_outcome_[call];
    completed.id = attempt.id;
    completed.attempt = m.attempts - 1;
    if (completed.latency >= attempt.timeout) {
      completed.latency = attempt.timeout;
      completed.outcome = Outcome::kTimeout;
      completed.retry_after = 0ms;
    }
    in_flight_.push_back({now + completed.latency, completed});
  }

  // Draws a random outcome by the present behaviour of the destination.
  AttemptCompleted DrawOutcome(int destination) {
    AttemptCompleted completed;
    completed.latency = Milliseconds(20 + Pick(300));
    switch (behaviour_[destination]) {
      case 1:
        completed.outcome = Chance(0.5) ? Outcome::kError : Outcome::kReset;
        break;
      case 2:
        completed.outcome = Outcome::kConnectFailed;
        break;
      case 3:
        if (Chance(0.5)) completed.latency = 100s;
        if (Chance(0.5)) {
          completed.outcome = Outcome::kRejected;
          completed.retry_after = Milliseconds(Chance(0.5) ? 0 : Pick(900));
        }
        break;
      default:
        if (Chance(0.05)) completed.outcome = Outcome::kError;
    }
    return completed;
  }

  void Check(Time now, const RejectMessage& rejection) {
    const MessageRecord& m = known_.at(rejection.id);
    if (m.uncertain_since) {
      ASSERT_NE(settings_.classes[m.message_class].idempotency, Idempotency::kNotIdempotent)
          << "rejected although it may have run";
    }
    End(now, rejection.id);
  }
  // Checks a final answer.
  void End(Time now, const std::string& id) {
    MessageRecord& m = known_.at(id);
    ASSERT_FALSE(m.has_ended) << "two final answers";
    ASSERT_FALSE(m.in_flight) << "answered while in flight";
    ASSERT_LE(now, m.deadline + settings_.response_slack);
    m.has_ended = true;
  }

  Settings settings_;
  DispatchPolicy policy_;
  std::mt19937_64 random_;
  std::vector<EndpointRecord> endpoints_;
  // By endpoint: whether it is up.
  std::map<std::string, bool> up_;
  // By endpoint: when its state last changed.
  std::map<std::string, Time> changed_at_;
  // By message: send time of the last attempt.
  std::map<std::string, Time> sent_;
  // By scope: before this time nothing may be sent there.
  std::map<std::string, Time> retry_after_until_;
  // Answered calls: the endpoint, and when the call was sent.
  std::vector<std::pair<std::string, Time>> answered_;
  // Scopes that asked for a pause in events that the policy has not seen yet, and the end of the pause.
  std::vector<std::pair<std::string, Time>> new_pauses_;
  // By destination: which outcomes DrawOutcome draws.
  std::map<int, int> behaviour_;
  // Messages by id.
  std::map<std::string, MessageRecord> known_;
  // By message: the endpoint of the last attempt.
  std::map<std::string, std::string> endpoint_;
  // By ordering key: until when it is quiet, and the message whose attempt may still run.
  std::map<std::string, std::pair<Time, std::string>> quiet_;
  // By endpoint: failed connections in a row.
  std::map<std::string, int> failures_;
  // By endpoint: when calls were sent there while it failed.
  std::map<std::string, std::vector<Time>> reached_;
  std::vector<AttemptInFlight> in_flight_;
  // By message: number of the call of the last attempt.
  std::map<std::string, int> call_of_;
  // By call: messages whose attempts are in flight.
  std::map<int, int> messages_of_call_;
  std::map<int, AttemptCompleted> call_outcome_;
  // Calls that failed to connect.
  std::set<int> failed_call_;
  // By endpoint: number and messages of the last call of the present run.
  std::map<std::string, std::pair<int, int>> new_calls_;
  int calls_ = 0, calls_in_flight_ = 0, delivered_ = 0;
};

class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, BreakNoRule) {
  Settings settings = SmallSettings();
  const auto seed = static_cast<std::uint64_t>(GetParam());
  settings.dispatcher_count = 1 + GetParam() % 3;
  settings.max_concurrent_calls = 2 + GetParam() % 7;
  settings.classes[kNotIdempotentClass].ordered_by_key = GetParam() % 2 == 0;
  settings.key_quiet_time = GetParam() % 4 == 0 ? 400ms : 0ms;
  settings.health_checks_allowed = GetParam() % 5 != 0;
  settings.cancellation_allowed = GetParam() % 2 != 0;
  RuleChecker(seed, settings).Run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(1, 31));

TEST(Determinism, SameEventsGiveTheSameActions) {
  const auto run_script = [](PolicyDriver& policy, PolicyDriver* other) {
    std::string actions;
    for (int i = 0; i < 200; ++i) {
      std::vector<Event> events;
      if (i == 0) {
        events.emplace_back(
            EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                .endpoints = {MakeEndpointRecord("e"), MakeEndpointRecord("f")}});
      }
      for (const std::string& id : {policy.IdsOf<StartAttempt>()}) {
        if (!id.empty()) events.emplace_back(policy.Completed(id, i % 3 ? Outcome::kReset : Outcome::kOk));
      }
      events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(i), i % 2));
      policy.Process(i * 400ms, events);
      if (other != nullptr) other->Accept(i * 400ms, "x" + std::to_string(i));
      actions += policy.IdsOf<StartAttempt>() + "/" + policy.IdsOf<RejectMessage>() + "/" +
                 policy.IdsOf<FailMessage>() + ";";
      for (const ScheduleTimer& timer : policy.ActionsOf<ScheduleTimer>()) {
        actions += std::to_string(timer.delay.count()) + ",";
      }
      // The script can complete only one attempt in a step.
      if (policy.ActionsOf<StartAttempt>().size() > 1) return actions;
    }
    return actions;
  };
  PolicyDriver alone;
  PolicyDriver beside;
  PolicyDriver other;
  EXPECT_EQ(run_script(alone, nullptr), run_script(beside, &other));
}

}  // namespace
}  // namespace sagetally
