// Simulates, in virtual time, many dispatchers that call one destination while it warms up after an outage.
// It shows whether the recovery budgets of all dispatchers together keep the destination from being
// overloaded. The destination is overloaded when it gets more than MaxCalls(N) calls within
// overload_duration, where N is the number of calls that the settings allow it at that time. The overload
// rule is broken if more than two thirds of these calls came from dispatchers that had seen the outage. A
// dispatcher that is restarted has not seen it any more.
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

// What happens to a call during the outage: its connection fails, it is rejected, it is not answered, or it
// gets an error answer.
enum class OutageKind { kConnectionsFail, kRejects, kHangs, kErrors };

// How messages are spread over the dispatchers. kUneven: a tenth of the dispatchers gets a third of the
// messages, in addition to its even part of the rest.
enum class Traffic { kUneven, kEven };

struct Scenario {
  int dispatchers = 2;
  // Calls a second that the destination takes once it is warm.
  double capacity = 12;
  // Rate in the endpoint list, as a fraction of the capacity.
  double advertised_fraction = 1;
  // Messages a second, as a fraction of the capacity.
  double load_fraction = 0.8;
  // Endpoints that share the capacity.
  int endpoints = 1;
  OutageKind outage_kind = OutageKind::kConnectionsFail;
  // Fraction of the dispatchers that are restarted.
  double restarted_fraction = 0;
  // When the restarts begin, relative to the end of the outage.
  Duration restarts_begin_at = -600ms;
  // Time within which all restarts happen.
  Duration restart_period = 600ms;
  Duration outage_duration = 8s;
  Traffic traffic = Traffic::kUneven;
  bool has_advertised_rate = true;
  // Fraction of the gossip messages that are lost. 1: gossip is not allowed.
  double gossip_loss_fraction = 1;
};

// The first window in which the destination was overloaded.
struct Overload {
  // End of the window.
  Time time{0};
  // All calls in the window, and those of dispatchers that had seen the outage.
  int calls = 0, informed_calls = 0;
  // Maximum number of calls that would not have been an overload.
  double max_calls = 0;
};

// Returns the maximum number of calls in one window that does not overload a destination for which the
// settings allow `n` calls.
inline double MaxCalls(double n) { return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2; }

class ColdReturn {
 public:
  ColdReturn(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), settings_(FleetSettings(scenario.dispatchers, 6, 60)), random_(seed) {
    settings_.warm_up_time = 11s;
    settings_.gossip_allowed = scenario.gossip_loss_fraction < 1;
    settings_.advertised_rates =
        scenario.has_advertised_rate ? AdvertisedRates::kApproximate : AdvertisedRates::kNone;
    for (int i = 0; i < scenario.dispatchers; ++i) dispatchers_.push_back(std::make_unique<Dispatcher>());
    for (int i = 0; i < scenario.dispatchers; ++i) Start(i, 0s);
  }

  // Runs the scenario. Returns the first overload, or nothing if the destination warmed up without one.
  std::optional<Overload> Run() {
    const double rate = scenario_.load_fraction * scenario_.capacity;
    for (Time t = Gap(rate); t < kOutageStart + scenario_.outage_duration + settings_.warm_up_time + 4s;
         t += Gap(rate)) {
      const bool goes_to_busy = scenario_.traffic == Traffic::kUneven && Chance(1.0 / 3);
      Schedule(t, Pick(goes_to_busy ? std::max(1, scenario_.dispatchers / 10) : scenario_.dispatchers),
               Kind::kArrival);
    }
    for (int i = 0; i < scenario_.dispatchers; ++i) {
      if (!Chance(scenario_.restarted_fraction)) continue;
      const Time delay(Pick(static_cast<int>(scenario_.restart_period.count())));
      Schedule(OutageEnd() + scenario_.restarts_begin_at + delay, i, Kind::kRestart);
    }
    while (!scheduled_.empty() && !overload_) {
      const ScheduledEvent event = scheduled_.top();
      scheduled_.pop();
      now_ = event.at;
      Dispatcher& dispatcher = *dispatchers_[static_cast<std::size_t>(event.dispatcher_index)];
      if (event.kind == Kind::kArrival) {
        const std::string id = std::to_string(next_++);
        dispatcher.pending[id] = {Pick(3), 0, now_ + 16s, std::nullopt, 0s};
        Process(event.dispatcher_index,
                {PolicyDriver::Accepted(id, dispatcher.pending[id].message_class, 16s)});
      } else if (event.kind == Kind::kRestart) {
        Start(event.dispatcher_index, now_);
      } else if (event.kind == Kind::kGossip) {
        Process(event.dispatcher_index, {GossipReceived{0, event.gossip}});
      } else if (event.kind == Kind::kTimer) {
        const bool is_current = dispatcher.incarnation == event.incarnation && dispatcher.wake_at == now_;
        if (is_current) Process(event.dispatcher_index, {TimerFired{}});
      } else if (dispatcher.incarnation == event.incarnation) {
        Complete(event);
      }
    }
    return overload_;
  }
  // Returns how many calls reached the destination after the outage.
  int calls_after_outage() const { return calls_after_outage_; }
  // Returns the number of windows that end with a call, and of those with more calls than the settings allow.
  int windows() const { return windows_; }
  int windows_over_n() const { return windows_over_n_; }

