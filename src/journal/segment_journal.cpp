#include "journal/segment_journal.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include "journal/format1_reader.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kBlock = 512;  // as the platform counts
constexpr std::uint64_t kKiB = 1024;
constexpr std::uint64_t kLeastSegment = 32 * kKiB, kMostSegmentBytes = 8 * 1024 * kKiB;
constexpr std::uint64_t kReserveStep = 64 * kKiB;
constexpr std::uint64_t kStep = 48 * kKiB;   // copied in one turn of compaction
constexpr std::uint64_t kCopiedPerByte = 4;  // of an append, once the log is three quarters full
constexpr std::size_t kMostSegments = 48;
constexpr Duration kBetweenSteps = milliseconds(3);
constexpr Duration kRetryFirst = milliseconds(100), kRetryMost = milliseconds(3000);
constexpr char kReserveName[] = "reserve", kLockName[] = "lock", kQuarantine[] = "quarantine-";

std::uint64_t Blocks(std::uint64_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }
std::uint64_t RoundUp(std::uint64_t bytes, std::uint64_t step) { return (bytes + step - 1) / step * step; }

// An eighth of the budget at most, so that two segments' room for copies leaves enough for what lives.
std::uint64_t SegmentBytes(const JournalSettings& s) {
  const std::uint64_t wanted = s.segment_bytes != 0
                                   ? s.segment_bytes
                                   : std::clamp(s.disk_budget / 24, kLeastSegment, kMostSegmentBytes);
  return std::min(wanted, s.disk_budget / 8);
}

}  // namespace

SegmentJournal::SegmentJournal(FileSystem& files, JournalSettings settings, MessageTable& ledger,
                               const Clock& clock, Logger& log, JournalHost& host)
    : files_(files),
      settings_(std::move(settings)),
      segment_bytes_(SegmentBytes(settings_)),
      messages_(ledger),
      clock_(clock),
      log_(log),
      host_(host) {
  const auto check = [&](int error) {
    if (error != 0) throw std::runtime_error(settings_.folder + ": " + ErrorText(error));
  };
  check(files_.MakeFolder(settings_.folder));
  int error = 0;
  lock_ = files_.Lock(Path(kLockName), error);
  if (error == EWOULDBLOCK) {
    throw std::runtime_error(settings_.folder + ": another process holds this journal (" + kLockName + ")");
  }
  check(error);
  Read();
  host_.BeforeFirstWrite();
  Begin();
  messages_.on_message_removed = [this](const Message& message) { Removed(message); };
}

SegmentJournal::~SegmentJournal() {
  messages_.on_message_removed = nullptr;
  *alive_ = false;
}

