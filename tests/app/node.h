// A dispatch policy for tests, with settings, shorthands for events, and the actions of the last run.
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

// Of one of many dispatchers that share destinations of little capacity.
inline Settings FleetSettings(int dispatchers, int max_concurrent_calls, int max_pending_messages) {
  Settings s = SmallSettings();
  s.dispatcher_count = dispatchers;
  s.max_concurrent_calls = max_concurrent_calls;
  s.max_pending_messages = max_pending_messages;
  s.connection_idle_timeout = 15s;
  s.overload_duration = 1500ms;
  s.cold_capacity_fraction = 0.3;
  s.overload_multiple = 1.5;
  return s;
}

// Classes of SmallSettings: idempotent, idempotent with key, not idempotent.
constexpr int kIdempotentClass = 0;
constexpr int kIdempotentWithKeyClass = 1;
constexpr int kNotIdempotentClass = 2;

class Node {
 public:
  explicit Node(Settings settings = SmallSettings(), std::uint64_t seed = 1)
      : policy_(std::move(settings), seed) {}

  // Runs the policy; its actions are in `actions`.
  void Process(Time now, std::vector<Event> events = {}) {
    actions.clear();
    policy_.Process(now, events, actions);
    for (const StartAttempt& attempt : All<StartAttempt>()) attempts_[attempt.id] += 1;
  }
  // A full snapshot of the endpoint list.
  void UpdateEndpointList(Time now, std::vector<EndpointRecord> entries) {
    Process(now, {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                      .endpoints = std::move(entries)}});
  }
  static MessageAccepted Accepted(std::string id, int message_class = kIdempotentClass,
                                  Duration time_left = 20s, std::string key = "", int destination = 1) {
    return {std::move(id), destination, message_class, time_left, std::move(key)};
  }
  void Accept(Time now, std::string id, int message_class = kIdempotentClass, Duration time_left = 20s,
              std::string key = "", int destination = 1) {
    Process(now, {Accepted(std::move(id), message_class, time_left, std::move(key), destination)});
  }
  // The completion of the last attempt of a message.
  AttemptCompleted Completed(const std::string& id, Outcome outcome, Duration latency = 100ms,
                             Duration retry_after = 0ms) const {
    AttemptCompleted event;
    event.id = id;
    event.attempt = attempts_.at(id) - 1;
    event.outcome = outcome;
    event.message_ended = outcome == Outcome::kOk;
    event.latency = latency;
    event.retry_after = retry_after;
    return event;
  }
  void Complete(Time now, const std::string& id, Outcome outcome, Duration latency = 100ms,
                Duration retry_after = 0ms) {
    Process(now, {Completed(id, outcome, latency, retry_after)});
  }

  // The actions of one type, in order.
  template <typename ActionType>
  std::vector<ActionType> All() const {
    std::vector<ActionType> all;
    for (const Action& action : actions) {
      if (const auto* found = std::get_if<ActionType>(&action)) all.push_back(*found);
    }
    return all;
  }
  // The ids of the actions of one type, in order, with spaces between them.
  template <typename ActionType>
  std::string Ids() const {
    std::string ids;
    for (const ActionType& action : All<ActionType>()) ids += (ids.empty() ? "" : " ") + action.id;
    return ids;
  }

  std::vector<Action> actions;

 private:
  DispatchPolicy policy_;
  std::map<std::string, int> attempts_;
};

inline EndpointRecord At(std::string endpoint, int kind = 0, int destination = 1, double rate = 0) {
  return {.endpoint = std::move(endpoint), .destination = destination, .kind = kind, .rate = rate};
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_NODE_H_
