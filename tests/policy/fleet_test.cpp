// What many dispatchers do together to one small destination, in virtual time. One rule has to serve three
// and three hundred of them, so each case runs with both, at the same traffic in all.
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

struct Shape {
  int dispatchers = 3;
  int table = 11;                             // connections that the endpoint holds, idle ones counted
  int limit = 0;                              // calls in any half second, rejected ones counted; 0: none
  double arrivals = 18;                       // messages a second, from all clients
  double advertised = 24;                     // rate in the list
  double down_from = -1, down_to = -1;        // seconds; connections fail
  double lowered_from = -1, lowered_to = -1;  // seconds; the limit is two fifths
};

struct Totals {
  std::array<int, 3> accepted{}, delivered{};  // by class
  int calls = 0, table_full = 0, opened = 0, while_down = 0, while_lowered = 0;
  double Share(int c) const { return static_cast<double>(delivered[c]) / accepted[c]; }
};

class Fleet {
 public:
  Fleet(Shape shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    Settings s = FleetSettings(shape.dispatchers, 4, 50);
    for (int i = 0; i < shape.dispatchers; ++i) {
      s.dispatcher_index = i;
      members_.push_back(
          {DispatchPolicy(s, seed * 1000 + static_cast<std::uint64_t>(i)), {}, 0, Time::max()});
    }
  }

  Totals Run(Time until) {
    const EndpointRecord entry = EndpointAt("e", 0, 1, shape_.advertised);
    for (int i = 0; i < shape_.dispatchers; ++i) {
      Process(i, 0s,
              {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = {entry}}});
    }
    // Uneven: a tenth of the dispatchers gets a third of the traffic.
    std::exponential_distribution<double> gap(shape_.arrivals);
    for (Time t = Gap(gap); t < until; t += Gap(gap)) {
      const bool busy = Chance(1.0 / 3);
      const int among = busy ? std::max(1, shape_.dispatchers / 10) : shape_.dispatchers;
      events_.push({t, next_++, Pick(among), Kind::kArrival, {}});
    }
    while (!events_.empty()) {
      const Due due = events_.top();
      events_.pop();
      Member& member = members_[static_cast<std::size_t>(due.dispatcher)];
      if (due.kind == Kind::kArrival) {
        const int c = Pick(3);
        totals_.accepted[static_cast<std::size_t>(c)] += 1;
        const std::string id = std::to_string(next_++);
        member.pending[id] = {c, 0, due.at + 16s};
        Process(due.dispatcher, due.at, {PolicyDriver::Accepted(id, c, 16s)});
      } else if (due.kind == Kind::kOutcome) {
        Complete(due);
      } else if (member.wake == due.at) {
        member.wake = Time::max();
        Process(due.dispatcher, due.at, {TimerFired{}});
      }
    }
    return totals_;
  }

 private:
  enum class Kind { kArrival, kOutcome, kTimer };
  struct Due {
    Time at;
    std::uint64_t order;
    int dispatcher;
    Kind kind;
    AttemptCompleted ended;
    bool operator<(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  struct Pending {
    int message_class = 0, attempts = 0;
    Time deadline{0};
  };
  struct Member {
    DispatchPolicy policy;
    std::map<std::string, Pending> pending;
    int idle = 0;  // connections in the table
    Time wake;
  };

  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  Time Gap(std::exponential_distribution<double>& gap) {
    return Time(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
  }

  void Process(int i, Time now, const std::vector<Event>& events) {
    Member& member = members_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    member.policy.Process(now, events, actions);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) Call(i, now, *attempt);
      if (const auto* rejection = std::get_if<RejectMessage>(&action)) member.pending.erase(rejection->id);
      if (const auto* failure = std::get_if<FailMessage>(&action)) member.pending.erase(failure->id);
      if (std::holds_alternative<CloseIdleConnections>(action)) open_ -= std::exchange(member.idle, 0);
      if (const auto* timer = std::get_if<ScheduleTimer>(&action)) {
        member.wake = now + timer->delay;
        events_.push({member.wake, next_++, i, Kind::kTimer, {}});
      }
    }
  }

  void Call(int i, Time now, const StartAttempt& attempt) {
    Member& member = members_[static_cast<std::size_t>(i)];
    totals_.calls += 1;
    AttemptCompleted e;
    e.id = attempt.id;
    e.attempt = member.pending.at(attempt.id).attempts++;
    const double second = static_cast<double>(now.count()) / 1e6;
    const bool down = second >= shape_.down_from && second < shape_.down_to;
    const bool fresh = member.idle == 0;
    if (down) {
      totals_.while_down += 1;
      open_ -= std::exchange(member.idle, 0);
      e.outcome = Outcome::kConnectFailed;
      e.latency = 15ms;
    } else if (fresh && open_ >= shape_.table) {
      totals_.table_full += 1;
      e.outcome = Outcome::kRejected;
      e.latency = 17ms;
    } else {
      totals_.opened += fresh ? 1 : 0;
      open_ += fresh ? 1 : 0;
      member.idle -= fresh ? 0 : 1;
      e.outcome = OverLimit(now) ? Outcome::kRejected : Outcome::kOk;
      e.retry_after = e.outcome == Outcome::kRejected && Chance(0.4) ? 500ms : 0ms;
      e.latency = fresh ? 45ms : 30ms;
      in_table_.insert({i, e.id});
    }
    e.message_ended = e.outcome == Outcome::kOk;
    events_.push({now + e.latency, next_++, i, Kind::kOutcome, e});
  }

  bool OverLimit(Time now) {
    if (shape_.limit == 0) return false;
    while (!reached_.empty() && reached_.front() + 500ms <= now) reached_.pop_front();
    reached_.push_back(now);
    const double second = static_cast<double>(now.count()) / 1e6;
    const bool low = second >= shape_.lowered_from && second < shape_.lowered_to;
    const bool over = static_cast<double>(reached_.size()) > (low ? 0.4 : 1.0) * shape_.limit;
    totals_.while_lowered += low && !over ? 1 : 0;
    return over;
  }

  void Complete(const Due& due) {
    Member& member = members_[static_cast<std::size_t>(due.dispatcher)];
    if (in_table_.erase({due.dispatcher, due.ended.id}) > 0) member.idle += 1;
    const auto at = member.pending.find(due.ended.id);
    if (at != member.pending.end() && due.ended.outcome == Outcome::kOk) {
      totals_.delivered[static_cast<std::size_t>(at->second.message_class)] += due.at <= at->second.deadline;
      member.pending.erase(at);
    }
    Process(due.dispatcher, due.at, {due.ended});
  }

  const Shape shape_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::priority_queue<Due> events_;
  std::uint64_t next_ = 0;
  int open_ = 0;
  std::set<std::pair<int, std::string>> in_table_;  // calls on a connection in the table
  std::deque<Time> reached_;
  Totals totals_;
};

