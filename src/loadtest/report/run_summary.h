// The summary of a run: accounts for each message exactly once, and derives all metrics from that.
//
// Summarize() joins the senders' records with the stub servers' observations. Called once a run is over, or
// repeatedly while its outcomes are awaited; no I/O, no threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RUN_SUMMARY_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RUN_SUMMARY_H_

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "loadtest/load/scenario.h"
#include "loadtest/report/histogram.h"
#include "loadtest/report/message_record.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

// The final outcome of a message, as seen from outside the target.
enum class FinalOutcome {
  kUnsent,           // neither a connection nor space in the queue, or the run was interrupted
  kRejected,         // 429 or 503, and the client did not submit it again
  kFailed,           // any other response
  kUnanswered,       // no response within the client's timeout
  kWithinObjective,  // delivered within the class's latency objective
  kLate,             // delivered after it
  kUndeliverable,    // reported as undeliverable
  kDeferred,         // reported as deferred
  kLost,             // accepted, and nothing observed within its deadline
  kPending,          // accepted, and its deadline has not passed
  kNotObserved       // accepted, and no stub server reported outcomes
};
inline constexpr int kFinalOutcomeCount = 11;

// Messages by FinalOutcome.
using OutcomeCounts = std::array<std::int64_t, kFinalOutcomeCount>;

// The result file's name of the value.
const char* Name(FinalOutcome outcome);

// Messages intended within one interval of kBucketUs. Latencies in microseconds.
struct TimeBucket {
  std::int64_t offered = 0;
  std::int64_t accepted = 0;
  std::int64_t rejected = 0;
  std::int64_t failed = 0;
  std::int64_t unanswered = 0;
  std::int64_t unsent = 0;
  std::int64_t delivered = 0;
  std::int64_t undelivered = 0;
  double corrected_p50 = 0;
  double corrected_p99 = 0;
  double corrected_max = 0;
  double as_sent_p99 = 0;
  double as_sent_max = 0;
};
inline constexpr std::int64_t kBucketUs = 100'000;

// The messages that were due during one fault.
struct FaultImpact {
  std::int64_t offered = 0;
  std::int64_t accepted = 0;
  std::int64_t within_objective = 0;
  std::int64_t waited_long = 0;  // over 20 ms for the first response, or without one
  double max_response_us = 0;
};

// A violated rule: something that no run may show.
struct Violation {
  std::string rule;    // its name in logs and result files
  std::string id;      // of the message; empty: of the run
  std::string detail;  // what was observed
  bool operator==(const Violation&) const = default;
};
inline constexpr std::size_t kMaxRecordedViolations = 100;

// Latencies are in microseconds, one value a message. "Corrected" counts from the intended time, so that a
// stalled target is charged for every message that was due (no coordinated omission); "as sent" counts from
// the first byte. Messages without a response count with the time they waited for it.
struct RunSummary {
  std::int64_t offered = 0;
  std::int64_t submissions = 0;
  OutcomeCounts outcomes{};
  LatencyHistogram response_corrected;
  LatencyHistogram response_as_sent;
  LatencyHistogram accepted;         // from the intended time
  LatencyHistogram delivered;        // from the intended time
  LatencyHistogram undelivered;      // from the intended time to the notice
  LatencyHistogram lag;              // of the generator behind the intended time
  LatencyHistogram connection_wait;  // from due to sent
  std::int64_t unanswered_count = 0;
  std::vector<FaultImpact> fault_impacts;  // by fault of the timeline
  std::vector<TimeBucket> buckets;
  std::map<std::string, OutcomeCounts> classes;
  std::map<std::int32_t, std::int64_t> destinations;  // messages offered to each
  std::vector<Violation> violations;                  // the first kMaxRecordedViolations
  std::int64_t violation_count = 0;
  std::int64_t foreign_observations = 0;    // of messages that no sender of this run knows
  std::int64_t abandoned_observations = 0;  // of submissions that their client had given up
};

// `outcomes_observed`: stub servers reported deliveries and notices, so that a message without either is
// lost. `ended_us`: when the run stopped observing. `faults`: relative to the run's start.
RunSummary Summarize(const Scenario& scenario, std::span<const MessageRecord> records,
                     std::span<const Observation> observations, bool outcomes_observed, std::int64_t ended_us,
                     std::uint32_t run, std::span<const FaultSpan> faults = {});

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RUN_SUMMARY_H_
