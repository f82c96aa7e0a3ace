// The rate of requests for endpoint lists. A single dispatcher retries soon, and hundreds of dispatchers do
// not overload discovery so much that it serves none of them.
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

constexpr int kWatcherCount = 20;  // how many watchers run at the same time

void BackoffDelaysStayBelowADoublingBound() {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Backoff backoff(100ms, 700ms, seed);
    for (int round = 0; round < 2; ++round) {
      for (const Duration bound : {100ms, 200ms, 400ms, 700ms, 700ms}) {
        const Duration delay = backoff.NextDelay();
        assert(delay >= 0ms && delay <= bound);
      }
      backoff.Reset();
    }
  }
  Backoff constant(200ms, 0ms, 1);
  Backoff huge_fleet(150s, 10s, 1);  // thousands of dispatchers must not wait for minutes
  for (int i = 0; i < 5; ++i) assert(constant.NextDelay() <= 200ms && huge_fleet.NextDelay() <= 10s);
}

// Simulates, in virtual time, a discovery that serves at most `max_per_second` requests in any second and
// rejects the others; rejected requests count as well. Each dispatcher retries until it is served, with a
// backoff from `initial_bound` to `max_bound`. Returns how many dispatchers are served after 60 s.
int CountServed(int dispatcher_count, std::size_t max_per_second, Duration initial_bound,
                Duration max_bound) {
  std::vector<Backoff> backoffs;
  std::priority_queue<std::pair<Duration, int>, std::vector<std::pair<Duration, int>>, std::greater<>> due;
  for (int i = 0; i < dispatcher_count; ++i) {
    backoffs.emplace_back(initial_bound, max_bound, static_cast<std::uint64_t>(i));
    due.emplace(backoffs.back().NextDelay(), i);
  }
  std::deque<Duration> recent_requests;
  int served = 0;
  for (; !due.empty() && due.top().first < 60s; due.pop()) {
    const auto [now, dispatcher] = due.top();
    while (!recent_requests.empty() && recent_requests.front() + 1s <= now) recent_requests.pop_front();
    recent_requests.push_back(now);
    if (recent_requests.size() <= max_per_second) {
      served += 1;
    } else {
      due.emplace(now + backoffs[static_cast<std::size_t>(dispatcher)].NextDelay(), dispatcher);
    }
  }
  return served;
}

void BackoffLetsDiscoveryServeHundredsOfDispatchers() {
  for (const int dispatcher_count : {100, 300}) {
    assert(CountServed(dispatcher_count, 40, 200ms, 10s) == dispatcher_count);
    assert(CountServed(dispatcher_count, 40, 200ms, 200ms) <
           dispatcher_count);  // without a growing bound, some are not served
  }
}

// Runs kWatcherCount watchers for `time` against a discovery that rejects all requests. The watchers are
// configured for a fleet of `dispatcher_count`. Returns the mean number of requests per watcher.
double RequestsPerWatcher(bool on_request, int dispatcher_count, Duration time) {
  EventLoop loop;
  int request_count = 0;
  loadtest::Listener rejecting(loop, {"127.0.0.1", 0}, [&](const std::shared_ptr<loadtest::Call>& call) {
    request_count += 1;
    call->Answer(503);
  });
  SiteSettings site;
  site.policy.endpoint_list_on_request = on_request;
  site.policy.dispatcher_count = dispatcher_count;
  site.policy.max_poll_interval = 10s;
  Logger log;
  std::vector<std::unique_ptr<EndpointListWatcher>> watchers;
  for (std::uint64_t seed = 1; seed <= kWatcherCount; ++seed) {
    watchers.push_back(std::make_unique<EndpointListWatcher>(
        loop, Address{"127.0.0.1", rejecting.port()}, site, 0, seed, [](const EndpointListUpdate&) {}, log));
  }
  Timer end(loop, [&] { loop.Break(); });
  end.Schedule(time);
  loop.Run();
  return static_cast<double>(request_count) / kWatcherCount;
}

void LargeFleetLimitsItsRequestRate() {
  // Each watcher waits at most 5 s, so that it receives a drain before the drain takes effect. The expected
  // mean is 1.3 requests.
  assert(RequestsPerWatcher(true, 300, 1500ms) <= 2);
  assert(RequestsPerWatcher(true, 3, 1500ms) >= 3);
  assert(RequestsPerWatcher(false, 300, 1500ms) >= 5);  // requests for pushed lists do not burden discovery
}

}  // namespace
}  // namespace sagetally

int main() {
  sagetally::BackoffDelaysStayBelowADoublingBound();
  sagetally::BackoffLetsDiscoveryServeHundredsOfDispatchers();
  sagetally::LargeFleetLimitsItsRequestRate();
}
