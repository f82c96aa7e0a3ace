// Asking discovery for lists: one sender comes back soon, and hundreds don't keep it too busy to serve any.
#undef NDEBUG
#include "net/endpoint_list_watcher.h"

#include <cassert>
#include <chrono>
#include <deque>
#include <queue>

#include "loadtest/stub/listener.h"

namespace sagetally {
namespace {

using namespace std::chrono_literals;

void EachWaitIsDrawnUnderABoundThatDoubles() {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Backoff back_off(100ms, 700ms, seed);
    for (int round = 0; round < 2; ++round) {
      for (const Duration bound : {100ms, 200ms, 400ms, 700ms, 700ms}) {
        const Duration wait = back_off.NextDelay();
        assert(wait >= 0ms && wait <= bound);
      }
      back_off.Reset();
    }
  }
  Backoff constant(200ms, 0ms, 1);
  Backoff huge_fleet(150s, 10s, 1);  // thousands of senders may not be away for minutes
  for (int i = 0; i < 5; ++i) assert(constant.NextDelay() <= 200ms && huge_fleet.NextDelay() <= 10s);
}

// In virtual time: discovery serves `most` calls in any second, refused ones counted, and hears each of
// `senders` again until it has been served. Returns how many it has served after 60 s.
int Served(int senders, std::size_t most, Duration first, Duration longest) {
  std::vector<Backoff> waits;
  std::priority_queue<std::pair<Duration, int>, std::vector<std::pair<Duration, int>>, std::greater<>> due;
  for (int i = 0; i < senders; ++i) {
    waits.emplace_back(first, longest, static_cast<std::uint64_t>(i));
    due.emplace(waits.back().NextDelay(), i);
  }
  std::deque<Duration> heard;
  int served = 0;
  for (; !due.empty() && due.top().first < 60s; due.pop()) {
    const auto [now, sender] = due.top();
    while (!heard.empty() && heard.front() + 1s <= now) heard.pop_front();
    heard.push_back(now);
    if (heard.size() <= most) {
      served += 1;
    } else {
      due.emplace(now + waits[static_cast<std::size_t>(sender)].NextDelay(), sender);
    }
  }
  return served;
}

void HundredsOfSendersAreServedOneAfterTheOther() {
  for (const int senders : {100, 300}) {
    assert(Served(senders, 40, 200ms, 10s) == senders);
    assert(Served(senders, 40, 200ms, 200ms) < senders);  // what the test would miss without doubling
  }
}

// How often discovery that refuses is asked until `until` by twenty of `senders`, in the mean.
double Asks(bool on_request, int senders, Duration until) {
  constexpr int kWatches = 20;
  EventLoop loop;
  int asks = 0;
  loadtest::Listener refuses(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<loadtest::Call>& call) {
    asks += 1;
    call->Answer(503);
  });
  SiteSettings site;
  site.policy.endpoint_list_on_request = on_request;
  site.policy.dispatcher_count = senders;
  site.policy.max_poll_interval = 10s;
  Logger log;
  std::vector<std::unique_ptr<EndpointListWatcher>> watches;
  for (std::uint64_t seed = 1; seed <= kWatches; ++seed) {
    watches.push_back(std::make_unique<EndpointListWatcher>(
        loop, Address{"127.0.0.1", refuses.port()}, site, 0, seed, [](const EndpointListUpdate&) {}, log));
  }
  Timer end(loop, [&] { loop.Break(); });
  end.Schedule(until);
  loop.Run();
  return static_cast<double>(asks) / kWatches;
}

void DiscoveryThatIsAskedHearsManySendersSeldom() {
  // Each waits up to 5 s, so that it hears of a drain before that binds: 1.3 asks are to be expected.
  assert(Asks(true, 300, 1500ms) <= 2);
  assert(Asks(true, 3, 1500ms) >= 3);
  assert(Asks(false, 300, 1500ms) >= 5);  // pushed lists cost discovery nothing
}

}  // namespace
}  // namespace sagetally

int main() {
  sagetally::EachWaitIsDrawnUnderABoundThatDoubles();
  sagetally::HundredsOfSendersAreServedOneAfterTheOther();
  sagetally::DiscoveryThatIsAskedHearsManySendersSeldom();
}
