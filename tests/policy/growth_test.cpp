// Guards against memory that grows without bound where endpoints are replaced again and again: the memory
// that the policy uses must level off.
#undef NDEBUG
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "sagetally/dispatch_policy.h"

namespace {
// Blocks of memory that the operators below have allocated and not freed.
long live_blocks = 0;
}  // namespace

void* operator new(std::size_t size) {
  void* p = std::malloc(size);
  if (p == nullptr) throw std::bad_alloc();
  ++live_blocks;
  return p;
}
void operator delete(void* p) noexcept {
  live_blocks -= p == nullptr ? 0 : 1;
  std::free(p);
}
void operator delete(void* p, std::size_t) noexcept { operator delete(p); }

int main() {
  using namespace sagetally;
  using namespace std::chrono_literals;
  Settings settings;
  settings.classes.resize(2);
  for (ClassSettings& c : settings.classes) {
    c.latency_objective = 2s;
    c.deadline = 12s;
    c.priority_weight = 1;
  }
  settings.classes[1].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[1].deduplication_window = 10s;
  settings.classes[1].ordered_by_key = true;
  settings.key_quiet_time = 1s;
  settings.kinds.resize(1);
  settings.max_concurrent_calls = 4;
  settings.max_pending_messages = 50;
  settings.max_attempts = 6;
  settings.connection_idle_timeout = 15s;
  settings.cold_capacity_fraction = 0.3;
  settings.overload_multiple = 1.5;
  settings.overload_duration = 1500ms;
  settings.warm_up_time = 11s;
  DispatchPolicy policy(settings, 1);
  Time now = 1000s;
  std::vector<Action> actions;
  const auto name = [](int i) { return "s-" + std::to_string(i); };
  long early_blocks = 0;
  for (int i = 0; i < 3000; ++i) {
    now += 1s;
    EndpointListUpdated list;
    list.endpoints = {{name(i), 7, 0, 0, 50, EndpointRecord::State::kUp}};
    if (i > 0) list.endpoints.push_back({name(i - 1), 7, 0, 0, 50, EndpointRecord::State::kRemoved});
    MessageAccepted message{std::to_string(i), 7, i % 2, 9s, "key" + std::to_string(i)};
    actions.clear();
    policy.Process(now, std::vector<Event>{list, message}, actions);
    // Every fourth call is reset and may still run. The message ends in any case.
    std::vector<Event> outcomes;
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
        AttemptCompleted completed;
        completed.id = attempt->id;
        completed.outcome = i % 4 == 0 ? Outcome::kReset : Outcome::kOk;
        completed.message_ended = true;
        completed.latency = 50ms;
        outcomes.emplace_back(completed);
      }
    }
    now += 50ms;
    actions.clear();
    policy.Process(now, outcomes, actions);
    if (i == 500) early_blocks = live_blocks;
  }
  std::printf("%ld blocks after 500 replacements, %ld after 3,000\n", early_blocks, live_blocks);
  assert(live_blocks < early_blocks + 100);
  std::puts("1 passed, 0 failed");
}
