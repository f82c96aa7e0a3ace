// A log as the program wrote it before there were segments.
#ifndef SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_
#define SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_

#include <zlib.h>

#include <string>

#include "base/byte_codec.h"
#include "core/message.h"

namespace sagetally {

// Messages "old1", "old2", ... for destination 7, safe to repeat by their bodies' names, of which the first
// may have run, unless its record is torn.
inline std::string LegacyLog(int messages, bool torn, Time deadline = Time(99), int message_class = 2) {
  std::string log;
  const auto add = [&](const std::string& record) {
    const auto crc =
        crc32(0, reinterpret_cast<const Bytef*>(record.data()), static_cast<uInt>(record.size()));
    log += Writer()
               .Number(static_cast<std::uint32_t>(record.size()))
               .Number(static_cast<std::uint32_t>(crc))
               .out();
    log += record;
  };
  for (std::uint64_t n = 1; n <= static_cast<std::uint64_t>(messages); ++n) {
    const std::string id = "old" + std::to_string(n);
    Writer w;
    w.Number('S').Number(n).Text(id).Number<std::int32_t>(message_class).Number<std::int32_t>(7);
    w.At(deadline).Text("key").Text("a" + id).Number(Form::kPlain).Number<std::uint32_t>(0);
    w.Number<std::int32_t>(0).Number(false).At(Time(0)).Text("").Number(false).At(Time(0)).Text("");
    w.Number(End::kNone).At(Time(0)).At(Time(0)).Number(false);
    add(w.out());
  }
  add(Writer().Number('A').Number<std::uint64_t>(1).At(Time(55)).Text("s-0").out());
  return torn ? log.substr(0, log.size() - 5) : log;
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_