// What is on record, into the ledger.
void SegmentJournal::Read() {
  std::vector<std::pair<std::string, std::string>> pieces;  // names and bytes of what can't be read
  const std::uint64_t most = std::max(kReserveStep, settings_.disk_budget / 20);
  std::uint64_t held = 0;
  int error = 0;
  const auto there = ReadManifestFile(files_, settings_.folder, error);
  const bool none = !there && error == ENOENT;
  const bool old_log =
      !settings_.format1_path.empty() && files_.Open(settings_.format1_path, FileSystem::Mode::kRead, error);
  if ((there && there->migrating) || (none && old_log)) {
    // The process ended while it took over the old log, which is still whole.
    for (const std::uint64_t number : ListSegments(files_, settings_.folder)) {
      files_.Remove(Path(SegmentName(number)));
    }
    files_.Remove(Path(kManifestName));
  }
  RecordApplier applier(messages_);
  report_ =
      Replay(files_, settings_.folder, applier,
             {.on_unreadable = [&](std::uint64_t segment, const UnreadableRange& u, std::string_view bytes) {
               if (held + bytes.size() > most) return;
               held += bytes.size();
               pieces.emplace_back(fmt::format("{}{}-{}", kQuarantine, segment, u.offset), bytes);
             }});
  manifest_ = report_.manifest;
  sequence_ = report_.next_sequence;
  // Files that the manifest does not name: begun and never used, or dropped and not yet removed.
  for (const std::string& name : files_.List(settings_.folder, error)) {
    const auto number = SegmentNumber(name);
    const bool named = number && *number >= manifest_.oldest && *number <= manifest_.newest;
    if ((number && !named && !report_.segments.empty()) || name == std::string(kManifestName) + ".new") {
      files_.Remove(Path(name));
    } else if (name.starts_with(kQuarantine)) {
      const auto file = files_.Open(Path(name), FileSystem::Mode::kRead, error);
      if (file) other_blocks_ += Blocks(file->Size(error));
    }
  }
  other_blocks_ += 4 * kBlock;  // the manifest, the next one beside it, the lock
  for (const SegmentReport& s : report_.segments) {
    if (s.missing) continue;
    segments_.push_back({s.number, s.bytes, 0, {}, 0});
    segment_blocks_ += Blocks(s.bytes);
  }
  for (const auto& [number, trace] : applier.traces()) {
    Info& info = infos_[number];
    info.ordinal = trace.ordinal;
    info.last = trace.last_sequence;
    info.segment = trace.segment;
    const auto at = std::find_if(segments_.begin(), segments_.end(),
                                 [&](const Segment& s) { return s.number == trace.segment; });
    at->live += 1;
    at->based.push_back(number);
    Count(*messages_.Find(number), info);
  }
  if (report_.is_damaged()) {
    std::uint64_t missing = 0;
    for (const MissingRecords& m : report_.missing) missing += m.to - m.from;
    log_.Error("journal.damaged", {{"folder", settings_.folder},
                                   {"missing_records", missing},
                                   {"unreadable_bytes", report_.unreadable_bytes},
                                   {"rejected_records", report_.invalid_records},
                                   {"manifest_lost", report_.manifest_lost},
                                   {"messages_lost", report_.lost_messages},
                                   {"may_have_run", report_.incomplete_histories.size()}});
    Quarantine(pieces);
  }
  note_ = fmt::format("{} records read, {} messages owed", report_.records, messages_.pending_count());
  if (report_.unreadable_bytes > 0) note_ += fmt::format(", cut off {} torn bytes", report_.unreadable_bytes);
}

void SegmentJournal::Quarantine(const std::vector<std::pair<std::string, std::string>>& pieces) {
  for (const auto& [name, bytes] : pieces) {
    int error = 0;
    if (files_.Open(Path(name), FileSystem::Mode::kRead, error)) continue;  // from an earlier start
    const auto file = files_.Open(Path(name), FileSystem::Mode::kCreate, error);
    if (file) WriteAll(*file, bytes, error);
    if (error != 0) {
      log_.Warn("journal.not_quarantined", {{"file", name}, {"why", ErrorText(error)}});
      continue;
    }
    other_blocks_ += Blocks(bytes.size());
    log_.Warn("journal.quarantined", {{"file", Path(name)}, {"bytes", bytes.size()}});
  }
}

