// The example of the README. A dispatcher with one endpoint accepts one message, and the policy decides which
// attempt to start. The test checks the printed line.
#include <cstdio>
#include <variant>
#include <vector>

#include "sagetally/dispatch_policy.h"

int main() {
  using namespace std::chrono_literals;
  sagetally::Settings settings;
  settings.classes.push_back(
      {.latency_objective = 2s, .deadline = 20s, .idempotency = sagetally::Idempotency::kIdempotent});
  settings.kinds.push_back({});
  settings.max_concurrent_calls = 4;
  settings.max_pending_messages = 100;
  settings.max_attempts = 5;
  sagetally::DispatchPolicy policy(settings, /*seed=*/1);

  std::vector<sagetally::Event> events;
  events.emplace_back(
      sagetally::EndpointListUpdated{.kind = sagetally::EndpointListUpdated::Kind::kFullSnapshot,
                                     .endpoints = {{.endpoint = "192.0.2.1:443", .destination = 7}}});
  events.emplace_back(sagetally::MessageAccepted{.id = "order-1", .destination = 7, .time_left = 20s});

  std::vector<sagetally::Action> actions;
  policy.Process(/*now=*/0s, events, actions);
  for (const sagetally::Action& action : actions) {
    if (const auto* attempt = std::get_if<sagetally::StartAttempt>(&action)) {
      std::printf("send %s to %s\n", attempt->id.c_str(), attempt->endpoint.c_str());
    }
  }
}
