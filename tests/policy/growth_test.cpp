// Guards the memory on a day on which endpoints are replaced without end: what the module keeps levels off.
#undef NDEBUG
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "sagetally/dispatch_policy.h"

namespace {
long live_blocks = 0;  // counts what the operators below hand out
}

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
    c.aim = 2s;
    c.deadline = 12s;
    c.worth = 1;
  }
  settings.classes[1].effect = Effect::kKeyed;
  settings.classes[1].repeat_window = 10s;
  settings.classes[1].in_order = true;
  settings.key_quiet = 1s;
  settings.kinds.resize(1);
  settings.slots = 4;
  settings.most_held = 50;
  settings.max_attempts = 6;
  settings.connection_idle = 15s;
  settings.cold_share = 0.3;
  settings.fall_multiple = 1.5;
  settings.tip_after = 1500ms;
  settings.warm_within = 11s;
  Sender sender(settings, 1);
  Time now = 1000s;
  std::vector<Action> actions;
  const auto name = [](int i) { return "s-" + std::to_string(i); };
  long early = 0;
  for (int i = 0; i < 3000; ++i) {
    now += 1s;
    ListChanged list;
    list.entries = {{name(i), 7, 0, 0, 50, EndpointEntry::State::kUp}};
    if (i > 0) list.entries.push_back({name(i - 1), 7, 0, 0, 50, EndpointEntry::State::kRemoved});
    MessageTaken message{std::to_string(i), 7, i % 2, 9s, "key" + std::to_string(i)};
    actions.clear();
    sender.Step(now, std::vector<Event>{list, message}, actions);
    // Every fourth call breaks and may still run; whatever becomes of it, it ends here.
    std::vector<Event> back;
    for (const Action& action : actions) {
      if (const Send* send = std::get_if<Send>(&action)) {
        AttemptEnded ended;
        ended.id = send->id;
        ended.outcome = i % 4 == 0 ? Outcome::kReset : Outcome::kOk;
        ended.finished = true;
        ended.took = 50ms;
        back.push_back(ended);
      }
    }
    now += 50ms;
    actions.clear();
    sender.Step(now, back, actions);
    if (i == 500) early = live_blocks;
  }
  std::printf("%ld blocks after 500 replacements, %ld after 3,000\n", early, live_blocks);
  assert(live_blocks < early + 100);
  std::puts("1 passed, 0 failed");
}
