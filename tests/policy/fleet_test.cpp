// What many senders do together to one small destination: the module itself, in virtual time. One rule has to
// serve three senders and three hundred, so each case runs with both, at the same traffic in all.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>
#include <set>

#include "../app/node.h"

namespace sagetally {
namespace {

struct Shape {
  int senders = 3;
  int table = 11;                       // connections that the endpoint holds, idle ones counted
  int limit = 0;                        // calls in any half second, refused ones counted; 0: none
  double arrivals = 18;                 // messages a second, from all clients
  double told = 24;                     // rate in the list
  double down_from = -1, down_to = -1;  // seconds; connections are refused
  double low_from = -1, low_to = -1;    // seconds; the limit is two fifths
};

struct Account {
  std::array<int, 3> taken{}, delivered{};  // by class
  int calls = 0, no_place = 0, opened = 0, while_down = 0, while_low = 0;
  double Share(int c) const { return static_cast<double>(delivered[c]) / taken[c]; }
};

class Fleet {
 public:
  Fleet(Shape shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    Settings s = FleetSettings(shape.senders, 4, 50);
    for (int i = 0; i < shape.senders; ++i) {
      s.dispatcher_index = i;
      members_.push_back(
          {DispatchPolicy(s, seed * 1000 + static_cast<std::uint64_t>(i)), {}, 0, Time::max()});
    }
  }

  Account Run(Time until) {
    const EndpointRecord entry = At("e", 0, 1, shape_.told);
    for (int i = 0; i < shape_.senders; ++i) {
      Step(i, 0s,
           {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = {entry}}});
    }
    // Uneven: a tenth of the senders gets a third of the traffic.
    std::exponential_distribution<double> gap(shape_.arrivals);
    for (Time t = Gap(gap); t < until; t += Gap(gap)) {
      const bool busy = Chance(1.0 / 3);
      const int among = busy ? std::max(1, shape_.senders / 10) : shape_.senders;
      events_.push({t, next_++, Pick(among), Kind::kArrival, {}});
    }
    while (!events_.empty()) {
      const Due due = events_.top();
      events_.pop();
      Member& member = members_[static_cast<std::size_t>(due.sender)];
      if (due.kind == Kind::kArrival) {
        const int c = Pick(3);
        account_.taken[static_cast<std::size_t>(c)] += 1;
        const std::string id = std::to_string(next_++);
        member.held[id] = {c, 0, due.at + 16s};
        Step(due.sender, due.at, {Node::Taken(id, c, 16s)});
      } else if (due.kind == Kind::kOutcome) {
        Arrive(due);
      } else if (member.wake == due.at) {
        member.wake = Time::max();
        Step(due.sender, due.at, {TimerFired{}});
      }
    }
    return account_;
  }

 private:
  enum class Kind { kArrival, kOutcome, kWake };
  struct Due {
    Time at;
    std::uint64_t order;
    int sender;
    Kind kind;
    AttemptCompleted ended;
    bool operator<(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  struct Held {
    int message_class = 0, attempts = 0;
    Time deadline{0};
  };
  struct Member {
    DispatchPolicy sender;
    std::map<std::string, Held> held;
    int idle = 0;  // connections with a place in the table
    Time wake;
  };

  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  Time Gap(std::exponential_distribution<double>& gap) {
    return Time(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
  }

  void Step(int i, Time now, const std::vector<Event>& events) {
    Member& member = members_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    member.sender.Process(now, events, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&action)) Call(i, now, *send);
      if (const auto* refuse = std::get_if<RejectMessage>(&action)) member.held.erase(refuse->id);
      if (const auto* fail = std::get_if<FailMessage>(&action)) member.held.erase(fail->id);
      if (std::holds_alternative<CloseIdleConnections>(action)) open_ -= std::exchange(member.idle, 0);
      if (const auto* wake = std::get_if<ScheduleTimer>(&action)) {
        member.wake = now + wake->delay;
        events_.push({member.wake, next_++, i, Kind::kWake, {}});
      }
    }
  }

