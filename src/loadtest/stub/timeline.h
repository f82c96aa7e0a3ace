// What goes wrong at stand-ins, and when: a script, read from JSON. No I/O.
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
  kWell,
  kSlow,    // `times` as long
  kSilent,  // no answer; every second one has run
  kLate,    // no answer; runs `ms` later all the same
  kRefuse,  // 503
  kFull,    // 429, told to wait `ms`
  kError,   // 500; every second one has run
  kReset,   // the connection is reset; every second one has run
  kSpoilt,  // has run; an answer that can't be read
  kHalf,    // has run; an answer that breaks off
  kTwice,   // runs twice: a partner's own mistake
  kPause,   // reads and answers nothing until it is over, then everything
  kShut     // connections are refused and reset
};
const char* Name(Fault fault);
std::optional<Fault> FaultNamed(const std::string& name);

struct FaultSpan {
  Fault fault = Fault::kWell;
  double from_ms = 0, for_ms = 0;
  std::string endpoint;            // empty: any
  std::optional<int> destination;  // none: any
  double share = 1;                // of the calls
  double ms = 500, times = 10;
  bool At(double now_ms, const std::string& at_endpoint, int at_destination) const {
    return now_ms >= from_ms && now_ms < from_ms + for_ms && (endpoint.empty() || endpoint == at_endpoint) &&
           (!destination || *destination == at_destination);
  }
  bool OfListener() const { return fault == Fault::kPause || fault == Fault::kShut; }
};

class Timeline {
 public:
  Timeline() = default;
  explicit Timeline(std::vector<FaultSpan> spans) : spans_(std::move(spans)) {}
  static Timeline FromJson(const nlohmann::json& list);  // validated by the stand-ins' schema
  nlohmann::json ToJson() const;
  const std::vector<FaultSpan>& spans() const { return spans_; }
  // What befalls a call now: the first span that holds and draws it.
  FaultSpan Draw(double now_ms, const std::string& endpoint, int destination, Random& random) const;

 private:
  std::vector<FaultSpan> spans_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_TIMELINE_H_