// A new epoch, a new segment, and what the reading found out goes on record.
void SegmentJournal::Begin() {
  Format1Report legacy;
  if (report_.segments.empty() && !settings_.format1_path.empty()) {
    legacy = ReadFormat1(files_, settings_.format1_path, messages_);
    manifest_.migrating = legacy.found;
    note_ = fmt::format("{} records read, {} messages owed", legacy.records, messages_.pending_count());
    if (legacy.torn_bytes > 0) note_ += fmt::format(", cut off {} torn bytes", legacy.torn_bytes);
  }
  fresh_ = report_.records == 0 && legacy.records == 0;
  if (manifest_.salt == 0) {
    boost::random::mt19937_64 random(settings_.seed ^ static_cast<std::uint64_t>(clock_.Now().count()));
    manifest_.salt = random() | 1;
  }
  TakeOverClasses();
  manifest_.node = settings_.node_name;
  manifest_.epoch += 1;
  int error = 0;
  if (auto file = files_.Open(Path(kReserveName), FileSystem::Mode::kAppend, error)) {
    reserve_bytes_ = file->Size(error);
    reserve_ = std::move(file);
    if (!settings_.reserve_disk_space) {
      reserve_.reset();
      if (files_.Remove(Path(kReserveName)) == 0) reserve_bytes_ = 0;
    }
  }
  error = Roll();
  while (error == ENOSPC && ReleaseReserve(kReserveStep)) error = Roll();
  if (error != 0) throw std::runtime_error(settings_.folder + ": " + ErrorText(error));
  std::vector<std::uint64_t> anew = report_.incomplete_histories;
  const bool all =
      legacy.found || report_.is_damaged();  // what is damaged goes, once all that lives is copied
  if (all) {
    anew.clear();
    for (const auto& [number, message] : messages_.messages()) anew.push_back(number);
  }
  for (const std::uint64_t number : anew) {
    const Message& m = *messages_.Find(number);
    Info& info = infos_[number];
    info.ordinal += 1;
    const bool needed = legacy.found || std::binary_search(report_.incomplete_histories.begin(),
                                                           report_.incomplete_histories.end(), number);
    if (!WriteState(m, info, true) && needed) {
      throw std::runtime_error(settings_.folder + ": what was read could not be written anew");
    }
    Count(m, info);
  }
  if (manifest_.unknown_from != 0 || manifest_.migrating) {  // all that it held against is on record by now
    if (AnySynced() && (error = head_->Sync()) != 0)
      throw std::runtime_error(settings_.folder + ": " + ErrorText(error));
    manifest_.unknown_from = 0;
    manifest_.migrating = false;
    error = WriteManifest(files_, settings_.folder, manifest_, AnySynced());
    if (error != 0) throw std::runtime_error(settings_.folder + ": " + ErrorText(error));
  }
  if (legacy.found) {
    log_.Info("journal.migrated", {{"from", settings_.format1_path}, {"records", legacy.records}});
  }
  while (all && segments_.size() > 1 && segments_.front().live == 0 && Drop()) {
  }
  if (!settings_.format1_path.empty())
    files_.Remove(settings_.format1_path);  // taken over, now or by an earlier process
  if (settings_.reserve_disk_space && !GrowReserve(to_come_)) Failed(ENOSPC, false);
  Schedule();
}

// Messages carry their class by number; the numbers of this configuration may be others.
void SegmentJournal::TakeOverClasses() {
  if (!manifest_.classes.empty() && manifest_.classes != settings_.class_names) {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, message] : messages_.messages()) numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
      Message& m = *messages_.Find(number);
      const auto was = static_cast<std::size_t>(m.request.message_class);
      const auto at =
          was < manifest_.classes.size()
              ? std::find(settings_.class_names.begin(), settings_.class_names.end(), manifest_.classes[was])
              : settings_.class_names.end();
      // One that is not configured any more can't be sent: its end is owed.
      m.request.message_class =
          at == settings_.class_names.end() ? kNoClass : static_cast<int>(at - settings_.class_names.begin());
      if (at == settings_.class_names.end() && m.final_status == FinalStatus::kPending) {
        log_.Warn("journal.class_gone", {{"number", number}, {"id", m.request.id}});
      }
    }
    report_.incomplete_histories = numbers;  // written anew, under the new numbers
  }
  manifest_.classes = settings_.class_names;
}

std::uint64_t SegmentJournal::disk_bytes() const {
  return segment_blocks_ + other_blocks_ + Blocks(reserve_bytes_);
}

// Where ordinary records stop; copies may go on for two segments more, so that compaction can always end.
std::uint64_t SegmentJournal::SoftLimit() const {
  const std::uint64_t taken = other_blocks_ + Blocks(reserve_bytes_) + 2 * segment_bytes_ + 4 * kBlock;
  return settings_.disk_budget > taken ? settings_.disk_budget - taken : 0;
}

Durability SegmentJournal::DurabilityOf(const Message& m) const {
  const auto at = settings_.class_durability.find(m.request.message_class);
  return at == settings_.class_durability.end() ? settings_.default_durability : at->second;
}

bool SegmentJournal::AnySynced() const {
  return settings_.default_durability == Durability::kSynced ||
         std::any_of(settings_.class_durability.begin(), settings_.class_durability.end(),
                     [](const auto& entry) { return entry.second == Durability::kSynced; });
}

