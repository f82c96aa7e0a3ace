// Journals of one segment, and where its frames begin, for tests that damage the file.
#ifndef SAGETALLY_TESTS_JOURNAL_SEGMENT_FIXTURES_H_
#define SAGETALLY_TESTS_JOURNAL_SEGMENT_FIXTURES_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/byte_codec.h"
#include "journal_world.h"

namespace sagetally {

inline constexpr char kFirstSegment[] = "/state/journal/0000000000000001.seg";

// A journal that never begins a second segment.
inline JournalSettings OneSegmentJournal() {
  JournalSettings settings = SmallJournal();
  settings.segment_bytes = 1'000'000;
  settings.disk_budget = 30'000'000;
  return settings;
}

// Offsets at which the frames of a segment begin, and its end.
inline std::vector<std::size_t> FrameOffsets(const std::string& bytes) {
  std::vector<std::size_t> offsets = {DecodeSegmentHeader(bytes)->size};
  while (offsets.back() < bytes.size()) {
    const std::string_view frame = std::string_view(bytes).substr(offsets.back());
    ByteReader in(frame);
    offsets.push_back(offsets.back() + kFrameBytes + in.ReadNumber<std::uint32_t>());
  }
  return offsets;
}

// Three messages, the first with an attempt in flight.
inline void AcceptThreeMessages(FaultInjectingFileSystem& disk, TestClock& clock,
                                const JournalSettings& settings) {
  JournalProcess process(disk, clock, settings);
  for (const char* id : {"a", "b", "c"}) assert(process.Accept(id, 40, 2) != nullptr);
  process.StartAttempt(*process.messages.Find(1));
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_SEGMENT_FIXTURES_H_
