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

// The value of a time field whose event has not happened.
inline constexpr std::int64_t kNever = -1;

// One message, as its sender recorded it. Times are in microseconds of NowUs().
struct MessageRecord {
  PlannedMessage planned;
  std::int64_t intended_us = 0;        // when the plan has the message sent
  std::int64_t due_us = kNever;        // when the sender began with it: intended_us plus the generator's lag
  std::int64_t sent_us = kNever;       // first submission written; kNever if no connection was free for it
  std::int64_t responded_us = kNever;  // first response of any status, or the client's timeout without one
  std::int64_t accepted_us = kNever;   // first 200 or 202 for any of its submissions
  std::int16_t first_status = 0;       // HTTP status of the first submission; 0 if there was no response
  std::int16_t last_status = 0;        // HTTP status of the last submission; 0 if there was no response
  std::uint8_t submissions = 0;        // how often the message was submitted
  std::int8_t accepted_submission = -1;  // number of the submission that the target accepted; -1 if none
};

enum class ObservationKind : std::uint8_t {
  kDelivered,      // a delivery was observed
  kEffect,         // the message took effect at a partner
  kUndeliverable,  // the target reported the message as undeliverable
  kDeferred        // the target reported the message as deferred
};

// The value's name in observation files.
const char* Name(ObservationKind kind);

// One event at a stub server.
struct Observation {
  ObservationKind kind = ObservationKind::kDelivered;
  std::int64_t at_us = 0;  // when the stub server observed it
  std::string id;          // the submission's id, as it was received
};

// The content of an observation file.
struct ObservationFile {
  std::vector<Observation> observations;
  std::int64_t started_us = 0;    // start of the fault timeline
  std::vector<FaultSpan> faults;  // times are relative to `started_us`
};

// An observation file has one JSON value a line, of which the first is the header. The header is written
// once, before all observations.
void WriteObservationHeader(std::ostream& out, std::int64_t started_us, const FaultTimeline& timeline);
void WriteObservation(std::ostream& out, const Observation& observation);

// Reads an observation file. Throws std::runtime_error that names the file and, for an invalid line, its
// number. An incomplete last line is ignored, because the writer may still be running.
ObservationFile ReadObservations(const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_MESSAGE_RECORD_H_
