// Builds a journal of format 1, a single log file, as the program wrote it before there were segments. Used
// by the tests of the migration.
#ifndef SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_
#define SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_

#include <zlib.h>

#include <string>

#include "base/byte_codec.h"
#include "core/message.h"

namespace sagetally {

// How the messages of a log came in.
struct Format1Origin {
  std::string id_prefix = "old";
  IngressProtocol protocol = IngressProtocol::kPlatform;
  CloudEventAttributes attributes = {};
};

// Returns the content of a log with `messages` pending messages. Their ids are "old1", "old2" and so on (with
// the prefix of `origin`), their bodies "aold1", "aold2" and so on, and all have the idempotency key "key"
// and destination 7. The last record is an attempt of the first message, which has no outcome. With `torn`,
// its last 5 bytes are missing.
inline std::string MakeFormat1Log(int messages, bool torn, Time deadline = Time(99), int message_class = 2,
                                  const Format1Origin& origin = Format1Origin()) {
  std::string log;
  const auto append_record = [&](const std::string& record) {
    const auto crc =
        crc32(0, reinterpret_cast<const Bytef*>(record.data()), static_cast<uInt>(record.size()));
    log += ByteWriter()
               .AppendNumber(static_cast<std::uint32_t>(record.size()))
               .AppendNumber(static_cast<std::uint32_t>(crc))
               .bytes();
    log += record;
  };
  for (std::uint64_t number = 1; number <= static_cast<std::uint64_t>(messages); ++number) {
    const std::string id = origin.id_prefix + std::to_string(number);
    ByteWriter state;
    state.AppendNumber('S')
        .AppendNumber(number)
        .AppendString(id)
        .AppendNumber<std::int32_t>(message_class)
        .AppendNumber<std::int32_t>(7);
    state.AppendTime(deadline)
        .AppendString("key")
        .AppendString("a" + id)
        .AppendNumber(origin.protocol)
        .AppendNumber(static_cast<std::uint32_t>(origin.attributes.size()));
    for (const auto& [name, value] : origin.attributes) state.AppendString(name).AppendString(value);
    state.AppendNumber<std::int32_t>(0)
        .AppendNumber(false)
        .AppendTime(Time(0))
        .AppendString("")
        .AppendNumber(false)
        .AppendTime(Time(0))
        .AppendString("");
    state.AppendNumber(FinalStatus::kPending).AppendTime(Time(0)).AppendTime(Time(0)).AppendNumber(false);
    append_record(state.bytes());
  }
  append_record(ByteWriter()
                    .AppendNumber('A')
                    .AppendNumber<std::uint64_t>(1)
                    .AppendTime(Time(55))
                    .AppendString("s-0")
                    .bytes());
  return torn ? log.substr(0, log.size() - 5) : log;
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_FORMAT1_LOG_H_
