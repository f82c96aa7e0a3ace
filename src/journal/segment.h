// One file of the journal: a header, then framed records. docs/format.md.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

constexpr std::uint32_t kJournalFormat = 2;  // 1 was the single file `log`
constexpr std::size_t kFrameBytes = 16;      // length, checksum, sequence number
constexpr std::size_t kMaxRecordBytes = 16 * 1024 * 1024;

struct SegmentHeader {
  std::uint32_t format = kJournalFormat;
  std::uint64_t number = 0, epoch = 0;
  std::uint64_t first = 0;  // sequence number of its first record
  // Goes into each frame's checksum, so that what looks like a frame in a client's body is none.
  std::uint64_t salt = 0;
  std::string node;
};
std::string EncodeSegmentHeader(const SegmentHeader& header);
// Its size in the file, or none if there is no whole header. Throws std::runtime_error naming a newer format.
std::optional<std::size_t> DecodeSegmentHeader(std::string_view bytes, SegmentHeader& header);

std::string EncodeFrame(std::string_view record, std::uint64_t sequence, std::uint64_t salt);

std::string SegmentName(std::uint64_t number);  // "0000000000000007.seg"
std::optional<std::uint64_t> SegmentNumber(std::string_view name);

struct UnreadableRange {  // a stretch of a segment
  std::uint64_t offset = 0, bytes = 0;
};

// Walks the frames of `bytes` (without the header) in order. After a frame that can't be read it looks for
// the next one whose checksum holds and whose sequence number is at most `kMostSkipped` ahead.
constexpr std::uint64_t kMaxSkippedBytes = 1'000'000;
struct FrameScan {
  std::vector<UnreadableRange> unreadable;  // offsets in `bytes`
  std::uint64_t frames = 0;
};
// `expected`: the next sequence number, moved on. A frame with an older one is passed over. `found` is told
// the record, and its sequence number.
FrameScan ScanFrames(std::string_view bytes, std::uint64_t salt, std::uint64_t& expected,
                     const std::function<void(std::string_view record, std::uint64_t sequence)>& found);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_H_
