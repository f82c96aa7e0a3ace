// The summary of a run, which counts each message under exactly one final outcome. All metrics are derived
// from it.
//
// Summarize() joins the senders' records with the stub servers' observations. It is called once after a run,
// or repeatedly while outcomes are pending. No I/O, no threads.
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
  kUnsent,           // never sent: no connection became free, the queue was full, or the run was interrupted
  kRejected,         // the last response was 429 or 503, and the client did not submit it again
  kFailed,           // any other response without acceptance
  kUnanswered,       // no response within the client's timeout
  kWithinObjective,  // delivered within the class's latency objective
  kLate,             // delivered later than that
  kUndeliverable,    // reported by the target as undeliverable
  kDeferred,         // reported by the target as deferred
  kLost,             // accepted, and neither delivered nor reported 300 ms after its deadline
  kPending,          // accepted, nothing observed, and not yet lost
  kNotObserved       // accepted, but no stub server reported outcomes
};
inline constexpr int kFinalOutcomeCount = 11;

// Numbers of messages, indexed by FinalOutcome.
using OutcomeCounts = std::array<std::int64_t, kFinalOutcomeCount>;

// The value's name in result files and tables.
const char* Name(FinalOutcome outcome);

// The messages whose intended time lies in one interval of kBucketUs. Counts are messages, latencies are in
// microseconds; see RunSummary for "corrected" and "as sent".
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

// The messages whose intended time lies within one fault, and whose destination the fault affects.
struct FaultImpact {
  std::int64_t offered = 0;
  std::int64_t accepted = 0;
  std::int64_t within_objective = 0;
  std::int64_t waited_long = 0;  // first response after more than 20 ms, or none at all
  double max_response_us = 0;    // longest time from the intended time to the first response or timeout
};

// A violated rule.
struct Violation {
  std::string rule;    // the rule's name in logs and result files
  std::string id;      // of the message; empty if the violation concerns the whole run
  std::string detail;  // what was observed
  bool operator==(const Violation&) const = default;
};
// Further violations are only counted.
inline constexpr std::size_t kMaxRecordedViolations = 100;

// Latencies are in microseconds, with one value for each message. "Corrected" latencies count from the
// intended time, so that a stall of the target shows in every message that was due meanwhile (no coordinated
// omission). "As sent" latencies count from the first byte. A message without a response counts with the time
// until its client's timeout.
struct RunSummary {
  std::int64_t offered = 0;
  std::int64_t submissions = 0;  // including those that clients repeated
  OutcomeCounts outcomes{};
  LatencyHistogram response_corrected;
  LatencyHistogram response_as_sent;
  LatencyHistogram accepted;          // from the intended time
  LatencyHistogram delivered;         // from the intended time
  LatencyHistogram undelivered;       // from the intended time to the report as undeliverable or deferred
  LatencyHistogram lag;               // lag of the generator behind the intended time
  LatencyHistogram connection_wait;   // from `due_us` to `sent_us` of the record
  std::int64_t unanswered_count = 0;  // messages without a response to their first submission
  std::vector<FaultImpact> fault_impacts;  // one for each fault of the timeline, in its order
  std::vector<TimeBucket> buckets;
  std::map<std::string, OutcomeCounts> classes;       // by class name
  std::map<std::int32_t, std::int64_t> destinations;  // messages offered to each destination
  std::vector<Violation> violations;                  // the first kMaxRecordedViolations
  std::int64_t violation_count = 0;
  std::int64_t foreign_observations = 0;    // observations of messages that no sender of this run sent
  std::int64_t abandoned_observations = 0;  // observations of submissions that their client had abandoned
};

// Summarizes a run. `outcomes_observed` says that stub servers reported deliveries and notices, so that a
// message without either is lost. `ended_us` is the time until which outcomes were observed. `run` is the
// run's number in submission ids. The times of `faults` are relative to the run's start.
RunSummary Summarize(const Scenario& scenario, std::span<const MessageRecord> records,
                     std::span<const Observation> observations, bool outcomes_observed, std::int64_t ended_us,
                     std::uint32_t run, std::span<const FaultSpan> faults = {});

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RUN_SUMMARY_H_
