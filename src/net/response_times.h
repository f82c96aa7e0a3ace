// How long an endpoint takes to respond. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_NET_RESPONSE_TIMES_H_
#define SAGETALLY_SRC_NET_RESPONSE_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// What a response says about its call.
enum class ResponseKind { kSuccess, kRejection, kFailure };

// The latest response times of one endpoint, each from the last byte of a call to the whole response.
class ResponseTimes {
 public:
  void Add(ResponseKind kind, Duration time);
  // The longest of the latest times of any kind. Empty until one is known.
  std::optional<Duration> Longest() const;

 private:
  static constexpr std::size_t kKindCount = 3;
  static constexpr std::size_t kSampleCount = 8;

  struct Samples {
    std::array<std::uint32_t, kSampleCount> microseconds{};
    std::uint32_t count = 0;  // of all responses; the array holds the latest of them
  };

  std::array<Samples, kKindCount> samples_by_kind_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_RESPONSE_TIMES_H_