  void Call(int i, Time now, const StartAttempt& send) {
    Member& member = members_[static_cast<std::size_t>(i)];
    account_.calls += 1;
    AttemptCompleted e;
    e.id = send.id;
    e.attempt = member.held.at(send.id).attempts++;
    const double second = static_cast<double>(now.count()) / 1e6;
    const bool down = second >= shape_.down_from && second < shape_.down_to;
    const bool fresh = member.idle == 0;
    if (down) {
      account_.while_down += 1;
      open_ -= std::exchange(member.idle, 0);
      e.outcome = Outcome::kConnectFailed;
      e.latency = 15ms;
    } else if (fresh && open_ >= shape_.table) {
      account_.no_place += 1;
      e.outcome = Outcome::kRejected;
      e.latency = 17ms;
    } else {
      account_.opened += fresh ? 1 : 0;
      open_ += fresh ? 1 : 0;
      member.idle -= fresh ? 0 : 1;
      e.outcome = OverLimit(now) ? Outcome::kRejected : Outcome::kOk;
      e.retry_after = e.outcome == Outcome::kRejected && Chance(0.4) ? 500ms : 0ms;
      e.latency = fresh ? 45ms : 30ms;
      placed_.insert({i, e.id});
    }
    e.message_ended = e.outcome == Outcome::kOk;
    events_.push({now + e.latency, next_++, i, Kind::kOutcome, e});
  }

  bool OverLimit(Time now) {
    if (shape_.limit == 0) return false;
    while (!reached_.empty() && reached_.front() + 500ms <= now) reached_.pop_front();
    reached_.push_back(now);
    const double second = static_cast<double>(now.count()) / 1e6;
    const bool low = second >= shape_.low_from && second < shape_.low_to;
    const bool over = static_cast<double>(reached_.size()) > (low ? 0.4 : 1.0) * shape_.limit;
    account_.while_low += low && !over ? 1 : 0;
    return over;
  }

  void Arrive(const Due& due) {
    Member& member = members_[static_cast<std::size_t>(due.sender)];
    if (placed_.erase({due.sender, due.ended.id}) > 0) member.idle += 1;
    const auto at = member.held.find(due.ended.id);
    if (at != member.held.end() && due.ended.outcome == Outcome::kOk) {
      account_.delivered[static_cast<std::size_t>(at->second.message_class)] += due.at <= at->second.deadline;
      member.held.erase(at);
    }
    Step(due.sender, due.at, {due.ended});
  }

  const Shape shape_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::priority_queue<Due> events_;
  std::uint64_t next_ = 0;
  int open_ = 0;
  std::set<std::pair<int, std::string>> placed_;  // calls on a connection with a place
  std::deque<Time> reached_;
  Account account_;
};

TEST(Fleet, ASmallTableServesAllClassesOfFewSendersAndOfHundreds) {
  for (const int senders : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Account a = Fleet({.senders = senders}, seed).Run(40s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.95) << senders << " senders, class " << c;
      EXPECT_LE(a.no_place, a.calls / 20) << senders << " senders";
      if (senders == 3) {
        EXPECT_LE(a.opened, 40);  // a few keep theirs
      }
    }
  }
}

// A hundred calls a second and a table of fifteen: idle connections may not rest as long as at a small one.
TEST(Fleet, ABusyEndpointsTableIsNotFilledByIdleConnections) {
  for (const int senders : {3, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Account a = Fleet({.senders = senders, .table = 15, .arrivals = 100, .told = 150}, seed).Run(10s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.95) << senders << " senders, class " << c;
      EXPECT_LE(a.no_place, a.calls / 20) << senders << " senders";
    }
  }
}

TEST(Fleet, ALimitThatCountsRefusedCallsIsNotKeptUsedUp) {
  for (const int senders : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Account a = Fleet({.senders = senders, .table = 1000, .limit = 12}, seed).Run(40s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.8) << senders << " senders, class " << c;
    }
  }
}

// The list goes on telling the usual rate, and each sender makes about a call a second. The calls of the
// first 10 s are not all lost: the fleet finds what the lowered limit takes, and comes back when it is
// raised.
TEST(Fleet, ALoweredLimitThatCountsRefusedCallsOpensAgain) {
  for (const int senders : {3, 100, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Shape shape = {.senders = senders,
                           .table = 1000,
                           .limit = 90,
                           .arrivals = 110,
                           .told = 200,
                           .low_from = 6,
                           .low_to = 16};
      const Account a = Fleet(shape, seed).Run(30s);
      EXPECT_GE(a.while_low, 10 * 2 * 0.4 * 90 / 4) << senders << " senders, seed " << seed;
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.6) << senders << " senders, class " << c;
    }
  }
}

// Hundreds of senders with a message now and then each have to find out for themselves. What they try
// together stays near the traffic, and what they hold still arrives once it is back.
TEST(Fleet, TrialsOfADownDestinationStayNearItsTraffic) {
  for (const int senders : {3, 300}) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      const Account a = Fleet({.senders = senders, .down_from = 10, .down_to = 18}, seed).Run(60s);
      for (int c = 0; c < 3; ++c) EXPECT_GE(a.Share(c), 0.8) << senders << " senders, class " << c;
      EXPECT_LE(a.while_down, 2 * 8 * 18) << senders << " senders";
    }
  }
}

}  // namespace
}  // namespace sagetally
