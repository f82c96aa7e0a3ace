// One file of the journal: a header, then framed records. docs/format.md describes the form. Pure functions
// on bytes.
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
constexpr std::size_t kFrameBytes = 16;      // length, checksum, sequence number
constexpr std::size_t kMaxRecordBytes = 16 * 1024 * 1024;
// How far ahead the sequence number of a frame may be after frames that can't be read.
constexpr std::uint64_t kMaxSequenceGap = 1'000'000;

struct SegmentHeader {
  std::uint32_t format = kJournalFormat;
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  std::uint64_t first_sequence = 0;  // sequence number of its first record
  // Goes into each frame's checksum, so that what looks like a frame in a client's body is none.
  std::uint64_t salt = 0;
  std::string node;
};
struct DecodedSegmentHeader {
  SegmentHeader header;
  std::size_t size = 0;  // bytes of the file that it takes
};
std::string EncodeSegmentHeader(const SegmentHeader& header);
// Reads the header at the beginning of `bytes`; none if it isn't whole. Throws UnsupportedFormatError,
// without a path.
std::optional<DecodedSegmentHeader> DecodeSegmentHeader(std::string_view bytes);

std::string EncodeFrame(std::string_view record, std::uint64_t sequence, std::uint64_t salt);

// The file name of a segment, such as "0000000000000007.seg".
std::string SegmentName(std::uint64_t number);
// The number in a file name; none if it isn't a segment's.
std::optional<std::uint64_t> SegmentNumber(std::string_view name);

// A stretch of a segment that holds no whole frame.
struct UnreadableRange {
  std::uint64_t offset = 0;
  std::uint64_t bytes = 0;
};

struct FrameScan {
  std::vector<UnreadableRange> unreadable;  // offsets in the bytes that were scanned
  std::uint64_t frames = 0;
  std::uint64_t next_sequence = 0;  // one more than the last record's
};
// Walks the frames of `bytes` (without the header) in order and passes each record with its sequence number
// to `on_record`. After bytes that are no frame it looks for the next frame whose checksum holds and whose
// number is at most kMaxSequenceGap above the expected one. Frames with a lower number than expected are
// passed over.
FrameScan ScanFrames(std::string_view bytes, std::uint64_t salt, std::uint64_t expected_sequence,
                     const std::function<void(std::string_view record, std::uint64_t sequence)>& on_record);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_H_
