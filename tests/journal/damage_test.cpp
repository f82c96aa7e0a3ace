// Tests of journals whose files are torn or damaged: which messages are recovered, and what is reported as
// damage.
#include "segment_fixtures.h"

namespace sagetally {
namespace {

void TornTailIsDiscardedAtAnyLength() {
  FaultInjectingFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  AcceptThreeMessages(whole, clock, settings);
  const std::string bytes = whole.Content(kFirstSegment);
  const std::vector<std::size_t> frames = FrameOffsets(bytes);
  for (std::size_t cut = frames.front(); cut < bytes.size(); ++cut) {
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirstSegment, bytes.substr(0, cut));
    JournalProcess process(disk, clock, settings);
    const auto whole_records = std::upper_bound(frames.begin(), frames.end(), cut) - frames.begin() - 1;
    assert(process.messages.pending_count() == std::min<long>(3, whole_records) &&
           !process.journal.report().is_damaged());
    assert(whole_records == 0 || !process.messages.Find(1)->first_uncertain_attempt);
    assert((process.journal.report().unreadable_bytes == 0) ==
           (cut == frames[static_cast<std::size_t>(whole_records)]));
  }
}

// Returns a disk with four pending messages. Messages 1 and 2 are accepted before message 3, whose state the
// tests damage, and message 4 after it. Message 2 has records before and after that state.
FaultInjectingFileSystem DiskWithFourMessages(TestClock& clock, const JournalSettings& settings) {
  FaultInjectingFileSystem disk;
  JournalProcess process(disk, clock, settings);
  const Message& before = *process.Accept("before", 40, 2);
  Message& around = *process.Accept("around", 40, 2);
  process.StartAttempt(around);
  process.Accept("bad", 40, 2);
  process.FinishAttempt(around, Outcome::kRejected);
  Message& after = *process.Accept("after", 40, 2);
  process.StartAttempt(after);
  process.FinishAttempt(after, Outcome::kRejected);
  assert(before.number == 1 && around.number == 2 && after.number == 4);
  return disk;
}

// Returns the size of the quarantine file, of which there must be exactly one.
std::size_t QuarantinedBytes(FaultInjectingFileSystem& disk, const std::string& folder) {
  const std::string prefix = folder + "/";
  std::vector<std::size_t> sizes;
  for (const std::string& name : disk.List(folder).value) {
    if (name.starts_with("quarantine-")) sizes.push_back(disk.Content(prefix + name).size());
  }
  assert(sizes.size() == 1);
  return sizes.front();
}

// Flips one bit of a frame in the middle of the segment. The records before and after the frame must be
// recovered, the frame must be quarantined, and messages of which a record may be missing must be marked as
// uncertain.
void DamagedFrameLosesOnlyItsOwnRecord() {
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  const FaultInjectingFileSystem whole = DiskWithFourMessages(clock, settings);
  const std::vector<std::size_t> frames = FrameOffsets(whole.Content(kFirstSegment));
  for (std::size_t offset = frames[3]; offset < frames[4]; offset += 3) {  // the state of message 3
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.FlipBit(kFirstSegment, offset, static_cast<int>(offset % 8));
    {
      JournalProcess process(disk, clock, settings);
      const ReplayReport& report = process.journal.report();
      assert(report.is_damaged() && report.missing.size() == 1 &&
             report.missing[0].to - report.missing[0].from == 1);
      assert(process.messages.pending_count() == 3 && process.messages.Find(3) == nullptr);
      assert(process.messages.Find(1)->first_uncertain_attempt == Time(0));
      assert(!process.messages.Find(2)->first_uncertain_attempt &&
             !process.messages.Find(4)->first_uncertain_attempt);
      assert(QuarantinedBytes(disk, settings.folder) == frames[4] - frames[3]);
    }
    // The process copied all live messages and dropped the damaged segment, so the next one finds no damage.
    disk.Restart();
    JournalProcess next(disk, clock, settings);
    assert(!next.journal.report().is_damaged() && next.messages.Find(1)->first_uncertain_attempt == Time(0));
    assert(!next.messages.Find(2)->first_uncertain_attempt);
  }
}

// An erased frame leaves no unreadable bytes. The replay notices it by the gap in the sequence numbers.
void ErasedFrameIsReportedAsMissing() {
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  FaultInjectingFileSystem disk = DiskWithFourMessages(clock, settings);
  const std::vector<std::size_t> frames = FrameOffsets(disk.Content(kFirstSegment));
  disk.Restart();
  disk.EraseBytes(kFirstSegment, frames[4], frames[5] - frames[4]);  // the outcome of message 2
  JournalProcess process(disk, clock, settings);
  assert(process.journal.report().missing.size() == 1 && process.journal.report().unreadable_bytes == 0);
  assert(process.messages.pending_count() == 4 && process.messages.Find(2)->first_uncertain_attempt &&
         process.messages.Find(1)->first_uncertain_attempt);
}

void MissingSegmentIsDamageAndLostManifestIsReconstructed() {
  TestClock clock;
  JournalSettings settings = SmallJournal();
  FaultInjectingFileSystem whole;
  {
    JournalProcess process(whole, clock, settings);
    for (int i = 0; i < 40; ++i) assert(process.Accept("m" + std::to_string(i), 300) != nullptr);
    assert(process.journal.segments() > 4);
  }
  FaultInjectingFileSystem disk = whole;
  disk.Restart();
  disk.Remove(settings.folder + "/" + SegmentName(3));
  {
    JournalProcess process(disk, clock, settings);
    assert(process.journal.report().is_damaged() && !process.journal.report().missing.empty());
    assert(process.messages.pending_count() > 20 && process.messages.pending_count() < 40);
  }
  FaultInjectingFileSystem bare = whole;
  bare.Restart();
  bare.FlipBit(settings.folder + "/" + kManifestName, 20, 3);
  JournalProcess process(bare, clock, settings);
  assert(process.journal.report().manifest_lost && process.messages.pending_count() == 40 &&
         process.journal.epoch() == 2);
}

void BatchIsRecoveredWholeOrNotAtAll() {
  FaultInjectingFileSystem whole;
  TestClock clock;
  const JournalSettings settings = OneSegmentJournal();
  {
    JournalProcess process(whole, clock, settings);
    assert(process.AcceptBatch("e", 5, 200));
  }
  const std::string bytes = whole.Content(kFirstSegment);
  const std::size_t first_frame = FrameOffsets(bytes).front();
  for (std::size_t cut = first_frame; cut <= bytes.size(); cut += cut + 40 < bytes.size() ? 17 : 1) {
    FaultInjectingFileSystem disk = whole;
    disk.Restart();
    disk.Put(kFirstSegment, bytes.substr(0, cut));
    JournalProcess process(disk, clock, settings);
    assert(process.messages.pending_count() == (cut == bytes.size() ? 5 : 0));
  }
}

// A client's body may contain bytes that look like a frame. If the record with the body is damaged, the
// search for the next frame must not accept these bytes as a record.
void FrameInsideABodyIsNotReadAsARecord() {
  const JournalSettings settings = OneSegmentJournal();
  TestClock clock;
  FaultInjectingFileSystem disk;
  {
    JournalProcess process(disk, clock, settings);
    Message forged;
    forged.number = 99;
    forged.request.id = "forged";
    Message message;
    message.request.id = "a";
    message.request.body =
        EncodeFrame(EncodeState(forged, 1), 2, 0) + EncodeFrame(EncodeState(forged, 1), 2, 1);
    const Message& added = process.messages.Add(std::move(message));
    const Message* accepted[] = {&added};
    assert(process.journal.AppendAccepted(accepted));
  }
  disk.Restart();
  disk.FlipBit(kFirstSegment, FrameOffsets(disk.Content(kFirstSegment)).front() + kFrameBytes + 3, 0);
  JournalProcess process(disk, clock, settings);
  assert(process.messages.size() == 0);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  TornTailIsDiscardedAtAnyLength();
  DamagedFrameLosesOnlyItsOwnRecord();
  ErasedFrameIsReportedAsMissing();
  MissingSegmentIsDamageAndLostManifestIsReconstructed();
  BatchIsRecoveredWholeOrNotAtAll();
  FrameInsideABodyIsNotReadAsARecord();
  std::puts("6 passed, 0 failed");
}
