// Replays a journal: reads its folder, segment by segment, and applies the records, without changing anything
// in the folder. Called at the start of a process and by the commands that inspect a journal. Has no state of
// its own. Sizes and offsets are in bytes.
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

// What the replay found in one segment.
struct SegmentReport {
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;                  // epoch in which the segment was begun; 0 without a header
  std::uint64_t bytes = 0;                  // size of the file
  std::uint64_t frames = 0;                 // number of complete frames
  bool missing = false;                     // the file does not exist
  bool header_missing = false;              // the header can't be read
  std::vector<UnreadableRange> unreadable;  // offsets are relative to the start of the file
};

// What the replay found in the whole journal.
struct ReplayReport {
  Manifest manifest;
  bool manifest_lost = false;  // the manifest can't be read and was reconstructed from the segments' headers
  std::vector<SegmentReport> segments;  // oldest first
  std::uint64_t records = 0;
  std::uint64_t bytes = 0;  // size of all segments
  // Bytes that belong to no complete frame. If no record is missing, they are torn frames, which crashes or
  // failed writes left at the end of a segment.
  std::uint64_t unreadable_bytes = 0;
  std::vector<MissingRecords> missing;  // records known to be lost
  std::uint64_t invalid_records = 0;    // complete frames whose record is malformed
  std::uint64_t next_sequence = 1;  // one more than the highest sequence number found or known from a header
  std::vector<std::uint64_t> incomplete_histories;  // numbers of messages of which a record may be missing
  std::size_t lost_messages = 0;                    // number of messages whose state is missing
  Timestamp latest_timestamp;  // latest known time at which the process that wrote the journal was running
  // Returns whether anything was lost. Unreadable bytes alone are not damage, as long as no record is
  // missing.
  bool is_damaged() const {
    return !missing.empty() || invalid_records > 0 || manifest_lost || lost_messages > 0;
  }
};

struct ReplayOptions {
  // Called for each range of unreadable bytes; `bytes` is valid during the call only. May be empty.
  std::function<void(std::uint64_t segment, const UnreadableRange&, std::string_view bytes)> on_unreadable;
};

// Applies all records of the journal in `folder`, and calls RecordApplier::Finish. If there is no journal,
// the report has no segments. Throws JournalIoError or UnsupportedFormatError.
ReplayReport Replay(FileSystem& files, const std::string& folder, RecordApplier& applier,
                    const ReplayOptions& options = {});

// Returns the numbers of the segment files in a folder, in ascending order.
std::vector<std::uint64_t> ListSegments(FileSystem& files, const std::string& folder);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_REPLAY_H_
