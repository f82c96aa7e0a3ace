// Many dispatchers at one destination that warms up after an outage, in virtual time: the recovery budget of
// all of them together. The destination is overloaded when it gets more than MostCalls(N) calls within
// overload_duration, N being what the settings allow it then. The rule is broken if over two thirds of these
// calls came from dispatchers that had seen the outage. Restarted dispatchers have forgotten it.
#ifndef SAGETALLY_TESTS_POLICY_COLD_RETURN_FLEET_H_
#define SAGETALLY_TESTS_POLICY_COLD_RETURN_FLEET_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>

#include "policy_driver.h"

namespace sagetally {

// What the outage does to a call.
enum class OutageKind { kConnectionsFail, kRejects, kHangs, kErrors };

// How many of the dispatchers get messages, and how unevenly.
enum class Traffic { kUneven, kEven };

struct Scenario {
  int dispatchers = 2;
  double capacity = 12;   // calls a second once warm
  double advertised = 1;  // of the capacity, in the list
  double load = 0.8;      // of the capacity, in messages
  int endpoints = 1;      // that share it
  OutageKind kind = OutageKind::kConnectionsFail;
  double restarted = 0;                 // share of the dispatchers that are restarted
  Duration restarts_begin_at = -600ms;  // from the return
  Duration restarts_take = 600ms;
  Duration outage = 8s;
  Traffic traffic = Traffic::kUneven;
  bool has_advertised_rate = true;
  double gossip_loss = 1;  // share of the messages between dispatchers
};

struct Overload {
  Time at{0};
  int calls = 0, informed = 0;
  double allowed = 0;
};

// The calls in one window that overload an endpoint of which the settings allow `n`.
inline double MostCalls(double n) { return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2; }

class ColdReturn {
 public:
  ColdReturn(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), settings_(FleetSettings(scenario.dispatchers, 6, 60)), random_(seed) {
    settings_.warm_up_time = 11s;
    settings_.gossip_allowed = scenario.gossip_loss < 1;
    settings_.advertised_rates =
        scenario.has_advertised_rate ? AdvertisedRates::kApproximate : AdvertisedRates::kNone;
    for (int i = 0; i < scenario.dispatchers; ++i) members_.push_back(std::make_unique<Member>());
    for (int i = 0; i < scenario.dispatchers; ++i) Start(i, 0s);
  }

  // The first overload; none: it warmed up.
  std::optional<Overload> Run() {
    const double rate = scenario_.load * scenario_.capacity;
    for (Time t = Gap(rate); t < kDown + scenario_.outage + settings_.warm_up_time + 4s; t += Gap(rate)) {
      const bool busy = scenario_.traffic == Traffic::kUneven && Chance(1.0 / 3);
      Schedule(t, Pick(busy ? std::max(1, scenario_.dispatchers / 10) : scenario_.dispatchers),
               Kind::kArrival);
    }
    for (int i = 0; i < scenario_.dispatchers; ++i) {
      if (!Chance(scenario_.restarted)) continue;
      const Time delay(Pick(static_cast<int>(scenario_.restarts_take.count())));
      Schedule(Back() + scenario_.restarts_begin_at + delay, i, Kind::kRestart);
    }
    while (!due_.empty() && !overload_) {
      const Due due = due_.top();
      due_.pop();
      now_ = due.at;
      Member& member = *members_[static_cast<std::size_t>(due.dispatcher)];
      if (due.kind == Kind::kArrival) {
        const std::string id = std::to_string(next_++);
        member.pending[id] = {Pick(3), 0, now_ + 16s, std::nullopt, 0s};
        Process(due.dispatcher, {PolicyDriver::Accepted(id, member.pending[id].message_class, 16s)});
      } else if (due.kind == Kind::kRestart) {
        Start(due.dispatcher, now_);
      } else if (due.kind == Kind::kGossip) {
        Process(due.dispatcher, {GossipReceived{0, due.gossip}});
      } else if (due.kind == Kind::kTimer) {
        const bool is_current = member.incarnation == due.incarnation && member.wake == now_;
        if (is_current) Process(due.dispatcher, {TimerFired{}});
      } else if (member.incarnation == due.incarnation) {
        Complete(due);
      }
    }
    return overload_;
  }
  int after() const { return after_; }  // calls that reached it once it was back
  // Windows that end with a call, and those with more calls than the settings allow.
  int windows() const { return windows_; }
  int windows_over_n() const { return windows_over_n_; }

 private:
  static constexpr Time kDown = 10s;  // the outage begins
  enum class Kind { kArrival, kOutcome, kTimer, kRestart, kGossip };
  struct Due {
    Time at;
    std::uint64_t order;
    int dispatcher, incarnation;
    Kind kind;
    AttemptCompleted ended;
    std::string gossip = {};
    bool operator<(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  struct Pending {
    int message_class = 0, attempts = 0;
    Time deadline{0};
    std::optional<Time> uncertain_since;
    Time sent_at{0};  // sent then; 0: waits
  };
  struct Member {
    std::unique_ptr<DispatchPolicy> policy;
    std::map<std::string, Pending> pending;
    Time wake = Time::max();
    int incarnation = 0;
    bool informed = false;
  };

  Time Back() const { return kDown + scenario_.outage; }
  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  Time Gap(double rate) {
    return Time(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random_) * 1e6) + 1);
  }
  void Schedule(Time at, int dispatcher, Kind kind, const AttemptCompleted& ended = {}) {
    due_.push({at,
               next_++,
               dispatcher,
               members_[static_cast<std::size_t>(dispatcher)]->incarnation,
               kind,
               ended,
               {}});
  }

