// Encodes and decodes the fields of binary records: little-endian numbers, texts behind a length of four
// bytes, times as microseconds in eight bytes. Used by the journal and by the messages of a handover.
#ifndef SAGETALLY_SRC_BASE_BYTE_CODEC_H_
#define SAGETALLY_SRC_BASE_BYTE_CODEC_H_

#include <bit>
#include <boost/crc.hpp>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace sagetally {

static_assert(std::endian::native == std::endian::little, "records are little-endian");

// Appends fields to a string of bytes.
class ByteWriter {
 public:
  template <typename T>
  ByteWriter& AppendNumber(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    bytes_.append(raw, sizeof(T));
    return *this;
  }
  ByteWriter& AppendString(std::string_view text) {
    AppendNumber(static_cast<std::uint32_t>(text.size()));
    bytes_ += text;
    return *this;
  }
  ByteWriter& AppendTime(std::chrono::microseconds time) {
    return AppendNumber(static_cast<std::int64_t>(time.count()));
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

// Reads fields from the front of `input`, which must outlive it. Past the end it gives zeros and empty texts,
// and ok() turns false.
class ByteReader {
 public:
  explicit ByteReader(std::string_view input) : input_(input) {}
  template <typename T>
  T ReadNumber() {
    T value{};
    const std::string_view raw = ReadBytes(sizeof(T));
    if (raw.size() == sizeof(T)) std::memcpy(&value, raw.data(), sizeof(T));
    return value;
  }
  bool ReadBool() { return ReadNumber<std::uint8_t>() != 0; }
  std::string_view ReadView() { return ReadBytes(ReadNumber<std::uint32_t>()); }
  std::string ReadString() { return std::string(ReadView()); }
  std::chrono::microseconds ReadTime() { return std::chrono::microseconds(ReadNumber<std::int64_t>()); }
  bool ok() const { return ok_; }
  // Whether all bytes have been read.
  bool empty() const { return input_.empty(); }
  // For callers that find a field's value invalid.
  void MarkMalformed() { ok_ = false; }

 private:
  std::string_view ReadBytes(std::size_t size) {
    if (size > input_.size()) {
      ok_ = false;
      input_ = {};
      return {};
    }
    const std::string_view bytes = input_.substr(0, size);
    input_.remove_prefix(size);
    return bytes;
  }
  std::string_view input_;
  bool ok_ = true;
};

// CRC-32C (Castagnoli, RFC 3720) over the eight bytes of `salt`, unless it is 0, and `bytes`.
inline std::uint32_t Crc32c(std::string_view bytes, std::uint64_t salt = 0) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  if (salt != 0) crc.process_bytes(&salt, sizeof salt);
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_BYTE_CODEC_H_
