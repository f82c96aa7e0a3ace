// Simulates, in virtual time, what many dispatchers do together to one small destination. The policy must
// work for three dispatchers as well as for three hundred, so each test runs with both at the same total
// traffic.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>
#include <set>

#include "policy_driver.h"

namespace sagetally {
namespace {

struct Scenario {
  int dispatchers = 3;
  // Connections that the endpoint accepts, idle ones included.
  int connection_table_size = 11;
  // Calls that the endpoint answers in any half second. Rejected calls count too. 0: no limit.
  int call_limit = 0;
  // Messages a second from all clients.
  double arrival_rate = 18;
  // Calls a second in the endpoint list.
  double advertised_rate = 24;
  // From when to when, in seconds, connections fail.
  double down_from = -1, down_to = -1;
  // From when to when, in seconds, the limit is two fifths of call_limit.
  double lowered_from = -1, lowered_to = -1;
};

struct Totals {
  // Messages by class.
  std::array<int, 3> accepted{}, delivered{};
  // Calls, rejections by a full connection table, connections opened, calls while connections failed, and
  // calls that were not rejected while the limit was lowered.
  int calls = 0, table_full = 0, opened = 0, while_down = 0, while_lowered = 0;
  double DeliveredFraction(int message_class) const {
    return static_cast<double>(delivered[message_class]) / accepted[message_class];
  }
};

class Fleet {
 public:
  Fleet(Scenario scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
    Settings settings = FleetSettings(scenario.dispatchers, 4, 50);
    for (int i = 0; i < scenario.dispatchers; ++i) {
      settings.dispatcher_index = i;
      dispatchers_.push_back(
          {DispatchPolicy(settings, seed * 1000 + static_cast<std::uint64_t>(i)), {}, 0, Time::max()});
    }
  }

  // Runs the fleet, with messages that arrive until `end`.
  Totals Run(Time end) {
    const EndpointRecord endpoint = MakeEndpointRecord("e", 0, 1, scenario_.advertised_rate);
    for (int i = 0; i < scenario_.dispatchers; ++i) {
      Process(
          i, 0s,
          {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = {endpoint}}});
    }
    // The traffic is uneven: a tenth of the dispatchers gets a third of it, and all share the rest.
    std::exponential_distribution<double> gap(scenario_.arrival_rate);
    for (Time t = Gap(gap); t < end; t += Gap(gap)) {
      const bool goes_to_busy = Chance(1.0 / 3);
      const int candidates = goes_to_busy ? std::max(1, scenario_.dispatchers / 10) : scenario_.dispatchers;
      events_.push({t, next_++, Pick(candidates), Kind::kArrival, {}});
    }
    while (!events_.empty()) {
      const ScheduledEvent event = events_.top();
      events_.pop();
      Dispatcher& dispatcher = dispatchers_[static_cast<std::size_t>(event.dispatcher_index)];
      if (event.kind == Kind::kArrival) {
        const int message_class = Pick(3);
        totals_.accepted[static_cast<std::size_t>(message_class)] += 1;
        const std::string id = std::to_string(next_++);
        dispatcher.pending[id] = {message_class, 0, event.at + 16s};
        Process(event.dispatcher_index, event.at, {PolicyDriver::Accepted(id, message_class, 16s)});
      } else if (event.kind == Kind::kOutcome) {
        Complete(event);
      } else if (dispatcher.wake_at == event.at) {
        dispatcher.wake_at = Time::max();
        Process(event.dispatcher_index, event.at, {TimerFired{}});
      }
    }
    return totals_;
  }

