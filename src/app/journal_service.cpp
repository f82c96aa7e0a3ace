#include "app/journal_service.h"

#include <cstdlib>
#include <utility>

namespace sagetally {
namespace {

// Makes every deduplication window count as expired, because it is not known how long ago the attempts were
// sent.
void ExpireDeduplicationWindows(MessageTable& messages) {
  for (const auto& [number, message] : messages.messages()) {
    if (message.first_uncertain_attempt) messages.Find(number)->first_uncertain_attempt = Time(0);
  }
}

}  // namespace

JournalService::JournalService(EventLoop& loop, Logger& log, const Config& config,
                               const JournalFileSettings& file, MessageTable& messages, SystemClock& clock,
                               Callbacks callbacks, FileDescriptor lock)
    : before_first_write_(std::move(callbacks.before_first_write)),
      work_timer_(loop, [this] { journal_->RunDueWork(); }),
      progress_timer_(loop, std::move(callbacks.on_progress)),
      fenced_timer_(loop, std::move(callbacks.on_fenced)),
      sync_wakeup_(loop, [this] {
        if (sync_thread_) sync_thread_->DeliverResults();
      }) {
  files_.Adopt(std::move(lock));
  journal_ = std::make_unique<SegmentJournal>(files_, MakeJournalSettings(config, file), messages, clock, log,
                                              *this);
  LogReplay(log);
  ContinueClock(clock, messages, log);
}

JournalService::~JournalService() = default;

void JournalService::LogReplay(Logger& log) const {
  log.Info("journal.read", {{"note", journal_->replay_summary()},
                            {"segments", journal_->report().segments.size()},
                            {"epoch", journal_->epoch()},
                            {"disk_bytes", journal_->disk_bytes()}});
}

void JournalService::ContinueClock(SystemClock& clock, MessageTable& messages, Logger& log) const {
  const SystemClock::ClockCorrection correction = clock.ContinueFrom(journal_->report().latest_timestamp);
  if (correction.amount == Duration(0)) return;
  const bool has_stepped_back = correction.amount > Duration(0);
  const auto step_ms = std::abs(correction.amount.count()) / 1000;
  log.Warn(has_stepped_back ? "clock.stepped_back" : "clock.stepped_forward",
           {{"by_ms", step_ms}, {"measured", correction.is_measured}});
  if (!correction.is_measured) ExpireDeduplicationWindows(messages);
}

void JournalService::SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> on_done) {
  if (!sync_thread_) sync_thread_ = std::make_unique<SyncThread>(sync_wakeup_);
  sync_thread_->Sync(std::move(file), std::move(on_done));
}

}  // namespace sagetally
