// Reads a journal's folder, segment by segment, without changing anything in it.
#ifndef SAGETALLY_SRC_JOURNAL_REPLAY_H_
#define SAGETALLY_SRC_JOURNAL_REPLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "journal/manifest.h"
#include "journal/records.h"
#include "journal/segment.h"

namespace sagetally {

struct SegmentReport {
  std::uint64_t number = 0, epoch = 0, bytes = 0, frames = 0;
  bool missing = false, header_missing = false;
  std::vector<UnreadableRange> unreadable;  // offsets in the file
};
struct MissingRecords {  // sequence numbers, the second one past them
  std::uint64_t from = 0, to = 0;
};

struct ReplayReport {
  Manifest manifest;
  bool manifest_lost = false;  // it was put together from the segments
  std::vector<SegmentReport> segments;
  std::uint64_t records = 0, bytes = 0;
  std::uint64_t unreadable_bytes = 0;   // with no record missing: a torn tail
  std::vector<MissingRecords> missing;  // records known to be lost
  std::uint64_t invalid_records = 0;    // whole frames that hold no record
  std::uint64_t next_sequence = 1;
  std::vector<std::uint64_t> incomplete_histories;  // messages whose history is incomplete
  std::size_t lost_messages = 0;                    // messages whose state is missing
  Timestamp latest_timestamp;
  bool is_damaged() const {
    return !missing.empty() || invalid_records > 0 || manifest_lost || lost_messages > 0;
  }
};

struct ReplayOptions {
  // Told each unreadable stretch while its bytes are at hand.
  std::function<void(std::uint64_t segment, const UnreadableRange&, std::string_view bytes)> on_unreadable;
};

// No journal in the folder: a report without segments. Throws std::runtime_error naming the file at fault if
// it is a newer format or can't be read.
ReplayReport Replay(FileSystem& files, const std::string& folder, RecordApplier& applier,
                    const ReplayOptions& options = {});

// The numbers of the segments there are, in order.
std::vector<std::uint64_t> ListSegments(FileSystem& files, const std::string& folder);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_REPLAY_H_