 private:
  enum class Kind { kArrival, kOutcome, kTimer };
  struct ScheduledEvent {
    Time at;
    std::uint64_t order;
    int dispatcher_index;
    Kind kind;
    AttemptCompleted completed;
    bool operator<(const ScheduledEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct PendingMessage {
    int message_class = 0, attempts = 0;
    Time deadline{0};
  };
  struct Dispatcher {
    DispatchPolicy policy;
    std::map<std::string, PendingMessage> pending;
    // Idle connections to the endpoint.
    int idle = 0;
    // When the timer of the policy fires.
    Time wake_at;
  };

  // True with the given probability.
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  // A random number from 0 to n - 1.
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  Time Gap(std::exponential_distribution<double>& gap) {
    return Time(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
  }

  void Process(int i, Time now, const std::vector<Event>& events) {
    Dispatcher& dispatcher = dispatchers_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    dispatcher.policy.Process(now, events, actions);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) Call(i, now, *attempt);
      if (const auto* rejection = std::get_if<RejectMessage>(&action))
        dispatcher.pending.erase(rejection->id);
      if (const auto* failure = std::get_if<FailMessage>(&action)) dispatcher.pending.erase(failure->id);
      if (std::holds_alternative<CloseIdleConnections>(action)) open_ -= std::exchange(dispatcher.idle, 0);
      if (const auto* timer = std::get_if<ScheduleTimer>(&action)) {
        dispatcher.wake_at = now + timer->delay;
        events_.push({dispatcher.wake_at, next_++, i, Kind::kTimer, {}});
      }
    }
  }

  void Call(int i, Time now, const StartAttempt& attempt) {
    Dispatcher& dispatcher = dispatchers_[static_cast<std::size_t>(i)];
    totals_.calls += 1;
    AttemptCompleted event;
    event.id = attempt.id;
    event.attempt = dispatcher.pending.at(attempt.id).attempts++;
    const double second = static_cast<double>(now.count()) / 1e6;
    const bool is_down = second >= scenario_.down_from && second < scenario_.down_to;
    const bool needs_connection = dispatcher.idle == 0;
    if (is_down) {
      totals_.while_down += 1;
      open_ -= std::exchange(dispatcher.idle, 0);
      event.outcome = Outcome::kConnectFailed;
      event.latency = 15ms;
    } else if (needs_connection && open_ >= scenario_.connection_table_size) {
      totals_.table_full += 1;
      event.outcome = Outcome::kRejected;
      event.latency = 17ms;
    } else {
      totals_.opened += needs_connection ? 1 : 0;
      open_ += needs_connection ? 1 : 0;
      dispatcher.idle -= needs_connection ? 0 : 1;
      event.outcome = IsOverLimit(now) ? Outcome::kRejected : Outcome::kOk;
      event.retry_after = event.outcome == Outcome::kRejected && Chance(0.4) ? 500ms : 0ms;
      event.latency = needs_connection ? 45ms : 30ms;
      in_table_.insert({i, event.id});
    }
    event.message_ended = event.outcome == Outcome::kOk;
    events_.push({now + event.latency, next_++, i, Kind::kOutcome, event});
  }

  // Counts a call and returns whether it is over the limit.
  bool IsOverLimit(Time now) {
    if (scenario_.call_limit == 0) return false;
    while (!reached_.empty() && reached_.front() + 500ms <= now) reached_.pop_front();
    reached_.push_back(now);
    const double second = static_cast<double>(now.count()) / 1e6;
    const bool is_lowered = second >= scenario_.lowered_from && second < scenario_.lowered_to;
    const bool is_over =
        static_cast<double>(reached_.size()) > (is_lowered ? 0.4 : 1.0) * scenario_.call_limit;
    totals_.while_lowered += is_lowered && !is_over ? 1 : 0;
    return is_over;
  }