bool SegmentJournal::IsDurable(const Message& m) const {
  const auto at = infos_.find(m.number);
  if (at == infos_.end()) return true;
  if (at->second.dirty || broken_ || fenced_) return false;
  return DurabilityOf(m) == Durability::kWritten || at->second.last <= synced_;
}

bool SegmentJournal::AppendAccepted(std::span<const Message* const> messages) {
  if (!is_writable() || full_) return false;
  std::uint64_t live = 0, to_come = 0;
  std::vector<std::string> states;
  for (const Message* m : messages) {
    live += MaxLiveBytes(*m);
    to_come += MaxFutureRecordBytes(*m);
    states.push_back(EncodeState(*m, 1));
  }
  // All that lives must fit well under the budget, or compaction would copy the same bytes over and over.
  const std::uint64_t limit = std::min(settings_.disk_budget / 100 * (settings_.reserve_disk_space ? 30 : 45),
                                       SoftLimit() / 100 * 60);
  if (live_bytes_ + live > limit) return false;
  if (settings_.reserve_disk_space && !GrowReserve(to_come_ + to_come)) return Failed(ENOSPC, false);
  const std::string record = states.size() == 1 ? std::move(states.front()) : EncodeBatch(states);
  if (record.size() > kMaxRecordBytes || !Write(record, false)) return false;
  for (const Message* m : messages) {
    Info& info = infos_[m->number];
    info.ordinal = 1;
    Base(m->number, info);
    Count(*m, info);
    if (DurabilityOf(*m) == Durability::kSynced) WantSync();
  }
  CompactAfter(record.size());
  return true;
}

void SegmentJournal::AppendAttempt(const Message& m) {
  Record(m, [&](std::uint32_t ordinal) { return EncodeAttempt(m, ordinal); });
}
void SegmentJournal::AppendOutcome(const Message& m, Outcome outcome) {
  Record(m, [&](std::uint32_t ordinal) { return EncodeOutcome(m, ordinal, outcome); });
}
void SegmentJournal::AppendCompletion(const Message& m) {
  Record(m, [&](std::uint32_t ordinal) { return EncodeCompletion(m, ordinal); });
}
void SegmentJournal::AppendNotified(const Message& m) {
  Record(m,
         [&](std::uint32_t ordinal) { return EncodeBareRecord(RecordKind::kNotified, m.number, ordinal); });
}
void SegmentJournal::AppendDeadLettered(const Message& m) {
  Record(m, [&](std::uint32_t ordinal) {
    return EncodeBareRecord(RecordKind::kDeadLettered, m.number, ordinal);
  });
}

void SegmentJournal::Record(const Message& m, const std::function<std::string(std::uint32_t)>& make) {
  const auto at = infos_.find(m.number);
  if (at == infos_.end()) return;  // never taken on
  Info& info = at->second;
  info.ordinal += 1;
  Count(m, info);
  if (info.dirty) return;  // its whole state will be written
  const std::string record = make(info.ordinal);
  if (!Write(record, true)) {
    info.dirty = true;
    dirty_.insert(m.number);
    return;
  }
  info.last = sequence_ - 1;
  if (DurabilityOf(m) == Durability::kSynced) WantSync();
  CompactAfter(record.size());
}

void SegmentJournal::Count(const Message& m, Info& info) {
  Uncount(info);
  info.live = static_cast<std::uint32_t>(MaxLiveBytes(m));
  info.to_come = static_cast<std::uint32_t>(MaxFutureRecordBytes(m));
  live_bytes_ += info.live;
  to_come_ += info.to_come;
}

void SegmentJournal::Uncount(const Info& info) {
  live_bytes_ -= info.live;
  to_come_ -= info.to_come;
}

// Its state stands in the segment written to last.
void SegmentJournal::Base(std::uint64_t number, Info& info) {
  const auto segment = [&](std::uint64_t wanted) {
    return std::lower_bound(segments_.begin(), segments_.end(), wanted,
                            [](const Segment& s, std::uint64_t n) { return s.number < n; });
  };
  if (info.segment != 0) {
    const auto old = segment(info.segment);
    old->live -= 1;
    old->copied_until = sequence_ - 1;
  }
  info.segment = written_in_;
  info.last = sequence_ - 1;
  const auto now = segment(written_in_);
  now->live += 1;
  now->based.push_back(number);
}

