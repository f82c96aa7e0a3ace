// Reads a journal's folder, segment by segment, without changing anything in it.
#ifndef SAGETALLY_SRC_JOURNAL_REPLAY_H_
#define SAGETALLY_SRC_JOURNAL_REPLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "journal/manifest.h"
#include "journal/record_applier.h"
#include "journal/segment.h"

namespace sagetally {

struct SegmentReport {
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  std::uint64_t bytes = 0;
  std::uint64_t frames = 0;
  bool missing = false;                     // there is no file
  bool header_missing = false;              // its header can't be read
  std::vector<UnreadableRange> unreadable;  // offsets in the file
};

struct ReplayReport {
  Manifest manifest;
  bool manifest_lost = false;  // it was put together from the segments
  std::vector<SegmentReport> segments;
  std::uint64_t records = 0;
  std::uint64_t bytes = 0;
  std::uint64_t unreadable_bytes = 0;   // with no record missing: a torn tail
  std::vector<MissingRecords> missing;  // records known to be lost
  std::uint64_t invalid_records = 0;    // whole frames that hold no record
  std::uint64_t next_sequence = 1;
  std::vector<std::uint64_t> incomplete_histories;  // numbers of messages of which a record may be missing
  std::size_t lost_messages = 0;                    // messages whose state is missing
  Timestamp latest_timestamp;                       // the last known moment of the process that wrote it
  bool is_damaged() const {
    return !missing.empty() || invalid_records > 0 || manifest_lost || lost_messages > 0;
  }
};

struct ReplayOptions {
  // Called with each unreadable stretch while its bytes are at hand. May be empty.
  std::function<void(std::uint64_t segment, const UnreadableRange&, std::string_view bytes)> on_unreadable;
};

// Applies all records of the journal in `folder`. Without a journal there: a report without segments. Throws
// JournalIoError, or UnsupportedFormatError.
ReplayReport Replay(FileSystem& files, const std::string& folder, RecordApplier& applier,
                    const ReplayOptions& options = {});

// Numbers of the segment files in a folder, in order.
std::vector<std::uint64_t> ListSegments(FileSystem& files, const std::string& folder);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_REPLAY_H_
