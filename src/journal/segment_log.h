// The files of the journal: the manifest and the segments that it lists. Records are appended to the newest
// segment. Counts the live messages of each segment, so that the oldest one can be dropped once it has none.
// Owned by the journal and used on the thread of the event loop only.
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

// One segment of the journal, as the process that appends to it knows it.
struct LogSegment {
  std::uint64_t number = 0;
  std::uint64_t bytes = 0;          // size of the file
  std::uint64_t live_messages = 0;  // number of live messages whose latest state is in this segment
  // Numbers of the messages whose state was written to this segment. Some of these messages may have ended
  // since or have a later copy of their state in another segment.
  std::vector<std::uint64_t> message_numbers;
  std::uint64_t last_copy_sequence = 0;  // sequence number of the last copy made of a state in this segment
};

class SegmentLog {
 public:
  // With `sync`, each change of the files is synced and survives a loss of power, except for appended
  // records. Keeps references to `files` and `clock`, which must outlive it.
  SegmentLog(FileSystem& files, std::string folder, const Clock& clock, bool sync);

  // Starts with what a replay found: the manifest, the segments and the next sequence number.
  void Load(const ReplayReport& report);

  // Returns the path of a file in the folder of the journal.
  std::string PathOf(std::string_view name) const { return folder_ + "/" + std::string(name); }
  // Returns the manifest, which the caller may change. Changes are written to the file by the next call of
  // StartSegment, DropOldest or SaveManifest.
  Manifest& manifest() { return manifest_; }
  const Manifest& manifest() const { return manifest_; }
  // Writes the manifest to its file. Returns an errno value.
  int SaveManifest();

  // All segments, oldest first. Records are appended to the last one.
  const std::deque<LogSegment>& segments() const { return segments_; }
  LogSegment& oldest() { return segments_.front(); }
  // The file of the newest segment, to which records are appended; null before the first call of
  // StartSegment.
  const std::shared_ptr<File>& head_file() const { return head_file_; }
  // Sequence number of the last record; 0 without records.
  std::uint64_t last_sequence() const { return next_sequence_ - 1; }
  // Disk space of all segments, in bytes.
  std::uint64_t disk_bytes() const { return disk_bytes_; }

  // Appends a frame with the next sequence number. Returns an errno value; after an error the journal does
  // not contain the record.
  int Append(std::string_view record);
  // Begins a new segment, to which records are appended from now on. Returns an errno value; after an error
  // the present segment stays the newest.
  int StartSegment();
  // Removes the oldest segment, which must not have live messages. There must be a newer segment. Returns
  // whether the segment was removed.
  bool DropOldest();

  // Call after the state of a message was appended. `previous_segment` is the number of the segment that
  // contained its state until now, or 0 if none did. Returns the number of the segment that contains it now.
  std::uint64_t MoveState(std::uint64_t message_number, std::uint64_t previous_segment);
  // Counts a live message whose state is in this segment.
  void AddLiveMessage(std::uint64_t segment, std::uint64_t message_number);
  // Call when a message whose state is in this segment was removed.
  void RemoveLiveMessage(std::uint64_t segment);

  // Returns the epoch of the manifest in the folder if it is later than this log's. Another process has then
  // taken over the journal.
  std::optional<std::uint64_t> FindLaterEpoch() const;
  // Continues with the journal after a successor, a process that had taken it over, has ended. `successor` is
  // the manifest that this process wrote. The successor must not have done more than begin its epoch: its
  // empty segment becomes part of this log, and the epoch after the successor's begins. Call StartSegment
  // next. Returns false, and changes nothing, if the successor did more.
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
  std::uint64_t last_written_segment_ = 0;  // number of the segment that contains the last record
  std::uint64_t disk_bytes_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_LOG_H_
