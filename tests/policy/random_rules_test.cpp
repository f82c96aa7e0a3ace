// Drives Step through long seeded sequences of legal events and checks the six rules from outside, with its
// own books. The outcomes are scripted by chance; it simulates no servers.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "../app/node.h"

namespace sagetally {
namespace {

struct Flight {
  Time due{0};
  AttemptCompleted end;
};

struct Known {  // the books on one message
  int cls = 0, destination = 0, attempts = 0;
  std::uint64_t taken = 0;
  Time deadline{0};
  std::string key;
  bool out = false, over = false;
  std::optional<Time> may_have_run;
};

class Books {
 public:
  Books(std::uint64_t seed, Settings s) : s_(s), sender_(s, seed), random_(seed) {}

  void Run() {
    for (int d = 0; d < 4; ++d) {
      for (int e = 0; e < 2; ++e) {
        const std::string id = "e" + std::to_string(d) + std::to_string(e);
        entries_.push_back(At(id, d % 3, d, 4));
        up_[id] = true;
      }
    }
    Time wake = Time::max();
    for (Time now = 0s; now < 60s; now += 5ms) {
      std::vector<Event> events;
      if (now == 0s)
        events.push_back(
            EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = entries_});
      if (Chance(0.002)) Toggle(now, events);
      if (Chance(0.002)) mood_[Pick(4)] = Pick(4);
      if (now < 30s && Chance(0.15)) Take(now, events);
      if (Chance(0.001) && !known_.empty()) Withdraw(events);
      for (auto at = flights_.begin(); at != flights_.end();) {
        if (at->due > now) {
          ++at;
          continue;
        }
        Land(now, *at, events);
        at = flights_.erase(at);
      }
      for (auto& [id, m] : known_) {
        if (!m.over) {
          ASSERT_LE(now, m.deadline + s_.response_slack) << "no answer in time: " << id;
        }
      }
      if (now >= wake) {
        events.push_back(TimerFired{});
        wake = Time::max();
      }
      if (events.empty()) continue;
      std::vector<Action> actions;
      sender_.Process(now, events, actions);
      for (const auto& [id, t] : waits_told_) waits_[id] = std::max(waits_[id], t);
      waits_told_.clear();
      calls_now_.clear();
      for (const Action& action : actions) {
        if (const auto* send = std::get_if<StartAttempt>(&action)) Check(now, *send);
        if (const auto* refuse = std::get_if<RejectMessage>(&action)) Check(now, *refuse);
        if (const auto* fail = std::get_if<FailMessage>(&action)) End(now, fail->id);
        if (const auto* cancel = std::get_if<CancelAttempt>(&action)) CallOff(now, *cancel);
        if (const auto* w = std::get_if<ScheduleTimer>(&action)) wake = std::min(wake, now + w->delay);
        if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
          CheckReach(now, probe->endpoint, false);
          EXPECT_TRUE(s_.health_checks_allowed);
          flights_.push_back({now + 50ms, {}});
          flights_.back().end.id = "probe " + probe->endpoint;
        }
        if (::testing::Test::HasFatalFailure()) return;
      }
    }
    EXPECT_GT(known_.size(), 300u);
    EXPECT_GT(delivered_, 50);
    for (const auto& [id, m] : known_) EXPECT_TRUE(m.over) << id;
  }

 private:
  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  std::string LaneOf(const std::string& e) const { return e[1] == '1' ? e : e.substr(0, 2); }

  void Toggle(Time now, std::vector<Event>& events) {
    EndpointRecord entry = entries_[static_cast<std::size_t>(Pick(static_cast<int>(entries_.size())))];
    up_[entry.endpoint] = !up_[entry.endpoint];
    if (!up_[entry.endpoint]) {
      entry.state = Chance(0.5) ? EndpointRecord::State::kDraining : EndpointRecord::State::kRemoved;
    }
    told_down_[entry.endpoint] = now;
    events.push_back(EndpointListUpdated{.endpoints = {entry}});
  }

  void Take(Time now, std::vector<Event>& events) {
    const std::string id = "m" + std::to_string(known_.size());
    Known m;
    m.cls = Pick(3);
    m.destination = Pick(4);
    m.taken = known_.size();
    const Duration left = s_.classes[m.cls].deadline - milliseconds_(Chance(0.2) ? Pick(9000) : 0);
    m.deadline = now + left;
    if (s_.classes[m.cls].ordered_by_key) m.key = "k" + std::to_string(Pick(6));
    events.push_back(Node::Taken(id, m.cls, left, m.key, m.destination));
    known_[id] = m;
  }
  static Duration milliseconds_(int n) { return std::chrono::milliseconds(n); }

  void Withdraw(std::vector<Event>& events) {
    auto at = known_.begin();
    std::advance(at, Pick(static_cast<int>(known_.size())));
    at->second.over = true;
    events.push_back(MessageWithdrawn{at->first});
  }

