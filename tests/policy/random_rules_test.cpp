// Runs the policy on long seeded sequences of legal events and checks its promises from outside, with records
// of its own. The outcomes are drawn by chance; no servers are simulated.
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

struct Flight {
  Time due{0};
  AttemptCompleted end;
};

struct MessageRecord {  // what the checker knows of one message
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

  void Run() {
    for (int d = 0; d < 4; ++d) {
      for (int e = 0; e < 2; ++e) {
        const std::string id = "e" + std::to_string(d) + std::to_string(e);
        entries_.push_back(EndpointAt(id, d % 3, d, 4));
        up_[id] = true;
      }
    }
    Time wake = Time::max();
    for (Time now = 0s; now < 60s; now += 5ms) {
      std::vector<Event> events;
      if (now == 0s) {
        events.emplace_back(
            EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = entries_});
      }
      if (Chance(0.002)) Toggle(now, events);
      if (Chance(0.002)) behaviour_[Pick(4)] = Pick(4);
      if (now < 30s && Chance(0.15)) Accept(now, events);
      if (Chance(0.001) && !known_.empty()) Withdraw(events);
      for (auto at = flights_.begin(); at != flights_.end();) {
        if (at->due > now) {
          ++at;
          continue;
        }
        Complete(now, *at, events);
        at = flights_.erase(at);
      }
      for (auto& [id, m] : known_) {
        if (!m.has_ended) {
          ASSERT_LE(now, m.deadline + settings_.response_slack) << "no answer in time: " << id;
        }
      }
      if (now >= wake) {
        events.emplace_back(TimerFired{});
        wake = Time::max();
      }
      if (events.empty()) continue;
      std::vector<Action> actions;
      policy_.Process(now, events, actions);
      for (const auto& [id, t] : new_waits_) retry_after_until_[id] = std::max(retry_after_until_[id], t);
      new_waits_.clear();
      calls_now_.clear();
      for (const Action& action : actions) {
        if (const auto* attempt = std::get_if<StartAttempt>(&action)) Check(now, *attempt);
        if (const auto* rejection = std::get_if<RejectMessage>(&action)) Check(now, *rejection);
        if (const auto* fail = std::get_if<FailMessage>(&action)) End(now, fail->id);
        if (const auto* cancel = std::get_if<CancelAttempt>(&action)) Cancel(now, *cancel);
        if (const auto* w = std::get_if<ScheduleTimer>(&action)) wake = std::min(wake, now + w->delay);
        if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
          CheckReach(now, probe->endpoint, false);
          EXPECT_TRUE(settings_.health_checks_allowed);
          flights_.push_back({now + 50ms, {}});
          flights_.back().end.id = "probe " + probe->endpoint;
        }
        if (::testing::Test::HasFatalFailure()) return;
      }
    }
    EXPECT_GT(known_.size(), 300u);
    EXPECT_GT(delivered_, 50);
    for (const auto& [id, m] : known_) EXPECT_TRUE(m.has_ended) << id;
  }

 private:
  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  std::string ScopeOf(const std::string& e) const { return e[1] == '1' ? e : e.substr(0, 2); }

  void Toggle(Time now, std::vector<Event>& events) {
    EndpointRecord entry = entries_[static_cast<std::size_t>(Pick(static_cast<int>(entries_.size())))];
    up_[entry.endpoint] = !up_[entry.endpoint];
    if (!up_[entry.endpoint]) {
      entry.state = Chance(0.5) ? EndpointRecord::State::kDraining : EndpointRecord::State::kRemoved;
    }
    removed_at_[entry.endpoint] = now;
    events.emplace_back(EndpointListUpdated{.endpoints = {entry}});
  }

  void Accept(Time now, std::vector<Event>& events) {
    const std::string id = "m" + std::to_string(known_.size());
    MessageRecord m;
    m.message_class = Pick(3);
    m.destination = Pick(4);
    m.sequence = known_.size();
    const Duration left =
        settings_.classes[m.message_class].deadline - Milliseconds(Chance(0.2) ? Pick(9000) : 0);
    m.deadline = now + left;
    if (settings_.classes[m.message_class].ordered_by_key) m.key = "k" + std::to_string(Pick(6));
    events.emplace_back(PolicyDriver::Accepted(id, m.message_class, left, m.key, m.destination));
    known_[id] = m;
  }
  static Duration Milliseconds(int n) { return std::chrono::milliseconds(n); }

  void Withdraw(std::vector<Event>& events) {
    auto at = known_.begin();
    std::advance(at, Pick(static_cast<int>(known_.size())));
    at->second.has_ended = true;
    events.emplace_back(MessageWithdrawn{at->first});
  }

  void Complete(Time now, Flight& flight, std::vector<Event>& events) {
    if (flight.end.id.rfind("probe ", 0) == 0) {
      failures_[flight.end.id.substr(6)] = 0;
      reached_[flight.end.id.substr(6)].clear();
      events.emplace_back(HealthCheckCompleted{flight.end.id.substr(6), Outcome::kOk, 50ms, {}});
      return;
    }
    MessageRecord& m = known_[flight.end.id];
    m.in_flight = false;
    const Outcome o = flight.end.outcome;
    if (o == Outcome::kOk) {
      answered_.emplace_back(endpoint_[flight.end.id], sent_[flight.end.id]);
      if (!m.has_ended) ++delivered_;
      m.has_ended = true;
    }
    flight.end.message_ended = m.has_ended;
    if (o == Outcome::kError || o == Outcome::kTimeout || o == Outcome::kReset || o == Outcome::kCancelled) {
      if (!m.uncertain_since) m.uncertain_since = sent_[flight.end.id];
      if (o != Outcome::kError && !m.key.empty()) {
        quiet_[m.key] = {now + settings_.key_quiet_time, flight.end.id};
      }
    }
    if (flight.end.retry_after > 0ms) {
      const std::string scope = ScopeOf(endpoint_[flight.end.id]);
      new_waits_.emplace_back(scope, now + flight.end.retry_after);
    }
    // The call itself is over when its last member is.
    const auto call = call_of_[flight.end.id];
    if (--call_members_[call] == 0) --calls_out_;
    if (o == Outcome::kConnectFailed) {
      failures_[endpoint_[flight.end.id]] += failed_call_.insert(call).second ? 1 : 0;
    } else if (o == Outcome::kOk) {
      failures_[endpoint_[flight.end.id]] = 0;
      reached_[endpoint_[flight.end.id]].clear();
    }
    events.emplace_back(flight.end);
  }

  void Cancel(Time now, const CancelAttempt& cancel) {
    const MessageRecord& m = known_.at(cancel.id);
    ASSERT_TRUE(settings_.cancellation_allowed && m.in_flight);
    ASSERT_EQ(cancel.attempt, m.attempts - 1);
    const auto later = std::ranges::count_if(answered_, [&](const auto& call) {
      return call.first == endpoint_[cancel.id] && call.second > sent_[cancel.id];
    });
    ASSERT_GE(later, settings_.classes[m.message_class].idempotency == Idempotency::kNotIdempotent ? 4 : 2)
        << "cancelled without evidence";
    for (Flight& flight : flights_) {
      if (flight.end.id != cancel.id) continue;
      flight.due = now + 10ms;
      flight.end.outcome = Outcome::kCancelled;
      flight.end.retry_after = 0ms;
    }
  }

  void CheckReach(Time now, const std::string& endpoint, bool same_call) {
    const auto wait = retry_after_until_.find(ScopeOf(endpoint));
    if (wait != retry_after_until_.end()) {
      ASSERT_LE(wait->second, now) << "Retry-After ignored";
    }
    if (!up_[endpoint]) {
      ASSERT_LE(now, removed_at_[endpoint]) << "sent to a draining endpoint";
    }
    ASSERT_TRUE(up_[endpoint]);
    if (same_call || failures_[endpoint] < 2) return;
    // Recovery budget: after the second failed call in a row and until a call or probe succeeds.
    // A listed endpoint's part of the rate grows while the other one of its destination is not.
    const std::string other = endpoint.substr(0, 2) + (endpoint[2] == '0' ? "1" : "0");
    const auto changed = removed_at_.find(other);
    const bool lone = !up_[other] || (changed != removed_at_.end() && now < changed->second + 6s);
    const double rate = ScopeOf(endpoint) == endpoint || lone ? 4.0 : 2.0;
    // Of all dispatchers: one that has all the traffic may use it all (recovery_budget_test counts them
    // together).
    const double budget = settings_.cold_capacity_fraction * settings_.overload_multiple * rate * 3.0;
    std::vector<Time>& reached = reached_[endpoint];
    reached.push_back(now);
    const auto in_window =
        std::count_if(reached.begin(), reached.end(), [&](Time t) { return t > now - 3s; });
    // The budget is kept by destination, and chance may send both endpoints' part to one: the rule grants
    // three more.
    ASSERT_LE(static_cast<double>(in_window), 1 + std::ceil(budget)) << "pushed over " << endpoint;
  }

  void Check(Time now, const StartAttempt& attempt) {
    MessageRecord& m = known_.at(attempt.id);
    ASSERT_FALSE(m.has_ended) << "sent after its end";
    ASSERT_FALSE(m.in_flight) << "two attempts in flight";
    ASSERT_EQ(attempt.endpoint[1] - '0', m.destination);
    const ClassSettings& c = settings_.classes[m.message_class];
    if (m.uncertain_since) {
      ASSERT_NE(c.idempotency, Idempotency::kNotIdempotent) << "effect twice";
      if (c.idempotency == Idempotency::kIdempotentWithKey) {
        ASSERT_LE(now, *m.uncertain_since + c.deduplication_window) << "key forgotten";
      }
    }
    if (!m.key.empty()) {
      for (const auto& [id, other] : known_) {
        if (other.key == m.key && other.sequence < m.sequence) {
          ASSERT_FALSE(!other.has_ended || other.in_flight) << "order";
        }
      }
      const auto quiet = quiet_.find(m.key);
      if (quiet != quiet_.end() && quiet->second.second != attempt.id) {
        ASSERT_LE(quiet->second.first, now);
      }
    }
    const int most = settings_.kinds[m.destination % 3].max_batch_size;
    auto& [call, members] = calls_now_[attempt.endpoint];
    const bool same = members > 0 && members < most;
    if (!same) {
      call = ++calls_;
      members = 0;
      ++calls_out_;
    }
    ++members;
    ASSERT_LE(calls_out_, settings_.max_concurrent_calls) << "beyond the call limit";
    CheckReach(now, attempt.endpoint, same);
    if (::testing::Test::HasFatalFailure()) return;
    m.in_flight = true;
    ASSERT_LE(++m.attempts, settings_.max_attempts);
    sent_[attempt.id] = now;
    endpoint_[attempt.id] = attempt.endpoint;
    call_of_[attempt.id] = call;
    call_members_[call] += 1;
    // A call has one outcome: drawn with its first message.
    if (!same) call_outcome_[call] = Draw(m.destination);
    AttemptCompleted end = call_outcome_[call];
    end.id = attempt.id;
    end.attempt = m.attempts - 1;
    if (end.latency >= attempt.timeout) {
      end.latency = attempt.timeout;
      end.outcome = Outcome::kTimeout;
      end.retry_after = 0ms;
    }
    flights_.push_back({now + end.latency, end});
  }

  AttemptCompleted Draw(int destination) {
    AttemptCompleted end;
    end.latency = Milliseconds(20 + Pick(300));
    switch (behaviour_[destination]) {
      case 1:
        end.outcome = Chance(0.5) ? Outcome::kError : Outcome::kReset;
        break;
      case 2:
        end.outcome = Outcome::kConnectFailed;
        break;
      case 3:
        if (Chance(0.5)) end.latency = 100s;
        if (Chance(0.5)) {
          end.outcome = Outcome::kRejected;
          end.retry_after = Milliseconds(Chance(0.5) ? 0 : Pick(900));
        }
        break;
      default:
        if (Chance(0.05)) end.outcome = Outcome::kError;
    }
    return end;
  }

  void Check(Time now, const RejectMessage& rejection) {
    const MessageRecord& m = known_.at(rejection.id);
    if (m.uncertain_since) {
      ASSERT_NE(settings_.classes[m.message_class].idempotency, Idempotency::kNotIdempotent)
          << "rejected what may have run";
    }
    End(now, rejection.id);
  }
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
  std::vector<EndpointRecord> entries_;
  std::map<std::string, bool> up_;
  std::map<std::string, Time> removed_at_, sent_, retry_after_until_;
  std::vector<std::pair<std::string, Time>> answered_;  // by which endpoint, and when the call was sent
  std::vector<std::pair<std::string, Time>> new_waits_;
  std::map<int, int> behaviour_;
  std::map<std::string, MessageRecord> known_;
  std::map<std::string, std::string> endpoint_;
  std::map<std::string, std::pair<Time, std::string>> quiet_;
  std::map<std::string, int> failures_;
  std::map<std::string, std::vector<Time>> reached_;
  std::vector<Flight> flights_;
  std::map<std::string, int> call_of_;
  std::map<int, int> call_members_;
  std::map<int, AttemptCompleted> call_outcome_;
  std::set<int> failed_call_;
  std::map<std::string, std::pair<int, int>> calls_now_;
  int calls_ = 0, calls_out_ = 0, delivered_ = 0;
};

