#include "journal/segment.h"

#include <fmt/format.h>

#include <charconv>

#include "base/byte_codec.h"
#include "journal/errors.h"

namespace sagetally {
namespace {

constexpr std::string_view kMagic = "sagetally journal\n";
constexpr std::size_t kHeaderPrefixBytes = 8;       // the length and the checksum before the header's fields
constexpr std::size_t kMaxHeaderBytes = 4096 + 64;  // the name of the node and the numbers
constexpr std::size_t kChecksummedOffset = 8;       // the checksum of a frame covers the bytes from here on
constexpr std::string_view kSuffix = ".seg";
constexpr std::size_t kNumberDigits = 16;

struct Frame {
  std::string_view record;
  std::uint64_t sequence = 0;
  std::size_t size = 0;
};

// Reads the frame at the beginning of `bytes`. Returns nothing if it is incomplete, its checksum is wrong or
// its sequence number is too far above the expected one.
std::optional<Frame> ReadFrame(std::string_view bytes, std::uint64_t salt, std::uint64_t expected) {
  if (bytes.size() < kFrameBytes) return std::nullopt;
  ByteReader in(bytes.substr(0, kFrameBytes));
  const auto length = in.ReadNumber<std::uint32_t>();
  const auto checksum = in.ReadNumber<std::uint32_t>();
  const auto sequence = in.ReadNumber<std::uint64_t>();
  if (length == 0 || length > kMaxRecordBytes || length > bytes.size() - kFrameBytes) return std::nullopt;
  if (sequence > expected + kMaxSequenceGap) return std::nullopt;
  const std::size_t size = kFrameBytes + length;
  if (Crc32c(bytes.substr(kChecksummedOffset, size - kChecksummedOffset), salt) != checksum) {
    return std::nullopt;
  }
  return Frame{bytes.substr(kFrameBytes, length), sequence, size};
}

}  // namespace

std::string EncodeSegmentHeader(const SegmentHeader& header) {
  ByteWriter body;
  body.AppendNumber(header.format)
      .AppendNumber(header.number)
      .AppendNumber(header.epoch)
      .AppendNumber(header.first_sequence)
      .AppendNumber(header.salt)
      .AppendString(header.node);
  ByteWriter prefix;
  prefix.AppendNumber(static_cast<std::uint32_t>(body.bytes().size())).AppendNumber(Crc32c(body.bytes()));
  return std::string(kMagic) + prefix.bytes() + body.bytes();
}

std::optional<DecodedSegmentHeader> DecodeSegmentHeader(std::string_view bytes) {
  if (!bytes.starts_with(kMagic)) return std::nullopt;
  ByteReader prefix(bytes.substr(kMagic.size()));
  const auto length = prefix.ReadNumber<std::uint32_t>();
  const auto checksum = prefix.ReadNumber<std::uint32_t>();
  const std::size_t body_offset = kMagic.size() + kHeaderPrefixBytes;
  if (!prefix.ok() || length > kMaxHeaderBytes || length > bytes.size() - body_offset) return std::nullopt;
  const std::string_view body = bytes.substr(body_offset, length);
  if (Crc32c(body) != checksum) return std::nullopt;
  ByteReader fields(body);
  DecodedSegmentHeader decoded;
  SegmentHeader& header = decoded.header;
  header.format = fields.ReadNumber<std::uint32_t>();
  if (header.format > kJournalFormat) throw UnsupportedFormatError("", header.format);
  header.number = fields.ReadNumber<std::uint64_t>();
  header.epoch = fields.ReadNumber<std::uint64_t>();
  header.first_sequence = fields.ReadNumber<std::uint64_t>();
  header.salt = fields.ReadNumber<std::uint64_t>();
  header.node = fields.ReadString();
  if (!fields.ok()) return std::nullopt;
  decoded.size = body_offset + length;
  return decoded;
}

std::string EncodeFrame(std::string_view record, std::uint64_t sequence, std::uint64_t salt) {
  std::string checked = ByteWriter().AppendNumber(sequence).bytes();
  checked += record;
  std::string frame = ByteWriter()
                          .AppendNumber(static_cast<std::uint32_t>(record.size()))
                          .AppendNumber(Crc32c(checked, salt))
                          .bytes();
  frame += checked;
  return frame;
}

std::string SegmentName(std::uint64_t number) {
  return fmt::format("{:0{}}{}", number, kNumberDigits, kSuffix);
}

std::optional<std::uint64_t> SegmentNumber(std::string_view name) {
  if (name.size() != kNumberDigits + kSuffix.size() || !name.ends_with(kSuffix)) return std::nullopt;
  std::uint64_t number = 0;
  const char* const end = name.data() + kNumberDigits;
  const auto parsed = std::from_chars(name.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

FrameScan ScanFrames(std::string_view bytes, std::uint64_t salt, std::uint64_t expected_sequence,
                     const std::function<void(std::string_view, std::uint64_t)>& on_record) {
  FrameScan scan;
  scan.next_sequence = expected_sequence;
  std::optional<std::size_t> unreadable_from;
  const auto end_unreadable = [&](std::size_t offset) {
    if (unreadable_from) scan.unreadable.push_back({*unreadable_from, offset - *unreadable_from});
    unreadable_from.reset();
  };
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const std::optional<Frame> frame = ReadFrame(bytes.substr(offset), salt, scan.next_sequence);
    if (!frame) {
      if (!unreadable_from) unreadable_from = offset;
      ++offset;
      continue;
    }
    end_unreadable(offset);
    offset += frame->size;
    ++scan.frames;
    if (frame->sequence < scan.next_sequence) continue;
    scan.next_sequence = frame->sequence + 1;
    on_record(frame->record, frame->sequence);
  }
  end_unreadable(bytes.size());
  return scan;
}

}  // namespace sagetally
