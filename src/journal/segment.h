// Encodes and decodes a segment, one file of the journal: a header followed by records in frames.
// docs/format.md describes the format. Pure functions on bytes, called by the journal, its replay and
// snapshots.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

constexpr std::uint32_t kJournalFormat = 2;  // format 1 was a single file named "log"
// Size of the fields of a frame before its record: length, checksum and sequence number.
constexpr std::size_t kFrameBytes = 16;
constexpr std::size_t kMaxRecordBytes = 16 * 1024 * 1024;
// A frame after unreadable bytes is accepted only if its sequence number is at most this much above the
// expected one.
constexpr std::uint64_t kMaxSequenceGap = 1'000'000;

struct SegmentHeader {
  std::uint32_t format = kJournalFormat;
  std::uint64_t number = 0;          // number of the segment, which is also in its file name
  std::uint64_t epoch = 0;           // epoch in which the segment was begun
  std::uint64_t first_sequence = 0;  // sequence number of its first record
  // A random number that each frame's checksum includes, so that bytes in a client's body that look like a
  // frame are not accepted as one.
  std::uint64_t salt = 0;
  std::string node;  // name of the node that wrote the segment
};
struct DecodedSegmentHeader {
  SegmentHeader header;
  std::size_t size = 0;  // number of bytes that the header takes in the file
};
std::string EncodeSegmentHeader(const SegmentHeader& header);
// Reads the header at the beginning of `bytes`. Returns nothing if it is incomplete or malformed. Throws
// UnsupportedFormatError with an empty path.
std::optional<DecodedSegmentHeader> DecodeSegmentHeader(std::string_view bytes);

// Returns the frame of a record: its length, checksum and sequence number, and the record itself.
std::string EncodeFrame(std::string_view record, std::uint64_t sequence, std::uint64_t salt);

// Returns the file name of a segment, such as "0000000000000007.seg".
std::string SegmentName(std::uint64_t number);
// Returns the segment number in a file name, or nothing if this is not the name of a segment.
std::optional<std::uint64_t> SegmentNumber(std::string_view name);

// A range of bytes in a segment that contains no complete frame.
struct UnreadableRange {
  std::uint64_t offset = 0;
  std::uint64_t bytes = 0;  // length of the range
};

// The result of ScanFrames.
struct FrameScan {
  std::vector<UnreadableRange> unreadable;  // offsets are relative to the bytes that were scanned
  std::uint64_t frames = 0;                 // number of complete frames
  std::uint64_t next_sequence = 0;          // one more than the sequence number of the last record
};
// Reads the frames of `bytes`, a segment without its header, in order, and passes each record with its
// sequence number to `on_record`. After bytes that are not a frame, it searches for the next frame with a
// correct checksum and a sequence number at most kMaxSequenceGap above the expected one. Frames with a lower
// sequence number than expected are skipped.
FrameScan ScanFrames(std::string_view bytes, std::uint64_t salt, std::uint64_t expected_sequence,
                     const std::function<void(std::string_view record, std::uint64_t sequence)>& on_record);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_H_
