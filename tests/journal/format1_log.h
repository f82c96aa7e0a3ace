// A log of format 1, as the program wrote it before there were segments.
#ifndef SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_
#define SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_

#include <zlib.h>

#include <string>

#include "base/byte_codec.h"
#include "core/message.h"

namespace sagetally {

// Messages "old1", "old2", ... for destination 7, idempotent by the names of their bodies. The first has an
// attempt in flight, whose record lacks its last bytes if `torn`.
inline std::string MakeFormat1Log(int messages, bool torn, Time deadline = Time(99), int message_class = 2) {
  std::string log;
  const auto add = [&](const std::string& record) {
    const auto crc =
        crc32(0, reinterpret_cast<const Bytef*>(record.data()), static_cast<uInt>(record.size()));
    log += ByteWriter()
               .AppendNumber(static_cast<std::uint32_t>(record.size()))
               .AppendNumber(static_cast<std::uint32_t>(crc))
               .bytes();
    log += record;
  };
  for (std::uint64_t n = 1; n <= static_cast<std::uint64_t>(messages); ++n) {
    const std::string id = "old" + std::to_string(n);
    ByteWriter w;
    w.AppendNumber('S')
        .AppendNumber(n)
        .AppendString(id)
        .AppendNumber<std::int32_t>(message_class)
        .AppendNumber<std::int32_t>(7);
    w.AppendTime(deadline)
        .AppendString("key")
        .AppendString("a" + id)
        .AppendNumber(IngressProtocol::kPlatform)
        .AppendNumber<std::uint32_t>(0);
    w.AppendNumber<std::int32_t>(0)
        .AppendNumber(false)
        .AppendTime(Time(0))
        .AppendString("")
        .AppendNumber(false)
        .AppendTime(Time(0))
        .AppendString("");
    w.AppendNumber(FinalStatus::kPending).AppendTime(Time(0)).AppendTime(Time(0)).AppendNumber(false);
    add(w.bytes());
  }
  add(ByteWriter()
          .AppendNumber('A')
          .AppendNumber<std::uint64_t>(1)
          .AppendTime(Time(55))
          .AppendString("s-0")
          .bytes());
  return torn ? log.substr(0, log.size() - 5) : log;
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_