  void Land(Time now, Flight& flight, std::vector<Event>& events) {
    if (flight.end.id.rfind("probe ", 0) == 0) {
      failures_[flight.end.id.substr(6)] = 0;
      reached_[flight.end.id.substr(6)].clear();
      events.push_back(HealthCheckCompleted{flight.end.id.substr(6), Outcome::kOk, 50ms, {}});
      return;
    }
    Known& m = known_[flight.end.id];
    m.out = false;
    const Outcome o = flight.end.outcome;
    if (o == Outcome::kOk) {
      answered_.emplace_back(endpoint_[flight.end.id], sent_[flight.end.id]);
      if (!m.over) ++delivered_;
      m.over = true;
    }
    flight.end.message_ended = m.over;
    if (o == Outcome::kError || o == Outcome::kTimeout || o == Outcome::kReset || o == Outcome::kCancelled) {
      if (!m.may_have_run) m.may_have_run = sent_[flight.end.id];
      if (o != Outcome::kError && !m.key.empty()) quiet_[m.key] = {now + s_.key_quiet_time, flight.end.id};
    }
    if (flight.end.retry_after > 0ms) {
      const std::string lane = LaneOf(endpoint_[flight.end.id]);
      waits_told_.push_back({lane, now + flight.end.retry_after});
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
    events.push_back(flight.end);
  }

  void CallOff(Time now, const CancelAttempt& cancel) {
    const Known& m = known_.at(cancel.id);
    ASSERT_TRUE(s_.cancellation_allowed && m.out);
    ASSERT_EQ(cancel.attempt, m.attempts - 1);
    const auto later = std::ranges::count_if(answered_, [&](const auto& call) {
      return call.first == endpoint_[cancel.id] && call.second > sent_[cancel.id];
    });
    ASSERT_GE(later, s_.classes[m.cls].idempotency == Idempotency::kNotIdempotent ? 4 : 2)
        << "given up without evidence";
    for (Flight& flight : flights_) {
      if (flight.end.id != cancel.id) continue;
      flight.due = now + 10ms;
      flight.end.outcome = Outcome::kCancelled;
      flight.end.retry_after = 0ms;
    }
  }

  void CheckReach(Time now, const std::string& endpoint, bool same_call) {
    const auto wait = waits_.find(LaneOf(endpoint));
    if (wait != waits_.end()) {
      ASSERT_LE(wait->second, now) << "wait not heeded";
    }
    if (!up_[endpoint]) {
      ASSERT_LE(now, told_down_[endpoint]) << "drain not kept";
    }
    ASSERT_TRUE(up_[endpoint]);
    if (same_call || failures_[endpoint] < 2) return;
    // Fail-back: after the second failed call in a row and until a call or probe succeeds.
    // A listed endpoint's part of the rate grows while the other one of its destination is not.
    const std::string other = endpoint.substr(0, 2) + (endpoint[2] == '0' ? "1" : "0");
    const auto changed = told_down_.find(other);
    const bool lone = !up_[other] || (changed != told_down_.end() && now < changed->second + 6s);
    const double rate = LaneOf(endpoint) == endpoint || lone ? 4.0 : 2.0;
    // Of all senders: one that has all the traffic may use it all (decide_test counts them together).
    const double budget = s_.cold_capacity_fraction * s_.overload_multiple * rate * 3.0;
    std::vector<Time>& reached = reached_[endpoint];
    reached.push_back(now);
    const auto in_window =
        std::count_if(reached.begin(), reached.end(), [&](Time t) { return t > now - 3s; });
    // Credit is kept by destination, and chance may send both endpoints' part to one: the rule grants three
    // more.
    ASSERT_LE(static_cast<double>(in_window), 1 + std::ceil(budget)) << "pushed over " << endpoint;
  }

  void Check(Time now, const StartAttempt& send) {
    Known& m = known_.at(send.id);
    ASSERT_FALSE(m.over) << "sent after its end";
    ASSERT_FALSE(m.out) << "two attempts out";
    ASSERT_EQ(send.endpoint[1] - '0', m.destination);
    const ClassSettings& c = s_.classes[m.cls];
    if (m.may_have_run) {
      ASSERT_NE(c.idempotency, Idempotency::kNotIdempotent) << "effect twice";
      if (c.idempotency == Idempotency::kIdempotentWithKey) {
        ASSERT_LE(now, *m.may_have_run + c.deduplication_window) << "key forgotten";
      }
    }
    if (!m.key.empty()) {
      for (const auto& [id, other] : known_) {
        if (other.key == m.key && other.taken < m.taken) {
          ASSERT_FALSE(!other.over || other.out) << "order";
        }
      }
      const auto quiet = quiet_.find(m.key);
      if (quiet != quiet_.end() && quiet->second.second != send.id) {
        ASSERT_LE(quiet->second.first, now);
      }
    }
    const int most = s_.kinds[m.destination % 3].max_batch_size;
    auto& [call, members] = calls_now_[send.endpoint];
    const bool same = members > 0 && members < most;
    if (!same) {
      call = ++calls_;
      members = 0;
      ++calls_out_;
    }
    ++members;
    ASSERT_LE(calls_out_, s_.max_concurrent_calls) << "beyond the slots";
    CheckReach(now, send.endpoint, same);
    if (::testing::Test::HasFatalFailure()) return;
    m.out = true;
    ASSERT_LE(++m.attempts, s_.max_attempts);
    sent_[send.id] = now;
    endpoint_[send.id] = send.endpoint;
    call_of_[send.id] = call;
    call_members_[call] += 1;
    // One fate for a call: drawn by its first member.
    if (!same) fate_[call] = Draw(m.destination);
    AttemptCompleted end = fate_[call];
    end.id = send.id;
    end.attempt = m.attempts - 1;
    if (end.latency >= send.timeout) {
      end.latency = send.timeout;
      end.outcome = Outcome::kTimeout;
      end.retry_after = 0ms;
    }
    flights_.push_back({now + end.latency, end});
  }

  AttemptCompleted Draw(int destination) {
    AttemptCompleted end;
    end.latency = milliseconds_(20 + Pick(300));
    switch (mood_[destination]) {
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
          end.retry_after = milliseconds_(Chance(0.5) ? 0 : Pick(900));
        }
        break;
      default:
        if (Chance(0.05)) end.outcome = Outcome::kError;
    }
    return end;
  }