bool SegmentJournal::WriteState(const Message& m, Info& info, bool copy) {
  const std::string record = EncodeState(m, info.ordinal);
  if (!Write(record, !copy, copy)) return false;
  if (copy) counters_.bytes_copied += kFrameBytes + record.size();
  Base(m.number, info);
  if (DurabilityOf(m) == Durability::kSynced) WantSync();
  return true;
}

void SegmentJournal::Removed(const Message& m) {
  const auto at = infos_.find(m.number);
  if (at == infos_.end()) return;
  const Info& info = at->second;
  Uncount(info);
  const auto segment = std::lower_bound(segments_.begin(), segments_.end(), info.segment,
                                        [](const Segment& s, std::uint64_t n) { return s.number < n; });
  segment->live -= 1;
  if (info.dirty) {
    dirty_.erase(m.number);
    tombstones_[m.number] = info.ordinal + 1;
  } else if (info.last > synced_ && AnySynced()) {
    recent_.push_back({m.number, info.ordinal + 1, info.last});
  }
  infos_.erase(at);
}

bool SegmentJournal::Write(std::string_view record, bool must, bool copy) {
  if (broken_ || fenced_ || (unwritable_ && !retrying_)) return false;
  const std::uint64_t size = kFrameBytes + record.size();
  const Segment& head = segments_.back();
  if (head.bytes + size > segment_bytes_ && head.bytes > segment_bytes_ / 2)
    Roll();  // if it can't, on in this one
  if (fenced_) return false;
  int error = MakeRoom(size, copy) ? AppendFrame(record) : ENOSPC;
  while (error == ENOSPC && must && ReleaseReserve(size)) {
    error = MakeRoom(size, copy) ? AppendFrame(record) : ENOSPC;
  }
  // Another file may do where this one fails.
  if (error != 0 && error != ENOSPC && Roll() == 0) error = AppendFrame(record);
  return error == 0 || Failed(error, must);
}

int SegmentJournal::AppendFrame(std::string_view record) {
  Segment& head = segments_.back();
  const std::string frame = EncodeFrame(record, sequence_, manifest_.salt);
  int error = 0;
  const std::size_t done = WriteAll(*head_, frame, error);
  const bool torn = error != 0 && done > 0 && head_->Truncate(head.bytes) != 0;
  if (error == 0 || torn) {  // a torn frame may stay: the next one repeats its number
    segment_blocks_ -= Blocks(head.bytes);
    head.bytes += done;
    segment_blocks_ += Blocks(head.bytes);
  }
  if (error != 0) return error;
  counters_.bytes_appended += frame.size();
  written_in_ = head.number;
  ++sequence_;
  return 0;
}

bool SegmentJournal::Failed(int error, bool must) {
  ++counters_.failures;
  if (!full_ && error == ENOSPC)
    log_.Error("journal.full", {{"folder", settings_.folder}, {"held", messages_.pending_count()}});
  full_ = full_ || error == ENOSPC;
  if (must && !unwritable_) {
    unwritable_ = true;
    log_.Error("journal.unwritable", {{"folder", settings_.folder}, {"why", ErrorText(error)}});
  }
  if (must || error == ENOSPC) {
    if (retry_due_ == Time::max()) retry_after_ = kRetryFirst, retry_due_ = clock_.Now() + retry_after_;
    Schedule();
  }
  return false;
}

