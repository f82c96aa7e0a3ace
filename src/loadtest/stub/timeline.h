// The fault timeline of stub servers: which faults befall which calls or listeners, and when. Read from JSON;
// immutable afterwards, so that all servers of a set share one. No I/O.
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
  kNone,                // none
  kSlow,                // takes `times` as long
  kNoResponse,          // no response; every second call is executed
  kLateExecution,       // no response; executed `ms` later all the same
  kServiceUnavailable,  // 503
  kTooManyRequests,     // 429 with a wait of `ms`
  kError,               // 500; every second call is executed
  kReset,               // the connection is reset; every second call is executed
  kMalformedResponse,   // executed; the response is malformed
  kTruncatedResponse,   // executed; the response is truncated
  kDoubleExecution,     // executed twice: the partner's own fault
  kPause,               // connections are neither accepted nor read until it is over
  kConnectionRefused    // connections are refused, open ones are reset
};

// The timeline's name of the fault, and back; none if it is unknown.
const char* Name(Fault fault);
std::optional<Fault> FaultNamed(const std::string& name);

// One fault for some time. Times are in milliseconds since the start of its servers, or of a run.
struct FaultSpan {
  Fault fault = Fault::kNone;
  double from_ms = 0;
  double for_ms = 0;
  std::string endpoint;            // empty: any
  std::optional<int> destination;  // none: any
  double share = 1;                // of the calls
  double ms = 500;
  double times = 10;

  // Whether the span covers the time and the endpoint.
  bool Covers(double now_ms, const std::string& at_endpoint, int at_destination) const {
    return now_ms >= from_ms && now_ms < from_ms + for_ms && (endpoint.empty() || endpoint == at_endpoint) &&
           (!destination || *destination == at_destination);
  }
  // Whether it affects a listener as a whole rather than single calls.
  bool AffectsListener() const { return fault == Fault::kPause || fault == Fault::kConnectionRefused; }
};

class FaultTimeline {
 public:
  FaultTimeline() = default;
  explicit FaultTimeline(std::vector<FaultSpan> spans) : spans_(std::move(spans)) {}

  // `list`: valid by the schema of stub servers.
  static FaultTimeline FromJson(const nlohmann::json& list);
  nlohmann::json ToJson() const;

  const std::vector<FaultSpan>& spans() const { return spans_; }

  // The fault of a call that comes now: the first span that covers it and is drawn by its share; else
  // Fault::kWell.
  FaultSpan Draw(double now_ms, const std::string& endpoint, int destination, Random& random) const;

 private:
  std::vector<FaultSpan> spans_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_TIMELINE_H_
