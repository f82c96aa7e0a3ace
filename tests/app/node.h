// A delivery node for tests: settings, a Sender, and what it answered.
#ifndef SAGETALLY_TESTS_APP_NODE_H_
#define SAGETALLY_TESTS_APP_NODE_H_

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

using namespace std::chrono_literals;

inline Settings SmallSettings() {
  Settings s;
  s.classes = {{.latency_objective = 2s,
                .deadline = 20s,
                .priority_weight = 2,
                .late_weight_fraction = 0.5,
                .idempotency = Idempotency::kIdempotent},
               {.latency_objective = 2s,
                .deadline = 20s,
                .priority_weight = 1,
                .late_weight_fraction = 0.5,
                .idempotency = Idempotency::kIdempotentWithKey,
                .deduplication_window = 5s},
               {.latency_objective = 2s,
                .deadline = 20s,
                .priority_weight = 4,
                .late_weight_fraction = 0.5,
                .idempotency = Idempotency::kNotIdempotent}};
  s.kinds = {{}, {.per_endpoint_limits = true}, {.max_batch_size = 4}};
  s.max_concurrent_calls = 8;
  s.max_pending_messages = 100;
  s.max_attempts = 6;
  s.health_checks_allowed = true;
  s.connection_idle_timeout = 5s;
  s.response_slack = 20ms;
  s.cold_capacity_fraction = 0.25;
  s.overload_multiple = 2;
  s.overload_duration = 3s;
  s.warm_up_time = 10s;
  return s;
}

// Of one of many senders that share small destinations.
inline Settings FleetSettings(int senders, int slots, int most_held) {
  Settings s = SmallSettings();
  s.dispatcher_count = senders;
  s.max_concurrent_calls = slots;
  s.max_pending_messages = most_held;
  s.connection_idle_timeout = 15s;
  s.overload_duration = 1500ms;
  s.cold_capacity_fraction = 0.3;
  s.overload_multiple = 1.5;
  return s;
}

constexpr int kSafeClass = 0, kKeyedClass = 1, kUnsafeClass = 2;

class Node {
 public:
  explicit Node(Settings settings = SmallSettings(), std::uint64_t seed = 1)
      : sender_(std::move(settings), seed) {}

  void Step(Time now, std::vector<Event> events = {}) {
    actions.clear();
    sender_.Process(now, events, actions);
    for (const StartAttempt& send : All<StartAttempt>()) attempts_[send.id] += 1;
  }
  void List(Time now, std::vector<EndpointRecord> entries) {
    Step(now, {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                   .endpoints = std::move(entries)}});
  }
  static MessageAccepted Taken(std::string id, int message_class = kSafeClass, Duration left = 20s,
                               std::string key = "", int destination = 1) {
    return {std::move(id), destination, message_class, left, std::move(key)};
  }
  void Take(Time now, std::string id, int message_class = kSafeClass, Duration left = 20s,
            std::string key = "", int destination = 1) {
    Step(now, {Taken(std::move(id), message_class, left, std::move(key), destination)});
  }
  AttemptCompleted Ended(const std::string& id, Outcome outcome, Duration took = 100ms,
                         Duration wait = 0ms) const {
    AttemptCompleted e;
    e.id = id;
    e.attempt = attempts_.at(id) - 1;
    e.outcome = outcome;
    e.message_ended = outcome == Outcome::kOk;
    e.latency = took;
    e.retry_after = wait;
    return e;
  }
  void End(Time now, const std::string& id, Outcome outcome, Duration took = 100ms, Duration wait = 0ms) {
    Step(now, {Ended(id, outcome, took, wait)});
  }

  template <typename T>
  std::vector<T> All() const {
    std::vector<T> all;
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<T>(&a)) all.push_back(*t);
    }
    return all;
  }
  template <typename T>
  std::string Ids() const {  // ids of one sort of action, in order
    std::string ids;
    for (const T& t : All<T>()) ids += (ids.empty() ? "" : " ") + t.id;
    return ids;
  }

  std::vector<Action> actions;

 private:
  DispatchPolicy sender_;
  std::map<std::string, int> attempts_;
};

inline EndpointRecord At(std::string endpoint, int kind = 0, int destination = 1, double rate = 0) {
  return {.endpoint = std::move(endpoint), .destination = destination, .kind = kind, .rate = rate};
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_NODE_H_
