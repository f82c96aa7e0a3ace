// Journals of a single segment, and the offsets of its frames, for tests that damage or replace the file.
#ifndef SAGETALLY_TESTS_JOURNAL_SEGMENT_FIXTURES_H_
#define SAGETALLY_TESTS_JOURNAL_SEGMENT_FIXTURES_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/byte_codec.h"
#include "journal_world.h"

namespace sagetally {

inline constexpr char kFirstSegment[] = "/state/journal/0000000000000001.seg";

// Settings of a journal whose segment is so large that the tests never begin a second one.
inline JournalSettings OneSegmentJournal() {
  JournalSettings settings = SmallJournal();
  settings.segment_bytes = 1'000'000;
  settings.disk_budget = 30'000'000;
  return settings;
}

// Returns the offsets at which the frames of a segment begin, and as the last element the size of the
// segment.
inline std::vector<std::size_t> FrameOffsets(const std::string& bytes) {
  std::vector<std::size_t> offsets = {DecodeSegmentHeader(bytes)->size};
  while (offsets.back() < bytes.size()) {
    const std::string_view frame = std::string_view(bytes).substr(offsets.back());
    ByteReader in(frame);
    offsets.push_back(offsets.back() + kFrameBytes + in.ReadNumber<std::uint32_t>());
  }
  return offsets;
}

// Accepts three messages and starts an attempt of the first one, which has no outcome.
inline void AcceptThreeMessages(FaultInjectingFileSystem& disk, TestClock& clock,
                                const JournalSettings& settings) {
  JournalProcess process(disk, clock, settings);
  for (const char* id : {"a", "b", "c"}) assert(process.Accept(id, 40, 2) != nullptr);
  process.StartAttempt(*process.messages.Find(1));
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_SEGMENT_FIXTURES_H_
