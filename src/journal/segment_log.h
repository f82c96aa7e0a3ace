// The journal's files: the manifest and the segments that it names, of which the newest is appended to.
// Counts the live messages of each segment, so that the oldest can be dropped once it has none.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_LOG_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "journal/file_system/file_system.h"
#include "journal/manifest.h"
#include "journal/replay.h"
#include "time/clock.h"

namespace sagetally {

struct LogSegment {
  std::uint64_t number = 0;
  std::uint64_t bytes = 0;
  std::uint64_t live_messages = 0;  // whose state stands in it
  // Numbers of messages whose state was written to it; some have been copied forward since, or are gone.
  std::vector<std::uint64_t> message_numbers;
  std::uint64_t last_copy_sequence = 0;  // sequence number of the last copy of one of its states
};

class SegmentLog {
 public:
  // `sync`: each change of the files survives a loss of power, but for appended records.
  SegmentLog(FileSystem& files, std::string folder, const Clock& clock, bool sync);

  // Begins with what a replay found: its manifest, its segments and its next sequence number.
  void Load(const ReplayReport& report);

  std::string PathOf(std::string_view name) const { return folder_ + "/" + std::string(name); }
  // Changes become durable with the next call of StartSegment, DropOldest or SaveManifest.
  Manifest& manifest() { return manifest_; }
  const Manifest& manifest() const { return manifest_; }
  int SaveManifest();

  // Oldest first; the last one is appended to.
  const std::deque<LogSegment>& segments() const { return segments_; }
  LogSegment& oldest() { return segments_.front(); }
  // The file that is appended to; null before the first call of StartSegment.
  const std::shared_ptr<File>& head_file() const { return head_file_; }
  std::uint64_t last_sequence() const { return next_sequence_ - 1; }
  // Disk space of all segments.
  std::uint64_t disk_bytes() const { return disk_bytes_; }

  // Appends a frame with the next sequence number. Gives an errno number; after an error the record isn't
  // there.
  int Append(std::string_view record);
  // Begins a new segment and appends to that one from now on. Gives an errno number.
  int StartSegment();
  // Removes the oldest segment, which has no live message. There must be a newer one.
  bool DropOldest();

  // Call after a message's state was appended. `previous_segment`: that held its state until now; 0: none.
  // Gives the number of the segment that holds it now.
  std::uint64_t MoveState(std::uint64_t message_number, std::uint64_t previous_segment);
  // At start: a message's state stands in this segment.
  void AddLiveMessage(std::uint64_t segment, std::uint64_t message_number);
  // A message whose state stands in this segment is gone.
  void RemoveLiveMessage(std::uint64_t segment);

  // The epoch of the manifest in the folder if it is later than this one's: another process has taken over.
  std::optional<std::uint64_t> FindLaterEpoch() const;
  // Continues after a process that took over and ended. It must have done no more than to begin its epoch;
  // its empty segment becomes one of this log, and a new epoch is begun above. Call StartSegment next.
  // Returns false, and changes nothing, if it did more.
  bool AdoptSuccessor(const Manifest& successor);

 private:
  LogSegment& FindSegment(std::uint64_t number);
  void AddSegment(std::uint64_t number, std::uint64_t bytes);

  FileSystem& files_;
  const std::string folder_;
  const Clock& clock_;
  const bool sync_;
  Manifest manifest_;
  std::deque<LogSegment> segments_;
  std::shared_ptr<File> head_file_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t last_written_segment_ = 0;  // that holds the last record
  std::uint64_t disk_bytes_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_LOG_H_
