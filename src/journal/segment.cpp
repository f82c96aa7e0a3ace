#include "journal/segment.h"

#include <fmt/format.h>

#include <charconv>
#include <stdexcept>

#include "base/byte_codec.h"

namespace sagetally {
namespace {

constexpr std::string_view kMagic = "sagetally journal\n";
constexpr std::size_t kMostNode = 4096;
constexpr std::string_view kSuffix = ".seg";

struct Frame {
  std::string_view record;
  std::uint64_t sequence = 0;
  std::size_t size = 0;
};

// The frame that begins here, if its checksum holds and its number may come next.
std::optional<Frame> FrameAt(std::string_view bytes, std::uint64_t salt, std::uint64_t expected) {
  if (bytes.size() < kFrameBytes) return std::nullopt;
  ByteReader in(bytes.substr(0, kFrameBytes));
  const auto length = in.ReadNumber<std::uint32_t>();
  const auto crc = in.ReadNumber<std::uint32_t>();
  const auto sequence = in.ReadNumber<std::uint64_t>();
  if (length == 0 || length > kMaxRecordBytes || length > bytes.size() - kFrameBytes) return std::nullopt;
  if (sequence > expected + kMaxSkippedBytes) return std::nullopt;
  const std::string_view record = bytes.substr(kFrameBytes, length);
  if (Crc32c(bytes.substr(8, 8 + length), salt) != crc) return std::nullopt;
  return Frame{record, sequence, kFrameBytes + length};
}

}  // namespace

std::string EncodeSegmentHeader(const SegmentHeader& h) {
  ByteWriter body;
  body.AppendNumber(h.format)
      .AppendNumber(h.number)
      .AppendNumber(h.epoch)
      .AppendNumber(h.first)
      .AppendNumber(h.salt)
      .AppendString(h.node);
  ByteWriter w;
  w.AppendNumber(static_cast<std::uint32_t>(body.bytes().size())).AppendNumber(Crc32c(body.bytes()));
  return std::string(kMagic) + w.bytes() + body.bytes();
}

std::optional<std::size_t> DecodeSegmentHeader(std::string_view bytes, SegmentHeader& h) {
  if (!bytes.starts_with(kMagic)) return std::nullopt;
  ByteReader in(bytes.substr(kMagic.size()));
  const auto size = in.ReadNumber<std::uint32_t>();
  const auto crc = in.ReadNumber<std::uint32_t>();
  const std::size_t before = kMagic.size() + 8;
  if (!in.ok() || size > kMostNode + 64 || size > bytes.size() - before) return std::nullopt;
  const std::string_view body = bytes.substr(before, size);
  if (Crc32c(body) != crc) return std::nullopt;
  ByteReader fields(body);
  h.format = fields.ReadNumber<std::uint32_t>();
  if (h.format > kJournalFormat) {
    throw std::runtime_error(fmt::format("the journal has format {}; this program reads formats up to {}",
                                         h.format, kJournalFormat));
  }
  h.number = fields.ReadNumber<std::uint64_t>();
  h.epoch = fields.ReadNumber<std::uint64_t>();
  h.first = fields.ReadNumber<std::uint64_t>();
  h.salt = fields.ReadNumber<std::uint64_t>();
  h.node = fields.ReadString();
  if (!fields.ok()) return std::nullopt;
  return before + size;
}

std::string EncodeFrame(std::string_view record, std::uint64_t sequence, std::uint64_t salt) {
  std::string checked = ByteWriter().AppendNumber(sequence).bytes();
  checked += record;
  std::string out = ByteWriter()
                        .AppendNumber(static_cast<std::uint32_t>(record.size()))
                        .AppendNumber(Crc32c(checked, salt))
                        .bytes();
  out += checked;
  return out;
}

std::string SegmentName(std::uint64_t number) { return fmt::format("{:016}{}", number, kSuffix); }

std::optional<std::uint64_t> SegmentNumber(std::string_view name) {
  if (name.size() != 16 + kSuffix.size() || !name.ends_with(kSuffix)) return std::nullopt;
  std::uint64_t number = 0;
  const auto read = std::from_chars(name.data(), name.data() + 16, number);
  if (read.ec != std::errc() || read.ptr != name.data() + 16) return std::nullopt;
  return number;
}

FrameScan ScanFrames(std::string_view bytes, std::uint64_t salt, std::uint64_t& expected,
                     const std::function<void(std::string_view, std::uint64_t)>& found) {
  FrameScan scan;
  std::size_t at = 0, bad_since = 0;
  bool bad = false;
  while (at < bytes.size()) {
    const std::optional<Frame> frame = FrameAt(bytes.substr(at), salt, expected);
    if (!frame) {
      if (!bad) bad_since = at;
      bad = true;
      ++at;
      continue;
    }
    if (bad) scan.unreadable.push_back({bad_since, at - bad_since});
    bad = false;
    at += frame->size;
    ++scan.frames;
    if (frame->sequence < expected) continue;
    expected = frame->sequence + 1;
    found(frame->record, frame->sequence);
  }
  if (bad) scan.unreadable.push_back({bad_since, bytes.size() - bad_since});
  return scan;
}

}  // namespace sagetally
