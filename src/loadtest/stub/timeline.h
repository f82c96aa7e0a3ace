// The fault timeline of stub servers: which faults occur at which endpoints at which times. It is immutable
// after it was read from JSON, so that all servers of a set can share it. It does no I/O.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_TIMELINE_H_
#define SAGETALLY_SRC_LOADTEST_STUB_TIMELINE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/random.h"

namespace sagetally::loadtest {

enum class Fault {
  kNone,                // The call succeeds.
  kSlow,                // The service time is multiplied by `slowdown_factor`.
  kNoResponse,          // The call gets no response. Every second such call is executed.
  kLateExecution,       // The call gets no response, but is executed after `ms`.
  kServiceUnavailable,  // The call is rejected with 503.
  kTooManyRequests,     // The call is rejected with 429, which announces a wait of `ms`.
  kError,               // The call gets 500. Every second such call is executed.
  kReset,               // The connection is reset. Every second such call is executed.
  kMalformedResponse,   // The call is executed, and the response is malformed.
  kTruncatedResponse,   // The call is executed, and the response is truncated.
  kDoubleExecution,     // The call is executed twice, by the partner's own mistake.
  kPause,               // Connections are neither accepted nor read until the span ends.
  kConnectionRefused    // New connections are refused, and open ones are reset.
};

// Convert a fault to its name in JSON and back. An unknown name gives std::nullopt.
const char* Name(Fault fault);
std::optional<Fault> FaultNamed(const std::string& name);

// A fault that lasts for some time. The start is in milliseconds since the start of the servers or, in the
// results of a run, since the start of the run.
struct FaultSpan {
  Fault fault = Fault::kNone;
  double from_ms = 0;
  double for_ms = 0;               // duration
  std::string endpoint;            // endpoint name; empty means any endpoint
  std::optional<int> destination;  // std::nullopt means any destination
  double share = 1;                // fraction of the calls that get the fault
  double ms = 500;                 // delay or announced wait, see Fault
  double slowdown_factor = 10;     // see Fault::kSlow

  // Returns whether the span applies to the endpoint at this time.
  bool Covers(double now_ms, const std::string& called_endpoint, int called_destination) const {
    return now_ms >= from_ms && now_ms < from_ms + for_ms &&
           (endpoint.empty() || endpoint == called_endpoint) &&
           (!destination || *destination == called_destination);
  }
  // Returns whether the fault affects a whole listener rather than single calls.
  bool AffectsListener() const { return fault == Fault::kPause || fault == Fault::kConnectionRefused; }
};

class FaultTimeline {
 public:
  FaultTimeline() = default;
  explicit FaultTimeline(std::vector<FaultSpan> spans) : spans_(std::move(spans)) {}

  // `list` must be valid by the schema of stub servers.
  static FaultTimeline FromJson(const nlohmann::json& list);
  nlohmann::json ToJson() const;

  const std::vector<FaultSpan>& spans() const { return spans_; }

  // Draws the fault of a call that arrives at `now_ms`. Each span that covers the call is chosen with the
  // probability `share`, and the first chosen span is returned. If none is chosen, the fault is Fault::kNone.
  FaultSpan Draw(double now_ms, const std::string& endpoint, int destination, Random& random) const;

 private:
  std::vector<FaultSpan> spans_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_TIMELINE_H_
