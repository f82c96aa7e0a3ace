#include "loadtest/load/self_watch.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <chrono>
#include <cstdlib>
#include <fstream>

#include "loadtest/clock.h"
#include "loadtest/report/histogram.h"

namespace sagetally::loadtest {
namespace {

constexpr std::int64_t kJumpUs = 50'000;

double CpuSeconds() {
  rusage usage{};
  ::getrusage(RUSAGE_THREAD, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

double RunQueueSeconds() {  // second field: nanoseconds spent waiting on a run queue
  std::ifstream file("/proc/thread-self/schedstat");
  std::int64_t running = 0, waiting = 0;
  file >> running >> waiting;
  return static_cast<double>(waiting) / 1e9;
}

std::int64_t OffsetUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count() - NowUs();
}

}  // namespace

SelfWatch::SelfWatch()
    : start_us_(NowUs()), offset_us_(OffsetUs()), cpu_s_(CpuSeconds()), run_queue_s_(RunQueueSeconds()) {}

void SelfWatch::Sample() {
  const std::int64_t offset = OffsetUs();
  if (std::abs(offset - offset_us_) > kJumpUs) ++jumps_;
  offset_us_ = offset;
}

SelfReport SelfWatch::Report() {
  Sample();
  return {static_cast<double>(NowUs() - start_us_) / 1e6, CpuSeconds() - cpu_s_,
          RunQueueSeconds() - run_queue_s_, jumps_};
}

std::vector<std::string> Invalid(const Validity& limits, const LatencyHistogram& lag,
                                 const std::vector<SelfReport>& threads) {
  std::vector<std::string> why;
  const std::int64_t late = lag.Over(limits.lag_ms * 1000);
  const double share = lag.count() == 0 ? 0 : static_cast<double>(late) / static_cast<double>(lag.count());
  if (share > limits.share) {
    why.push_back(fmt::format("{:.1f}% of the sends went out over {} ms behind their intent ({:.1f}% may)",
                              share * 100, limits.lag_ms, limits.share * 100));
  }
  for (std::size_t i = 0; i < threads.size(); ++i) {
    const SelfReport& t = threads[i];
    if (t.wall_s > 0 && t.run_queue_s / t.wall_s > limits.run_queue_share) {
      why.push_back(fmt::format("sending thread {} waited for a core {:.0f}% of the time ({:.0f}% may)", i,
                                t.run_queue_s / t.wall_s * 100, limits.run_queue_share * 100));
    }
    if (t.clock_jumps > 0) why.push_back(fmt::format("the machine's clock jumped {} times", t.clock_jumps));
  }
  return why;
}

}  // namespace sagetally::loadtest
