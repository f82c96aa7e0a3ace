// libFuzzer: the content of a journal's folder. Whatever it is, it is read without a crash, and states that
// were read give the same bytes when they are encoded, decoded and encoded again.
#include <cstdlib>
#include <stdexcept>
#include <string>

#include "journal/file_system/fault_injecting_file_system.h"
#include "journal/format1_reader.h"
#include "journal/replay.h"

namespace {

using namespace sagetally;

// Puts records into frames with right checksums, so that their decoders are reached. The first byte of each
// gives its length.
std::string SegmentOf(std::string_view records) {
  std::string out = EncodeSegmentHeader({kJournalFormat, 1, 1, 1, 5, "n0"});
  std::uint64_t sequence = 1;
  while (!records.empty()) {
    const std::size_t size =
        std::min<std::size_t>(records.size(), 1 + static_cast<unsigned char>(records[0]));
    out += EncodeFrame(records.substr(0, size), sequence++, 5);
    records.remove_prefix(size);
  }
  return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  FaultInjectingFileSystem disk;
  MessageTable messages;
  try {
    if (data[0] % 4 == 3) {
      ReadFormat1(disk, "/log", messages);
      disk.Put("/log", std::string(text));
      ReadFormat1(disk, "/log", messages);
      return 0;
    }
    disk.Put("/j/" + SegmentName(1), data[0] % 4 == 0 ? std::string(text) : SegmentOf(text));
    if (data[0] % 4 == 2) disk.Put("/j/MANIFEST", std::string(text));
    RecordApplier applier(messages);
    Replay(disk, "/j", applier);
    for (const auto& [number, message] : messages.messages()) {
      const auto again = DecodeState(EncodeState(message, 7));
      if (!again || again->ordinal != 7) std::abort();
      if (EncodeState(again->message, 7) != EncodeState(message, 7)) std::abort();
    }
  } catch (const std::runtime_error&) {
  }
  return 0;
}
