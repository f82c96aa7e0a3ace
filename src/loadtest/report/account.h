// Accounts for each message of a run exactly once, and derives all figures of the run from that.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_ACCOUNT_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_ACCOUNT_H_

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "loadtest/load/scenario.h"
#include "loadtest/report/histogram.h"
#include "loadtest/report/record.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

// The one end of a message, seen from outside.
enum class Fate {
  kUnsent,         // no connection and no room to wait for one, or the run was broken off
  kRefused,        // 429 or 503, and the client did not come again
  kFailed,         // any other answer
  kUnanswered,     // none in the client's time
  kInAim,          // delivered, in the class's aim
  kLate,           // delivered, after it
  kUndeliverable,  // told so
  kDeferred,       // told so
  kLost,           // taken, and nothing more was heard within its time
  kPending,        // taken, and its time is not up
  kUnwatched       // taken, and no stand-in told of ends
};
inline constexpr int kFates = 11;
const char* Name(Fate fate);

struct Bucket {  // by intended time
  std::int64_t offered = 0, taken = 0, refused = 0, failed = 0, unanswered = 0, unsent = 0, delivered = 0,
               undelivered = 0;
  double corrected_p50 = 0, corrected_p99 = 0, corrected_max = 0;  // us
  double as_sent_p99 = 0, as_sent_max = 0;
};

struct Met {  // messages that were due during a fault
  std::int64_t offered = 0, taken = 0, in_aim = 0;
  std::int64_t waited = 0;  // over 20 ms for their first answer, or in vain
  double answer_max_us = 0;
};

struct Finding {  // something that no run may show
  std::string rule, id, detail;
  bool operator==(const Finding&) const = default;
};

struct Account {
  std::int64_t offered = 0, hand_ins = 0;
  std::array<std::int64_t, kFates> fates{};
  // By message; us. `answer`: to the first answer, or to the end of waiting for one (then at least so long).
  LatencyHistogram answer_corrected, answer_as_sent, taken, delivered, ended, lag, connection_wait;
  std::int64_t answers_cut = 0;  // of those, how many ended without an answer
  std::vector<Met> met;          // by fault of the timeline
  std::vector<Bucket> series;    // of 100 ms each
  std::map<std::string, std::array<std::int64_t, kFates>> classes;
  std::map<std::int32_t, std::int64_t> destinations;  // offered to each
  std::vector<Finding> findings;                      // the first 100
  std::int64_t findings_count = 0;
  std::int64_t strangers = 0;  // sightings of messages that no sender of this run knows
  std::int64_t given_up = 0;   // deliveries and ends under hand-ins that clients had given up
};

inline constexpr std::int64_t kBucketUs = 100'000;

// `faults`: in ms of the run. `watched`: stand-ins told of deliveries and ends, so that what they did not
// tell of is missing. `over_us`: when the run stopped listening.
Account Settle(const Scenario& scenario, std::span<const Record> records, std::span<const Sighting> sightings,
               bool watched, std::int64_t over_us, std::uint32_t run, std::span<const FaultSpan> faults = {});

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_ACCOUNT_H_