 private:
  // When the outage begins.
  static constexpr Time kOutageStart = 10s;
  enum class Kind { kArrival, kOutcome, kTimer, kRestart, kGossip };
  struct ScheduledEvent {
    Time at;
    std::uint64_t order;
    int dispatcher_index, incarnation;
    Kind kind;
    AttemptCompleted completed;
    std::string gossip = {};
    bool operator<(const ScheduledEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct PendingMessage {
    int message_class = 0, attempts = 0;
    Time deadline{0};
    // Send time of the first attempt that may have run.
    std::optional<Time> uncertain_since;
    // Send time of the attempt in flight. 0: none is in flight.
    Time sent_at{0};
  };
  struct Dispatcher {
    std::unique_ptr<DispatchPolicy> policy;
    std::map<std::string, PendingMessage> pending;
    // When the timer of the policy fires.
    Time wake_at = Time::max();
    // Counts the starts. Outcomes and timers of an earlier incarnation are dropped.
    int incarnation = 0;
    // This incarnation has seen a call fail.
    bool has_seen_failure = false;
  };

  Time OutageEnd() const { return kOutageStart + scenario_.outage_duration; }
  // True with the given probability.
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  // A random number from 0 to n - 1.
  int Pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  // A random time between two events that come `rate` times a second.
  Time Gap(double rate) {
    return Time(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random_) * 1e6) + 1);
  }
  void Schedule(Time at, int dispatcher_index, Kind kind, const AttemptCompleted& completed = {}) {
    scheduled_.push({at,
                     next_++,
                     dispatcher_index,
                     dispatchers_[static_cast<std::size_t>(dispatcher_index)]->incarnation,
                     kind,
                     completed,
                     {}});
  }

