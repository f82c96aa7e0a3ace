// Encodes and decodes the fields of binary records. Numbers are little-endian, a string is preceded by its
// length in four bytes, and a time is written as microseconds in eight bytes. The journal and the handover
// protocol use this encoding. The classes own no shared state; each object is used by one thread at a time.
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

// Appends fields to a string of bytes. The calls return the writer itself, so that they can be chained.
class ByteWriter {
 public:
  // Appends the in-memory bytes of a number, enumerator or bool.
  template <typename T>
  ByteWriter& AppendNumber(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    bytes_.append(raw, sizeof(T));
    return *this;
  }
  // Appends the length as a 32-bit number, then the bytes.
  ByteWriter& AppendString(std::string_view text) {
    AppendNumber(static_cast<std::uint32_t>(text.size()));
    bytes_ += text;
    return *this;
  }
  // Appends a time or duration as a signed 64-bit number of microseconds.
  ByteWriter& AppendTime(std::chrono::microseconds time) {
    return AppendNumber(static_cast<std::int64_t>(time.count()));
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

// Reads fields one after the other from the front of `input`, whose bytes must outlive the reader. Reading
// past the end returns zeros and empty strings, and makes ok() return false from then on.
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
  // Reads one byte; any value other than 0 is true.
  bool ReadBool() { return ReadNumber<std::uint8_t>() != 0; }
  // Reads a field that AppendString wrote. The view points into the reader's input.
  std::string_view ReadView() { return ReadBytes(ReadNumber<std::uint32_t>()); }
  std::string ReadString() { return std::string(ReadView()); }
  // Reads a field that AppendTime wrote.
  std::chrono::microseconds ReadTime() { return std::chrono::microseconds(ReadNumber<std::int64_t>()); }
  // Returns false once a field lay past the end of the input, or MarkMalformed was called.
  bool ok() const { return ok_; }
  // Returns whether all bytes have been read.
  bool empty() const { return input_.empty(); }
  // Makes ok() return false. Called by callers that find the value of a field invalid.
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

// Returns the CRC-32C (Castagnoli, RFC 3720) of the eight bytes of `salt` followed by `bytes`. A salt of 0
// is left out.
inline std::uint32_t Crc32c(std::string_view bytes, std::uint64_t salt = 0) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  if (salt != 0) crc.process_bytes(&salt, sizeof salt);
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_BYTE_CODEC_H_
