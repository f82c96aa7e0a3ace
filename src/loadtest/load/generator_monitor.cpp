#include "loadtest/load/generator_monitor.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <chrono>
#include <cstdlib>
#include <fstream>

#include "loadtest/clock.h"
#include "loadtest/report/histogram.h"

namespace sagetally::loadtest {
namespace {

constexpr std::int64_t kClockJumpThresholdUs = 50'000;

double CpuSeconds() {
  rusage usage{};
  ::getrusage(RUSAGE_THREAD, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

// The second field of the file holds the nanoseconds for which the thread waited on a run queue.
double RunQueueSeconds() {
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

GeneratorMonitor::GeneratorMonitor()
    : start_us_(NowUs()),
      offset_us_(OffsetUs()),
      cpu_seconds_(CpuSeconds()),
      run_queue_seconds_(RunQueueSeconds()) {}

void GeneratorMonitor::Sample() {
  const std::int64_t offset = OffsetUs();
  if (std::abs(offset - offset_us_) > kClockJumpThresholdUs) ++clock_jumps_;
  offset_us_ = offset;
}

SenderThreadReport GeneratorMonitor::Report() {
  Sample();
  return {static_cast<double>(NowUs() - start_us_) / 1e6, CpuSeconds() - cpu_seconds_,
          RunQueueSeconds() - run_queue_seconds_, clock_jumps_};
}

std::vector<std::string> FindInvalidityReasons(const ValidityLimits& limits, const LatencyHistogram& lag,
                                               const std::vector<SenderThreadReport>& threads) {
  std::vector<std::string> reasons;
  const std::int64_t late = lag.CountOver(limits.lag_ms * 1000);
  const double late_fraction =
      lag.count() == 0 ? 0 : static_cast<double>(late) / static_cast<double>(lag.count());
  if (late_fraction > limits.late_fraction) {
    reasons.push_back(
        fmt::format("{:.1f}% of the sends were over {} ms later than intended ({:.1f}% are allowed)",
                    late_fraction * 100, limits.lag_ms, limits.late_fraction * 100));
  }
  for (std::size_t i = 0; i < threads.size(); ++i) {
    const SenderThreadReport& thread = threads[i];
    const double run_queue_fraction =
        thread.wall_seconds > 0 ? thread.run_queue_seconds / thread.wall_seconds : 0;
    if (thread.wall_seconds > 0 && run_queue_fraction > limits.run_queue_fraction) {
      reasons.push_back(
          fmt::format("sending thread {} waited for a core {:.0f}% of the time ({:.0f}% is allowed)", i,
                      run_queue_fraction * 100, limits.run_queue_fraction * 100));
    }
    if (thread.clock_jumps > 0) {
      reasons.push_back(fmt::format("the system clock jumped {} times", thread.clock_jumps));
    }
  }
  return reasons;
}

}  // namespace sagetally::loadtest