  // Starts a dispatcher, with the messages that were pending in its earlier incarnation.
  void Start(int i, Time now) {
    Dispatcher& dispatcher = *dispatchers_[static_cast<std::size_t>(i)];
    now_ = now;
    dispatcher.incarnation += 1;
    dispatcher.has_seen_failure = false;
    dispatcher.wake_at = Time::max();
    settings_.dispatcher_index = i;
    dispatcher.policy = std::make_unique<DispatchPolicy>(settings_, random_());
    EndpointListUpdated list{.kind = EndpointListUpdated::Kind::kFullSnapshot, .endpoints = {}};
    for (int number = 0; number < scenario_.endpoints; ++number) {
      list.endpoints.push_back(MakeEndpointRecord("e" + std::to_string(number), 0, 1,
                                                  scenario_.advertised_fraction * scenario_.capacity));
    }
    std::vector<Event> events = {list};
    for (auto& [id, pending] : dispatcher.pending) {
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
    Dispatcher& dispatcher = *dispatchers_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    dispatcher.policy->Process(now_, events, actions);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) Call(i, *attempt);
      if (const auto* rejection = std::get_if<RejectMessage>(&action)) {
        dispatcher.pending.erase(rejection->id);
      }
      if (const auto* failure = std::get_if<FailMessage>(&action)) dispatcher.pending.erase(failure->id);
      if (const auto* gossip = std::get_if<SendGossip>(&action)) Broadcast(i, gossip->body);
      if (const auto* timer = std::get_if<ScheduleTimer>(&action)) {
        dispatcher.wake_at = now_ + timer->delay;
        Schedule(dispatcher.wake_at, i, Kind::kTimer);
      }
    }
  }

  void Broadcast(int sender, const std::string& body) {
    for (int i = 0; i < scenario_.dispatchers; ++i) {
      if (i == sender || Chance(scenario_.gossip_loss_fraction)) continue;
      const Time arrival = now_ + 2ms + Time(Pick(13'000));
      scheduled_.push({arrival,
                       next_++,
                       i,
                       dispatchers_[static_cast<std::size_t>(i)]->incarnation,
                       Kind::kGossip,
                       {},
                       body});
    }
  }

  void Call(int i, const StartAttempt& attempt) {
    Dispatcher& dispatcher = *dispatchers_[static_cast<std::size_t>(i)];
    PendingMessage& pending = dispatcher.pending.at(attempt.id);
    pending.sent_at = now_;
    AttemptCompleted event;
    event.id = attempt.id;
    event.attempt = pending.attempts++;
    if (now_ >= kOutageStart && now_ < OutageEnd()) {
      Fail(attempt, event);
    } else {
      event.latency = 60ms;
      CountArrival(dispatcher.has_seen_failure);
    }
    event.message_ended = event.outcome == Outcome::kOk;
    Schedule(now_ + event.latency, i, Kind::kOutcome, event);
  }

  void Fail(const StartAttempt& attempt, AttemptCompleted& event) const {
    switch (scenario_.outage_kind) {
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

  // Counts a call that reaches the destination after the outage, and checks the window of overload_duration
  // that ends with it.
  void CountArrival(bool is_informed) {
    if (now_ < OutageEnd()) return;
    calls_after_outage_ += 1;
    reached_.emplace_back(now_, is_informed);
    while (reached_.front().first + settings_.overload_duration <= now_) reached_.pop_front();
    const double since = static_cast<double>((now_ - OutageEnd()).count()) / 1e6;
    const double warmth = std::min(1.0, since / (static_cast<double>(settings_.warm_up_time.count()) / 1e6));
    const double capacity_fraction =
        settings_.cold_capacity_fraction + (1 - settings_.cold_capacity_fraction) * warmth;
    // The window is overload_duration long, that is 1.5 s.
    const double n = settings_.overload_multiple * capacity_fraction * scenario_.capacity * 1.5;
    const double max_calls = MaxCalls(n);
    windows_ += 1;
    if (static_cast<double>(reached_.size()) > n) windows_over_n_ += 1;
    if (warmth >= 1 || static_cast<double>(reached_.size()) <= max_calls) return;
    const auto informed = std::ranges::count_if(reached_, [](const auto& call) { return call.second; });
    overload_ = Overload{now_, static_cast<int>(reached_.size()), static_cast<int>(informed), max_calls};
  }

  void Complete(const ScheduledEvent& event) {
    Dispatcher& dispatcher = *dispatchers_[static_cast<std::size_t>(event.dispatcher_index)];
    if (event.completed.outcome != Outcome::kOk) dispatcher.has_seen_failure = true;
    if (const auto entry = dispatcher.pending.find(event.completed.id); entry != dispatcher.pending.end()) {
      entry->second.sent_at = 0s;
      if (event.completed.outcome == Outcome::kOk) dispatcher.pending.erase(entry);
    }
    Process(event.dispatcher_index, {event.completed});
  }

  const Scenario scenario_;
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::priority_queue<ScheduledEvent> scheduled_;
  std::uint64_t next_ = 0;
  Time now_{0};
  // The calls of the last window: when each arrived, and whether its dispatcher had seen the outage.
  std::deque<std::pair<Time, bool>> reached_;
  int calls_after_outage_ = 0;
  int windows_ = 0;
  int windows_over_n_ = 0;
  std::optional<Overload> overload_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_POLICY_COLD_RETURN_FLEET_H_
