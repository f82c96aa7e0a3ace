// Test support: PolicyDriver runs one DispatchPolicy and has short forms for events and for reading the
// actions. There are also typical settings.
#ifndef SAGETALLY_TESTS_POLICY_POLICY_DRIVER_H_
#define SAGETALLY_TESTS_POLICY_POLICY_DRIVER_H_

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

using namespace std::chrono_literals;

// Settings of one dispatcher with few concurrent calls. The constants below name its classes.
inline Settings SmallSettings() {
  Settings settings;
  settings.classes = {{.latency_objective = 2s,
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
  settings.kinds = {{}, {.per_endpoint_limits = true}, {.max_batch_size = 4}};
  settings.max_concurrent_calls = 8;
  settings.max_pending_messages = 100;
  settings.max_attempts = 6;
  settings.health_checks_allowed = true;
  settings.connection_idle_timeout = 5s;
  settings.response_slack = 20ms;
  settings.cold_capacity_fraction = 0.25;
  settings.overload_multiple = 2;
  settings.overload_duration = 3s;
  settings.warm_up_time = 10s;
  return settings;
}

// Settings of one of many dispatchers that share small destinations.
inline Settings FleetSettings(int dispatchers, int max_concurrent_calls, int max_pending_messages) {
  Settings settings = SmallSettings();
  settings.dispatcher_count = dispatchers;
  settings.max_concurrent_calls = max_concurrent_calls;
  settings.max_pending_messages = max_pending_messages;
  settings.connection_idle_timeout = 15s;
  settings.overload_duration = 1500ms;
  settings.cold_capacity_fraction = 0.3;
  settings.overload_multiple = 1.5;
  return settings;
}

// Indices of the classes of SmallSettings.
constexpr int kIdempotentClass = 0;
constexpr int kWithKeyClass = 1;
constexpr int kNotIdempotentClass = 2;

// An endpoint that is up.
inline EndpointRecord MakeEndpointRecord(std::string endpoint, int kind = 0, int destination = 1,
                                         double rate = 0) {
  return {.endpoint = std::move(endpoint), .destination = destination, .kind = kind, .rate = rate};
}

class PolicyDriver {
 public:
  explicit PolicyDriver(Settings settings = SmallSettings(), std::uint64_t seed = 1)
      : policy_(std::move(settings), seed) {}

  // Runs the policy once. `actions` holds its actions until the next run.
  void Process(Time now, const std::vector<Event>& events = {}) {
    actions.clear();
    policy_.Process(now, events, actions);
    for (const StartAttempt& attempt : ActionsOf<StartAttempt>()) attempts_[attempt.id] += 1;
  }

  // Replaces the endpoint list by `records`.
  void UpdateEndpoints(Time now, std::vector<EndpointRecord> records) {
    Process(now, {EndpointListUpdated{.kind = EndpointListUpdated::Kind::kFullSnapshot,
                                      .endpoints = std::move(records)}});
  }

  // Returns the event of a new message.
  static MessageAccepted Accepted(std::string id, int message_class = kIdempotentClass,
                                  Duration time_left = 20s, std::string key = "", int destination = 1) {
    return {std::move(id), destination, message_class, time_left, std::move(key)};
  }
  // Runs the policy with a new message.
  void Accept(Time now, std::string id, int message_class = kIdempotentClass, Duration time_left = 20s,
              std::string key = "", int destination = 1) {
    Process(now, {Accepted(std::move(id), message_class, time_left, std::move(key), destination)});
  }

  // Returns the event of the end of the last attempt for a message.
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
  // Runs the policy with the end of the last attempt for a message.
  void Complete(Time now, const std::string& id, Outcome outcome, Duration latency = 100ms,
                Duration retry_after = 0ms) {
    Process(now, {Completed(id, outcome, latency, retry_after)});
  }

  // Returns the actions of one type in the last run, in order.
  template <typename T>
  std::vector<T> ActionsOf() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const auto* typed = std::get_if<T>(&action)) found.push_back(*typed);
    }
    return found;
  }

  // Returns the message ids of the actions of one type in the last run, separated by blanks.
  template <typename T>
  std::string IdsOf() const {
    std::string ids;
    for (const T& action : ActionsOf<T>()) ids += (ids.empty() ? "" : " ") + action.id;
    return ids;
  }

  std::vector<Action> actions;

 private:
  DispatchPolicy policy_;
  // Attempts so far, by message.
  std::map<std::string, int> attempts_;
};

// Makes three calls that are answered after 100 ms, so that the expected latency is known (about 100 ms).
inline void CompleteThreeCalls(PolicyDriver& policy, Time start, int destination = 1) {
  for (int i = 0; i < 3; ++i) {
    const std::string id = "call" + std::to_string(destination) + std::to_string(i);
    policy.Accept(start + i * 200ms, id, kIdempotentClass, 20s, "", destination);
    ASSERT_EQ(policy.IdsOf<StartAttempt>(), id);
    policy.Complete(start + i * 200ms + 100ms, id, Outcome::kOk);
  }
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_POLICY_POLICY_DRIVER_H_