int SegmentJournal::Roll(bool trust_head) {
  if (CheckFence()) return EROFS;
  const bool synced = AnySynced();
  int error = 0, sync_error = 0;
  // What stands in the old one must last before a new one says that it goes on from there.
  if (synced && head_ && trust_head && synced_ + 1 < sequence_) {
    sync_error = head_->Sync();
    if (sync_error == 0) synced_ = sequence_ - 1;
    head_untrusted_ = sync_error != 0;
  }
  const std::uint64_t number = segments_.empty() ? manifest_.newest + 1 : segments_.back().number + 1;
  std::shared_ptr<File> file = files_.Open(Path(SegmentName(number)), FileSystem::Mode::kCreate, error);
  if (!file) return error;
  const std::string header = EncodeSegmentHeader(
      {kJournalFormat, number, manifest_.epoch, sequence_, manifest_.salt, manifest_.node});
  // On an error the file stays: no manifest names it, and the next try begins it anew.
  WriteAll(*file, header, error);
  if (error != 0) return error;
  if (synced && (error = file->Sync()) != 0) return error;
  Manifest next = manifest_;
  next.newest = number;
  if (segments_.empty()) next.oldest = number;
  next.written = clock_.CurrentTimestamp();
  if ((error = WriteManifest(files_, settings_.folder, next, synced)) != 0) return error;
  manifest_ = std::move(next);
  segments_.push_back({number, header.size(), 0, {}, 0});
  segment_blocks_ += Blocks(header.size());
  head_ = std::move(file);
  head_untrusted_ = false;
  ++counters_.segments_started;
  if (sync_error != 0) SyncFailed(sync_error);
  return 0;
}

// A manifest of a later epoch: another process has taken over, whatever became of the lock.
bool SegmentJournal::CheckFence() {
  if (fenced_ || segments_.empty() || !head_) return fenced_;
  int error = 0;
  const auto there = ReadManifestFile(files_, settings_.folder, error);
  if (!there || there->epoch <= manifest_.epoch) return false;
  fenced_ = true;
  log_.Error("journal.fenced",
             {{"folder", settings_.folder}, {"epoch", manifest_.epoch}, {"newer", there->epoch}});
  host_.OnFenced();
  return true;
}

bool SegmentJournal::Reclaim() {
  int error = 0;
  const auto there = ReadManifestFile(files_, settings_.folder, error);
  if (!there || (there->epoch != manifest_.epoch && !GoAbove(*there))) return false;
  if (reserve_) {  // the other may have given it up
    reserve_.reset();
    reserve_bytes_ = 0;
    if (!GrowReserve(to_come_)) Failed(ENOSPC, false);
  }
  return true;
}

// Enters the segment that another process began its epoch with, and begins one above.
bool SegmentJournal::GoAbove(const Manifest& there) {
  if (there.epoch != manifest_.epoch + 1 || there.oldest != manifest_.oldest ||
      there.newest != manifest_.newest + 1 || there.classes != manifest_.classes) {
    return false;
  }
  int error = 0;
  const auto begun = files_.Open(Path(SegmentName(there.newest)), FileSystem::Mode::kRead, error);
  if (!begun) return false;
  const std::string bytes = ReadAll(*begun, kLeastSegment, error);
  SegmentHeader header;
  // A record in it would bear a number that the next of ours bears, too.
  if (error != 0 || DecodeSegmentHeader(bytes, header) != bytes.size() || header.first != sequence_)
    return false;
  manifest_ = there;
  manifest_.epoch += 1;
  segments_.push_back({there.newest, bytes.size(), 0, {}, 0});
  segment_blocks_ += Blocks(bytes.size());
  return Roll() == 0;
}

// The oldest segment, once nothing lives in it.
bool SegmentJournal::Drop() {
  if (CheckFence()) return false;
  const Segment& oldest = segments_.front();
  if (AnySynced() && oldest.copied_until > synced_) {  // the copies must outlast what they are copied from
    WantSync();
    return false;
  }
  Manifest next = manifest_;
  next.oldest = segments_[1].number;
  int error = WriteManifest(files_, settings_.folder, next, AnySynced());
  // With no room for a manifest the file goes first: a missing oldest one is no damage.
  if (error != 0 && error != ENOSPC) return false;
  const int removed = files_.Remove(Path(SegmentName(oldest.number)));
  if (removed != 0 && removed != ENOENT) return false;
  if (error == 0) manifest_ = std::move(next);
  segment_blocks_ -= Blocks(oldest.bytes);
  segments_.pop_front();
  ++counters_.segments_dropped;
  return true;
}

bool SegmentJournal::Wanted() const {
  return segment_blocks_ > SoftLimit() / 2 || segments_.size() > kMostSegments;
}

