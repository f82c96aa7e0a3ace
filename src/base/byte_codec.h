// Numbers and texts as records hold them: little-endian, texts behind a length of four bytes.
#ifndef SAGETALLY_SRC_BASE_BYTE_CODEC_H_
#define SAGETALLY_SRC_BASE_BYTE_CODEC_H_

#include <bit>
#include <boost/crc.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "time/clock.h"

namespace sagetally {

static_assert(std::endian::native == std::endian::little, "records are little-endian");

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
  ByteWriter& AppendTime(Time t) { return AppendNumber(static_cast<std::int64_t>(t.count())); }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

class ByteReader {  // past the end it gives zeros, and is no longer fine()
 public:
  explicit ByteReader(std::string_view in) : input_(in) {}
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
  Time ReadTime() { return Time(ReadNumber<std::int64_t>()); }
  bool ok() const { return ok_; }
  bool empty() const { return input_.empty(); }
  void MarkMalformed() { ok_ = false; }

 private:
  std::string_view ReadBytes(std::size_t n) {
    if (n > input_.size()) {
      ok_ = false;
      input_ = {};
      return {};
    }
    const std::string_view taken = input_.substr(0, n);
    input_.remove_prefix(n);
    return taken;
  }
  std::string_view input_;
  bool ok_ = true;
};

// CRC-32C (Castagnoli), as in RFC 3720, over the eight bytes of `salt`, if it isn't 0, and `bytes`.
inline std::uint32_t Crc32c(std::string_view bytes, std::uint64_t salt = 0) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  if (salt != 0) crc.process_bytes(&salt, sizeof salt);
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_BYTE_CODEC_H_