class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, KeepEveryPromise) {
  Settings s = SmallSettings();
  const auto seed = static_cast<std::uint64_t>(GetParam());
  s.dispatcher_count = 1 + GetParam() % 3;
  s.max_concurrent_calls = 2 + GetParam() % 7;
  s.classes[kNotIdempotentClass].ordered_by_key = GetParam() % 2 == 0;
  s.key_quiet_time = GetParam() % 4 == 0 ? 400ms : 0ms;
  s.health_checks_allowed = GetParam() % 5 != 0;
  s.cancellation_allowed = GetParam() % 2 != 0;
  RuleChecker(seed, s).Run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(1, 31));

TEST(Determinism, SameEventsGiveTheSameActions) {
  const auto play = [](PolicyDriver& policy, PolicyDriver* other) {
    std::string actions;
    for (int i = 0; i < 200; ++i) {
      std::vector<Event> events;
      if (i == 0) {
        events.emplace_back(EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                                .endpoints = {EndpointAt("e"), EndpointAt("f")}});
      }
      for (const std::string& id : {policy.IdsOf<StartAttempt>()}) {
        if (!id.empty()) events.emplace_back(policy.Completed(id, i % 3 ? Outcome::kReset : Outcome::kOk));
      }
      events.emplace_back(PolicyDriver::Accepted("m" + std::to_string(i), i % 2));
      policy.Process(i * 400ms, events);
      if (other != nullptr) other->Accept(i * 400ms, "x" + std::to_string(i));
      actions += policy.IdsOf<StartAttempt>() + "/" + policy.IdsOf<RejectMessage>() + "/" +
                 policy.IdsOf<FailMessage>() + ";";
      for (const ScheduleTimer& wake : policy.ActionsOf<ScheduleTimer>()) {
        actions += std::to_string(wake.delay.count()) + ",";
      }
      if (policy.ActionsOf<StartAttempt>().size() > 1) return actions;  // the script answers one at a time
    }
    return actions;
  };
  PolicyDriver alone;
  PolicyDriver beside;
  PolicyDriver other;
  EXPECT_EQ(play(alone, nullptr), play(beside, &other));
}

}  // namespace
}  // namespace sagetally