// Copies up to about `most` bytes forward and drops what holds nothing any more. False: nothing could be
// done.
bool SegmentJournal::CompactSome(std::uint64_t most) {
  if (compacting_) return false;
  compacting_ = true;
  const Time begun = clock_.Now();
  bool moved = false;
  while (segments_.size() > 1 && !fenced_) {
    Segment& oldest = segments_.front();
    if (oldest.live == 0) {
      if (!Drop()) break;
      moved = true;
      continue;
    }
    if (most == 0 || !Wanted()) break;
    const std::uint64_t number = oldest.based.back();
    const auto info = infos_.find(number);
    if (info == infos_.end() || info->second.segment != oldest.number) {  // it has gone, or moved
      oldest.based.pop_back();
      continue;
    }
    const std::uint64_t before = counters_.bytes_copied;
    if (!WriteState(*messages_.Find(number), info->second, true)) break;
    most -= std::min(most, counters_.bytes_copied - before);
    moved = true;
  }
  compacting_ = false;
  counters_.longest_step = std::max(counters_.longest_step, clock_.Now() - begun);
  return moved;
}

// Ordinary records go up to the soft limit; compaction makes room below it at once, if it must.
bool SegmentJournal::MakeRoom(std::uint64_t size, bool copy) {
  const std::uint64_t room = Blocks(size) + kBlock;
  if (copy) return disk_bytes() + room <= settings_.disk_budget;
  // Once round at most: a second time it would copy the same bytes again.
  const std::uint64_t enough = counters_.bytes_copied + segment_blocks_;
  while (segment_blocks_ + room > SoftLimit()) {
    if (counters_.bytes_copied > enough || !CompactSome(kStep)) return segment_blocks_ + room <= SoftLimit();
  }
  return true;
}

void SegmentJournal::CompactAfter(std::uint64_t appended) {
  if (segments_.size() < 2) return;
  if (segment_blocks_ > SoftLimit() / 4 * 3) CompactSome(appended * kCopiedPerByte);
  if (compact_due_ == Time::max() && (Wanted() || segments_.front().live == 0)) {
    compact_due_ = clock_.Now() + kBetweenSteps;
    Schedule();
  }
}

bool SegmentJournal::GrowReserve(std::uint64_t need) {
  if (need <= reserve_bytes_) return true;
  const std::uint64_t size = RoundUp(need, kReserveStep);
  if (disk_bytes() - Blocks(reserve_bytes_) + size > settings_.disk_budget) return false;
  int error = 0;
  if (!reserve_) reserve_ = files_.Open(Path(kReserveName), FileSystem::Mode::kCreate, error);
  if (reserve_) error = reserve_->Allocate(size);
  if (error != 0) return false;
  reserve_bytes_ = size;
  return true;
}

bool SegmentJournal::ReleaseReserve(std::uint64_t size) {
  if (!reserve_ || reserve_bytes_ == 0) return false;
  const std::uint64_t freed = std::min(reserve_bytes_, RoundUp(size, kReserveStep));
  if (reserve_->Truncate(reserve_bytes_ - freed) != 0) return false;
  reserve_bytes_ -= freed;
  Failed(ENOSPC, false);  // no new messages until it is whole again
  return true;
}

void SegmentJournal::ShrinkReserve() {
  const std::uint64_t wanted = RoundUp(to_come_, kReserveStep) + kReserveStep;
  if (!reserve_ || reserve_bytes_ <= 2 * wanted) return;
  if (reserve_->Truncate(wanted) == 0) reserve_bytes_ = wanted;
}

void SegmentJournal::WantSync() {
  if (sync_out_ || sync_due_ != Time::max()) return;
  sync_due_ = clock_.Now() + settings_.group_commit_delay;
  Schedule();
}

void SegmentJournal::StartSync() {
  sync_due_ = Time::max();
  if (sync_out_ || broken_ || fenced_) return;
  if (synced_ + 1 >= sequence_) return host_.OnProgress();  // a roll has synced it all
  if (head_untrusted_) {
    SyncFailed(EIO);
    return host_.OnProgress();
  }
  sync_out_ = true;
  ++counters_.syncs;
  host_.SyncInBackground(head_, [this, until = sequence_ - 1, alive = alive_](int error) {
    if (*alive) Synced(until, error);
  });
}