  // A process begins, with what an earlier one pending.
  void Start(int i, Time now) {
    Member& member = *members_[static_cast<std::size_t>(i)];
    now_ = now;
    member.incarnation += 1;
    member.informed = false;
    member.wake = Time::max();
    settings_.dispatcher_index = i;
    member.policy = std::make_unique<DispatchPolicy>(settings_, random_());
    EndpointListUpdated list{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = {}};
    for (int e = 0; e < scenario_.endpoints; ++e) {
      list.endpoints.push_back(
          EndpointAt("e" + std::to_string(e), 0, 1, scenario_.advertised * scenario_.capacity));
    }
    std::vector<Event> events = {list};
    for (auto& [id, pending] : member.pending) {
      MessageAccepted accepted = PolicyDriver::Accepted(id, pending.message_class, pending.deadline - now);
      if (pending.sent_at > 0s && !pending.uncertain_since) pending.uncertain_since = pending.sent_at;
      pending.sent_at = 0s;
      accepted.attempts = pending.attempts;
      accepted.first_uncertain_attempt = pending.uncertain_since;
      events.emplace_back(accepted);
    }
    Process(i, events);
  }

  void Process(int i, const std::vector<Event>& events) {
    Member& member = *members_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    member.policy->Process(now_, events, actions);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) Call(i, *attempt);
      if (const auto* rejection = std::get_if<RejectMessage>(&action)) member.pending.erase(rejection->id);
      if (const auto* failure = std::get_if<FailMessage>(&action)) member.pending.erase(failure->id);
      if (const auto* gossip = std::get_if<SendGossip>(&action)) Broadcast(i, gossip->body);
      if (const auto* timer = std::get_if<ScheduleTimer>(&action)) {
        member.wake = now_ + timer->delay;
        Schedule(member.wake, i, Kind::kTimer);
      }
    }
  }

  void Broadcast(int sender, const std::string& body) {
    for (int i = 0; i < scenario_.dispatchers; ++i) {
      if (i == sender || Chance(scenario_.gossip_loss)) continue;
      const Time arrival = now_ + 2ms + Time(Pick(13'000));
      due_.push(
          {arrival, next_++, i, members_[static_cast<std::size_t>(i)]->incarnation, Kind::kGossip, {}, body});
    }
  }

  void Call(int i, const StartAttempt& attempt) {
    Member& member = *members_[static_cast<std::size_t>(i)];
    Pending& pending = member.pending.at(attempt.id);
    pending.sent_at = now_;
    AttemptCompleted e;
    e.id = attempt.id;
    e.attempt = pending.attempts++;
    if (now_ >= kDown && now_ < Back()) {
      Fail(attempt, e);
    } else {
      e.latency = 60ms;
      CountArrival(member.informed);
    }
    e.message_ended = e.outcome == Outcome::kOk;
    Schedule(now_ + e.latency, i, Kind::kOutcome, e);
  }

  void Fail(const StartAttempt& attempt, AttemptCompleted& event) const {
    switch (scenario_.kind) {
      case OutageKind::kConnectionsFail:
        event.outcome = Outcome::kConnectFailed;
        event.latency = 15ms;
        break;
      case OutageKind::kRejects:
        event.outcome = Outcome::kRejected;
        event.latency = 35ms;
        break;
      case OutageKind::kHangs:
        event.outcome = Outcome::kTimeout;
        event.latency = attempt.timeout;
        break;
      case OutageKind::kErrors:
        event.outcome = Outcome::kError;
        event.latency = 60ms;
        break;
    }
  }

  // What the settings allow it, summed up over the last `overload_duration`.
  void CountArrival(bool informed) {
    if (now_ < Back()) return;
    after_ += 1;
    reached_.emplace_back(now_, informed);
    while (reached_.front().first + settings_.overload_duration <= now_) reached_.pop_front();
    const double since = static_cast<double>((now_ - Back()).count()) / 1e6;
    const double warmth = std::min(1.0, since / (static_cast<double>(settings_.warm_up_time.count()) / 1e6));
    const double capacity_fraction =
        settings_.cold_capacity_fraction + (1 - settings_.cold_capacity_fraction) * warmth;
    const double n = settings_.overload_multiple * capacity_fraction * scenario_.capacity * 1.5;
    const double most = MostCalls(n);
    windows_ += 1;
    if (static_cast<double>(reached_.size()) > n) windows_over_n_ += 1;
    if (warmth >= 1 || static_cast<double>(reached_.size()) <= most) return;
    const auto seen = std::ranges::count_if(reached_, [](const auto& call) { return call.second; });
    overload_ = Overload{now_, static_cast<int>(reached_.size()), static_cast<int>(seen), most};
  }

  void Complete(const Due& due) {
    Member& member = *members_[static_cast<std::size_t>(due.dispatcher)];
    if (due.ended.outcome != Outcome::kOk) member.informed = true;
    if (const auto at = member.pending.find(due.ended.id); at != member.pending.end()) {
      at->second.sent_at = 0s;
      if (due.ended.outcome == Outcome::kOk) member.pending.erase(at);
    }
    Process(due.dispatcher, {due.ended});
  }

  const Scenario scenario_;
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Member>> members_;
  std::priority_queue<Due> due_;
  std::uint64_t next_ = 0;
  Time now_{0};
  std::deque<std::pair<Time, bool>> reached_;
  int after_ = 0;
  int windows_ = 0;
  int windows_over_n_ = 0;
  std::optional<Overload> overload_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_POLICY_COLD_RETURN_FLEET_H_
