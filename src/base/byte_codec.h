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

class Writer {
 public:
  template <typename T>
  Writer& Number(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    out_.append(raw, sizeof(T));
    return *this;
  }
  Writer& Text(std::string_view text) {
    Number(static_cast<std::uint32_t>(text.size()));
    out_ += text;
    return *this;
  }
  Writer& At(Time t) { return Number(static_cast<std::int64_t>(t.count())); }
  const std::string& out() const { return out_; }

 private:
  std::string out_;
};

class Reader {  // past the end it gives zeros, and is no longer fine()
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <typename T>
  T Number() {
    T value{};
    const std::string_view raw = Take(sizeof(T));
    if (raw.size() == sizeof(T)) std::memcpy(&value, raw.data(), sizeof(T));
    return value;
  }
  bool Flag() { return Number<std::uint8_t>() != 0; }
  std::string_view View() { return Take(Number<std::uint32_t>()); }
  std::string Text() { return std::string(View()); }
  Time At() { return Time(Number<std::int64_t>()); }
  bool fine() const { return fine_; }
  bool empty() const { return in_.empty(); }
  void Fail() { fine_ = false; }

 private:
  std::string_view Take(std::size_t n) {
    if (n > in_.size()) {
      fine_ = false;
      in_ = {};
      return {};
    }
    const std::string_view taken = in_.substr(0, n);
    in_.remove_prefix(n);
    return taken;
  }
  std::string_view in_;
  bool fine_ = true;
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
