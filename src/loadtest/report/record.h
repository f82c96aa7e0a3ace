// What happened to the messages of a run, as senders and stand-ins saw it. Times are microseconds of the
// machine's monotonic clock, which its processes share.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RECORD_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RECORD_H_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

inline constexpr std::int64_t kNever = -1;

struct Record {  // of one message, by its sender
  Planned planned;
  std::int64_t intended_us = 0;
  std::int64_t due_us = kNever;       // when the sender turned to it: after the intent by its own lag
  std::int64_t sent_us = kNever;      // first hand-in written; never: no connection was found for it
  std::int64_t answered_us = kNever;  // first answer of any kind, or the end of waiting for it
  std::int64_t taken_us = kNever;     // 202 or 200 of whichever hand-in
  std::int16_t first_code = 0;        // 0: none
  std::int16_t last_code = 0;         // of the last hand-in; 0: none
  std::uint8_t hand_ins = 0;
  std::int8_t taken_hand_in = -1;  // under whose id it is owed
};

enum class SeenKind : std::uint8_t { kDelivered, kEffect, kUndeliverable, kDeferred };
const char* Name(SeenKind kind);

struct Sighting {  // by a stand-in
  SeenKind kind = SeenKind::kDelivered;
  std::int64_t at_us = 0;
  std::string id;  // as it came: of a hand-in
};

struct Observed {  // a stand-in's file
  std::vector<Sighting> sightings;
  std::int64_t started_us = 0;    // time 0 of its timeline
  std::vector<FaultSpan> faults;  // from that time on
};

// One JSON value a line; the first is the head.
void WriteHead(std::ostream& out, std::int64_t started_us, const Timeline& timeline);
void Write(std::ostream& out, const Sighting& sighting);
// Throws std::runtime_error naming file and line.
Observed ReadObserved(const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RECORD_H_
