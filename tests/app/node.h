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
  s.classes = {{.aim = 2s, .deadline = 20s, .worth = 2, .late_share = 0.5, .effect = Effect::kSafe},
               {.aim = 2s,
                .deadline = 20s,
                .worth = 1,
                .late_share = 0.5,
                .effect = Effect::kKeyed,
                .repeat_window = 5s},
               {.aim = 2s, .deadline = 20s, .worth = 4, .late_share = 0.5, .effect = Effect::kUnsafe}};
  s.kinds = {{}, {.routes_apart = true}, {.batch_max = 4}};
  s.slots = 8;
  s.most_held = 100;
  s.max_attempts = 6;
  s.may_probe = true;
  s.connection_idle = 5s;
  s.answer_slack = 20ms;
  s.cold_share = 0.25;
  s.fall_multiple = 2;
  s.tip_after = 3s;
  s.warm_within = 10s;
  return s;
}

// Of one of many senders that share small destinations.
inline Settings FleetSettings(int senders, int slots, int most_held) {
  Settings s = SmallSettings();
  s.senders = senders;
  s.slots = slots;
  s.most_held = most_held;
  s.connection_idle = 15s;
  s.tip_after = 1500ms;
  s.cold_share = 0.3;
  s.fall_multiple = 1.5;
  return s;
}

constexpr int kSafeClass = 0, kKeyedClass = 1, kUnsafeClass = 2;

class Node {
 public:
  explicit Node(Settings settings = SmallSettings(), std::uint64_t seed = 1)
      : sender_(std::move(settings), seed) {}

  void Step(Time now, std::vector<Event> events = {}) {
    actions.clear();
    sender_.Step(now, events, actions);
    for (const Send& send : All<Send>()) attempts_[send.id] += 1;
  }
  void List(Time now, std::vector<EndpointEntry> entries) {
    Step(now, {ListChanged{.kind = ListChanged::Kind::kWhole, .entries = std::move(entries)}});
  }
  static MessageTaken Taken(std::string id, int message_class = kSafeClass, Duration left = 20s,
                            std::string key = "", int destination = 1) {
    return {std::move(id), destination, message_class, left, std::move(key)};
  }
  void Take(Time now, std::string id, int message_class = kSafeClass, Duration left = 20s,
            std::string key = "", int destination = 1) {
    Step(now, {Taken(std::move(id), message_class, left, std::move(key), destination)});
  }
  AttemptEnded Ended(const std::string& id, Outcome outcome, Duration took = 100ms,
                     Duration wait = 0ms) const {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempts_.at(id) - 1;
    e.outcome = outcome;
    e.finished = outcome == Outcome::kOk;
    e.took = took;
    e.told_wait = wait;
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
  Sender sender_;
  std::map<std::string, int> attempts_;
};

inline EndpointEntry At(std::string endpoint, int kind = 0, int destination = 1, double rate = 0) {
  return {.endpoint = std::move(endpoint), .destination = destination, .kind = kind, .rate = rate};
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_NODE_H_
