#include "net/response_times.h"

#include <algorithm>
#include <limits>

namespace sagetally {

void ResponseTimes::Add(ResponseKind kind, Duration time) {
  Samples& samples = samples_by_kind_.at(static_cast<std::size_t>(kind));
  const auto microseconds =
      std::clamp<std::int64_t>(time.count(), 0, std::numeric_limits<std::uint32_t>::max());
  samples.microseconds.at(samples.count % kSampleCount) = static_cast<std::uint32_t>(microseconds);
  samples.count += 1;
}

std::optional<Duration> ResponseTimes::Longest() const {
  std::optional<Duration> longest;
  for (const Samples& samples : samples_by_kind_) {
    const std::size_t known = std::min<std::size_t>(samples.count, kSampleCount);
    for (std::size_t i = 0; i < known; ++i) {
      longest = std::max(longest.value_or(Duration(0)), Duration(samples.microseconds.at(i)));
    }
  }
  return longest;
}

}  // namespace sagetally
