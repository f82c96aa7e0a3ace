// libFuzzer harness for the files in a journal's folder: segments, the manifest and logs of format 1. Any
// content must be read without a crash, and each message state that was read must give the same bytes when it
// is encoded, decoded and encoded again. The first input byte, modulo 4, selects the kind of file: 0 is raw
// segment bytes, 1 is records inside valid frames, 2 is such records beside a manifest of the same bytes, and
// 3 is a log of format 1.
#include <cstdlib>
#include <stdexcept>
#include <string>

#include "journal/file_system/fault_injecting_file_system.h"
#include "journal/format1_reader.h"
#include "journal/replay.h"

namespace {

using namespace sagetally;

// Returns a segment of the given records in frames with valid checksums, so that the record decoders are
// reached. The first byte of each record gives its length minus one.
std::string EncodeSegment(std::string_view records) {
  std::string segment = EncodeSegmentHeader({kJournalFormat, 1, 1, 1, 5, "n0"});
  std::uint64_t sequence = 1;
  while (!records.empty()) {
    const std::size_t size =
        std::min<std::size_t>(records.size(), 1 + static_cast<unsigned char>(records[0]));
    segment += EncodeFrame(records.substr(0, size), sequence++, 5);
    records.remove_prefix(size);
  }
  return segment;
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
    disk.Put("/j/" + SegmentName(1), data[0] % 4 == 0 ? std::string(text) : EncodeSegment(text));
    if (data[0] % 4 == 2) disk.Put("/j/MANIFEST", std::string(text));
    RecordApplier applier(messages);
    Replay(disk, "/j", applier);
    for (const auto& [number, message] : messages.messages()) {
      const auto decoded = DecodeState(EncodeState(message, 7));
      if (!decoded || decoded->ordinal != 7) std::abort();
      if (EncodeState(decoded->message, 7) != EncodeState(message, 7)) std::abort();
    }
  } catch (const std::runtime_error&) {
  }
  return 0;
}