void SegmentJournal::Synced(std::uint64_t until, int error) {
  sync_out_ = false;
  if (broken_ || fenced_) return;
  if (until <= synced_) {  // a roll has synced that file itself
    error = 0;
  } else if (error == 0) {
    synced_ = until;
  } else {
    SyncFailed(error);
  }
  while (!recent_.empty() && recent_.front().sequence <= synced_) recent_.pop_front();
  if (synced_ + 1 < sequence_) WantSync();
  host_.OnProgress();
}

// The file is not trusted any more, and not synced a second time. What it may not hold is written to a new
// one.
void SegmentJournal::SyncFailed(int error) {
  log_.Error("journal.sync_failed",
             {{"file", SegmentName(segments_.back().number)}, {"why", ErrorText(error)}});
  ++counters_.failures;
  const std::uint64_t held = synced_;
  bool whole = Roll(false) == 0;
  std::vector<std::uint64_t> anew;
  for (const auto& [number, info] : infos_) {
    if (info.last > held) anew.push_back(number);
  }
  std::sort(anew.begin(), anew.end());
  for (const std::uint64_t number : anew) {
    whole = whole && WriteState(*messages_.Find(number), infos_.at(number), true);
  }
  for (const Gone& gone : recent_) {
    whole = whole && Write(EncodeBareRecord(RecordKind::kRemoved, gone.number, gone.ordinal), true, true);
  }
  if (whole && head_->Sync() == 0) {
    synced_ = sequence_ - 1;
    recent_.clear();
    return;
  }
  broken_ = true;
  log_.Error("journal.broken", {{"folder", settings_.folder}, {"held", messages_.pending_count()}});
}

// What could not be written, once more: whole states, and ends of what is forgotten.
void SegmentJournal::TryAgain() {
  retry_due_ = Time::max();
  if (broken_ || fenced_) return;
  retrying_ = true;
  bool whole = true;
  for (auto at = dirty_.begin(); whole && at != dirty_.end();) {
    Info& info = infos_.at(*at);
    whole = WriteState(*messages_.Find(*at), info, false);
    if (!whole) break;
    info.dirty = false;
    at = dirty_.erase(at);
  }
  while (whole && !tombstones_.empty()) {
    const auto [number, ordinal] = *tombstones_.begin();
    whole = Write(EncodeBareRecord(RecordKind::kRemoved, number, ordinal), true);
    if (whole) tombstones_.erase(tombstones_.begin());
  }
  retrying_ = false;
  const bool was_unwritable = unwritable_;
  if (whole && unwritable_) {
    unwritable_ = false;
    log_.Info("journal.writable", {{"folder", settings_.folder}});
  }
  if (whole && full_ && (!settings_.reserve_disk_space || GrowReserve(to_come_))) {
    full_ = false;
    log_.Info("journal.room", {{"disk_bytes", disk_bytes()}});
  }
  if (!whole || full_) {
    retry_after_ = std::min(kRetryMost, std::max(kRetryFirst, retry_after_ * 2));
    retry_due_ = clock_.Now() + retry_after_;
  }
  if (was_unwritable && !unwritable_) host_.OnProgress();
}

void SegmentJournal::RunDueWork() {
  if (fenced_) return;
  const Time now = clock_.Now();
  if (sync_due_ <= now) StartSync();
  if (retry_due_ <= now) TryAgain();
  if (compact_due_ <= now) {
    compact_due_ = Time::max();
    const bool moved = CompactSome(kStep);
    ShrinkReserve();
    if (moved && segments_.size() > 1 && (Wanted() || segments_.front().live == 0)) {
      compact_due_ = now + kBetweenSteps;
    }
  }
  Schedule();
}

void SegmentJournal::Schedule() {
  const Time due = std::min({compact_due_, sync_due_, retry_due_});
  if (due != Time::max()) host_.ScheduleTurn(std::max(Duration(0), due - clock_.Now()));
}

}  // namespace sagetally