  void Check(Time now, const RejectMessage& refuse) {
    const Known& m = known_.at(refuse.id);
    if (m.may_have_run) {
      ASSERT_NE(s_.classes[m.cls].idempotency, Idempotency::kNotIdempotent) << "refused what may have run";
    }
    End(now, refuse.id);
  }
  void End(Time now, const std::string& id) {
    Known& m = known_.at(id);
    ASSERT_FALSE(m.over) << "two final answers";
    ASSERT_FALSE(m.out) << "answered while out";
    ASSERT_LE(now, m.deadline + s_.response_slack);
    m.over = true;
  }

  Settings s_;
  DispatchPolicy sender_;
  std::mt19937_64 random_;
  std::vector<EndpointRecord> entries_;
  std::map<std::string, bool> up_;
  std::map<std::string, Time> told_down_, sent_, waits_;
  std::vector<std::pair<std::string, Time>> answered_;  // by which endpoint, and when the call was sent
  std::vector<std::pair<std::string, Time>> waits_told_;
  std::map<int, int> mood_;
  std::map<std::string, Known> known_;
  std::map<std::string, std::string> endpoint_;
  std::map<std::string, std::pair<Time, std::string>> quiet_;
  std::map<std::string, int> failures_;
  std::map<std::string, std::vector<Time>> reached_;
  std::vector<Flight> flights_;
  std::map<std::string, int> call_of_;
  std::map<int, int> call_members_;
  std::map<int, AttemptCompleted> fate_;
  std::set<int> failed_call_;
  std::map<std::string, std::pair<int, int>> calls_now_;
  int calls_ = 0, calls_out_ = 0, delivered_ = 0;
};

class RandomRules : public ::testing::TestWithParam<int> {};

TEST_P(RandomRules, AreKept) {
  Settings s = SmallSettings();
  const auto seed = static_cast<std::uint64_t>(GetParam());
  s.dispatcher_count = 1 + GetParam() % 3;
  s.max_concurrent_calls = 2 + GetParam() % 7;
  s.classes[kUnsafeClass].ordered_by_key = GetParam() % 2 == 0;
  s.key_quiet_time = GetParam() % 4 == 0 ? 400ms : 0ms;
  s.health_checks_allowed = GetParam() % 5 != 0;
  s.cancellation_allowed = GetParam() % 2 != 0;
  Books(seed, s).Run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomRules, ::testing::Range(1, 31));

TEST(Determinism, SameEventsSameActionsWhateverElseRuns) {
  const auto play = [](Node& node, Node* other) {
    std::string told;
    for (int i = 0; i < 200; ++i) {
      std::vector<Event> events;
      if (i == 0)
        events.push_back(EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                             .endpoints = {At("e"), At("f")}});
      for (const std::string& id : {node.Ids<StartAttempt>()}) {
        if (!id.empty()) events.push_back(node.Ended(id, i % 3 ? Outcome::kReset : Outcome::kOk));
      }
      events.push_back(Node::Taken("m" + std::to_string(i), i % 2));
      node.Step(i * 400ms, events);
      if (other != nullptr) other->Take(i * 400ms, "x" + std::to_string(i));
      told +=
          node.Ids<StartAttempt>() + "/" + node.Ids<RejectMessage>() + "/" + node.Ids<FailMessage>() + ";";
      for (const ScheduleTimer& wake : node.All<ScheduleTimer>())
        told += std::to_string(wake.delay.count()) + ",";
      if (node.All<StartAttempt>().size() > 1) return told;  // the script answers one at a time
    }
    return told;
  };
  Node alone, beside, other;
  EXPECT_EQ(play(alone, nullptr), play(beside, &other));
}

}  // namespace
}  // namespace sagetally