  void Complete(const ScheduledEvent& event) {
    Dispatcher& dispatcher = dispatchers_[static_cast<std::size_t>(event.dispatcher_index)];
    if (in_table_.erase({event.dispatcher_index, event.completed.id}) > 0) dispatcher.idle += 1;
    const auto entry = dispatcher.pending.find(event.completed.id);
    if (entry != dispatcher.pending.end() && event.completed.outcome == Outcome::kOk) {
      totals_.delivered[static_cast<std::size_t>(entry->second.message_class)] +=
          event.at <= entry->second.deadline;
      dispatcher.pending.erase(entry);
    }
    Process(event.dispatcher_index, event.at, {event.completed});
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  std::vector<Dispatcher> dispatchers_;
  std::priority_queue<ScheduledEvent> events_;
  std::uint64_t next_ = 0;
  // Connections in the endpoint's connection table.
  int open_ = 0;
  // Calls in flight on a connection in the table, by dispatcher and message.
  std::set<std::pair<int, std::string>> in_table_;
  // When the calls of the last half second reached the endpoint.
  std::deque<Time> reached_;
  Totals totals_;
};

TEST(Fleet, DeliversThroughASmallConnectionTable) {
  for (const int dispatchers : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals totals = Fleet({.dispatchers = dispatchers}, seed).Run(40s);
      for (int message_class = 0; message_class < 3; ++message_class)
        EXPECT_GE(totals.DeliveredFraction(message_class), 0.95)
            << dispatchers << " dispatchers, class " << message_class;
      EXPECT_LE(totals.table_full, totals.calls / 20) << dispatchers << " dispatchers";
      if (dispatchers == 3) {
        EXPECT_LE(totals.opened, 40);  // a few dispatchers keep their connections
      }
    }
  }
}

// The endpoint gets a hundred calls a second and accepts fifteen connections. Idle connections may not be
// kept for as long as at an endpoint with little traffic.
TEST(Fleet, DoesNotFillABusyEndpointsConnectionTableWithIdleConnections) {
  for (const int dispatchers : {3, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals totals = Fleet({.dispatchers = dispatchers,
                                   .connection_table_size = 15,
                                   .arrival_rate = 100,
                                   .advertised_rate = 150},
                                  seed)
                                .Run(10s);
      for (int message_class = 0; message_class < 3; ++message_class)
        EXPECT_GE(totals.DeliveredFraction(message_class), 0.95)
            << dispatchers << " dispatchers, class " << message_class;
      EXPECT_LE(totals.table_full, totals.calls / 20) << dispatchers << " dispatchers";
    }
  }
}

TEST(Fleet, DoesNotUseUpALimitThatCountsRejectedCalls) {
  for (const int dispatchers : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals totals =
          Fleet({.dispatchers = dispatchers, .connection_table_size = 1000, .call_limit = 12}, seed).Run(40s);
      for (int message_class = 0; message_class < 3; ++message_class)
        EXPECT_GE(totals.DeliveredFraction(message_class), 0.8)
            << dispatchers << " dispatchers, class " << message_class;
    }
  }
}

// The limit is lowered for 10 s, while the endpoint list goes on advertising the usual rate and each
// dispatcher makes about one call a second. Not all calls of these 10 s may be lost: the fleet has to find
// the rate that the lowered limit allows, and to return to the usual one when the limit is raised.
TEST(Fleet, AdaptsToALoweredLimitThatCountsRejectedCalls) {
  for (const int dispatchers : {3, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Scenario scenario = {.dispatchers = dispatchers,
                                 .connection_table_size = 1000,
                                 .call_limit = 90,
                                 .arrival_rate = 110,
                                 .advertised_rate = 200,
                                 .lowered_from = 6,
                                 .lowered_to = 16};
      const Totals totals = Fleet(scenario, seed).Run(30s);
      EXPECT_GE(totals.while_lowered, 10 * 2 * 0.4 * 90 / 4) << dispatchers << " dispatchers, seed " << seed;
      for (int message_class = 0; message_class < 3; ++message_class)
        EXPECT_GE(totals.DeliveredFraction(message_class), 0.6)
            << dispatchers << " dispatchers, class " << message_class;
    }
  }
}

// Hundreds of dispatchers that get a message now and then each have to find out for themselves that the
// destination is down. The attempts of all must stay near its traffic, and the pending messages must still be
// delivered after the outage.
TEST(Fleet, MakesFewAttemptsAtADestinationThatIsDown) {
  for (const int dispatchers : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals totals =
          Fleet({.dispatchers = dispatchers, .down_from = 10, .down_to = 18}, seed).Run(60s);
      for (int message_class = 0; message_class < 3; ++message_class)
        EXPECT_GE(totals.DeliveredFraction(message_class), 0.8)
            << dispatchers << " dispatchers, class " << message_class;
      EXPECT_LE(totals.while_down, 2 * 8 * 18) << dispatchers << " dispatchers";
    }
  }
}

}  // namespace
}  // namespace sagetally
