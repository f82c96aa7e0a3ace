// What happened to the messages of a run: the sender's record of each message, and what the stub servers
// observed. Times are microseconds of the machine's monotonic clock, which all its processes share.
//
// Senders fill in MessageRecords, stub servers produce Observations, in the same process or through an
// observation file; run_summary.h brings both together. Plain values, no threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_MESSAGE_RECORD_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_MESSAGE_RECORD_H_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

// A time that has not come.
inline constexpr std::int64_t kNever = -1;

// One message, as its sender recorded it.
struct MessageRecord {
  PlannedMessage planned;
  std::int64_t intended_us = 0;
  std::int64_t due_us = kNever;        // when the sender turned to it: later than intended by its own lag
  std::int64_t sent_us = kNever;       // first submission written; kNever: no connection was free for it
  std::int64_t responded_us = kNever;  // first response of any kind, or the end of waiting for one
  std::int64_t accepted_us = kNever;   // first 200 or 202 for any of its submissions
  std::int16_t first_status = 0;       // HTTP status of the first submission; 0: no response
  std::int16_t last_status = 0;        // HTTP status of the last submission; 0: no response
  std::uint8_t submissions = 0;
  std::int8_t accepted_submission = -1;  // whose id the target answers for; -1: none
};

enum class ObservationKind : std::uint8_t { kDelivered, kEffect, kUndeliverable, kDeferred };

// The observation file's name of the value.
const char* Name(ObservationKind kind);

// One event at a stub server.
struct Observation {
  ObservationKind kind = ObservationKind::kDelivered;
  std::int64_t at_us = 0;
  std::string id;  // of the submission, as it was received
};

// The content of an observation file.
struct ObservationFile {
  std::vector<Observation> observations;
  std::int64_t started_us = 0;    // time 0 of the fault timeline
  std::vector<FaultSpan> faults;  // relative to `started_us`
};

// An observation file has one JSON value a line; the first is the header.
void WriteObservationHeader(std::ostream& out, std::int64_t started_us, const Timeline& timeline);
void WriteObservation(std::ostream& out, const Observation& observation);

// Throws std::runtime_error that names file and line. An incomplete last line is ignored: its writer may
// still be running.
ObservationFile ReadObservations(const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_MESSAGE_RECORD_H_