TEST(Fleet, ASmallTableServesFewDispatchersAndHundreds) {
  for (const int dispatchers : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals a = Fleet({.dispatchers = dispatchers}, seed).Run(40s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.95) << dispatchers << " dispatchers, class " << c;
      EXPECT_LE(a.table_full, a.calls / 20) << dispatchers << " dispatchers";
      if (dispatchers == 3) {
        EXPECT_LE(a.opened, 40);  // a few keep theirs
      }
    }
  }
}

// A hundred calls a second and a table of fifteen: idle connections may not be kept as long as at a small
// one.
TEST(Fleet, ABusyEndpointsTableIsNotFilledByIdleConnections) {
  for (const int dispatchers : {3, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals a =
          Fleet({.dispatchers = dispatchers, .table = 15, .arrivals = 100, .advertised = 150}, seed).Run(10s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.95) << dispatchers << " dispatchers, class " << c;
      EXPECT_LE(a.table_full, a.calls / 20) << dispatchers << " dispatchers";
    }
  }
}

TEST(Fleet, ALimitThatCountsRejectedCallsIsNotUsedUp) {
  for (const int dispatchers : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals a = Fleet({.dispatchers = dispatchers, .table = 1000, .limit = 12}, seed).Run(40s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.8) << dispatchers << " dispatchers, class " << c;
    }
  }
}

// The list goes on advertising the usual rate, and each dispatcher makes about a call a second. The calls of
// the first 10 s are not all lost: the fleet finds what the lowered limit takes, and comes back when it is
// raised.
TEST(Fleet, ALoweredLimitThatCountsRejectedCallsOpensAgain) {
  for (const int dispatchers : {3, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Shape shape = {.dispatchers = dispatchers,
                           .table = 1000,
                           .limit = 90,
                           .arrivals = 110,
                           .advertised = 200,
                           .lowered_from = 6,
                           .lowered_to = 16};
      const Totals a = Fleet(shape, seed).Run(30s);
      EXPECT_GE(a.while_lowered, 10 * 2 * 0.4 * 90 / 4) << dispatchers << " dispatchers, seed " << seed;
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.6) << dispatchers << " dispatchers, class " << c;
    }
  }
}

// Hundreds of dispatchers with a message now and then each have to find out for themselves. What they try
// together stays near the traffic, and what is pending still arrives once it is back.
TEST(Fleet, AttemptsAtADownDestinationStayNearItsTraffic) {
  for (const int dispatchers : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Totals a = Fleet({.dispatchers = dispatchers, .down_from = 10, .down_to = 18}, seed).Run(60s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.8) << dispatchers << " dispatchers, class " << c;
      EXPECT_LE(a.while_down, 2 * 8 * 18) << dispatchers << " dispatchers";
    }
  }
}

}  // namespace
}  // namespace sagetally
