#include "app/journal_service.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace sagetally {

JournalSettings MakeJournalSettings(const Config& config, const JournalFileSettings& file) {
  JournalSettings s;
  s.folder = config.state_folder + "/journal";
  s.format1_path = config.state_folder + "/log";
  s.node_name = config.name;
  s.disk_budget = config.disk_limit_bytes;
  s.class_names = config.site.classes;
  s.default_durability = file.synced ? Durability::kSynced : Durability::kWritten;
  s.group_commit_delay = file.group_commit_delay;
  s.reserve_disk_space = file.reserve_disk_space;
  s.seed = config.seed;
  s.segment_bytes = file.segment_bytes;
  for (const std::string& name : file.synced_classes) {
    const auto at = std::find(s.class_names.begin(), s.class_names.end(), name);
    if (at == s.class_names.end()) {
      throw std::runtime_error("/journal/synced_classes: expected names of configured classes, found " +
                               name);
    }
    s.class_durability[static_cast<int>(at - s.class_names.begin())] = Durability::kSynced;
  }
  return s;
}

class JournalService::SyncThread {
 public:
  explicit SyncThread(const WakeupDescriptor& bell) : bell_(bell), thread_([this] { Work(); }) {}
  ~SyncThread() {
    {
      const std::lock_guard lock(mutex_);
      over_ = true;
    }
    more_.notify_one();
    thread_.join();
  }
  void Add(std::shared_ptr<File> file, std::function<void(int)> done) {
    {
      const std::lock_guard lock(mutex_);
      asked_.push_back({std::move(file), std::move(done), 0});
    }
    more_.notify_one();
  }
  void Deliver() {
    std::vector<Job> done;
    {
      const std::lock_guard lock(mutex_);
      done.swap(done_);
    }
    for (const Job& job : done) job.done(job.error);
  }

 private:
  struct Job {
    std::shared_ptr<File> file;
    std::function<void(int)> done;
    int error = 0;
  };
  void Work() {
    std::unique_lock lock(mutex_);
    while (true) {
      more_.wait(lock, [this] { return over_ || !asked_.empty(); });
      if (over_) return;
      Job job = std::move(asked_.front());
      asked_.pop_front();
      lock.unlock();
      job.error = job.file->Sync();
      lock.lock();
      done_.push_back(std::move(job));
      bell_.Notify();
    }
  }
  const WakeupDescriptor& bell_;
  std::mutex mutex_;
  std::condition_variable more_;
  std::deque<Job> asked_;
  std::vector<Job> done_;
  bool over_ = false;
  std::thread thread_;
};

JournalService::JournalService(EventLoop& loop, Logger& log, const Config& config,
                               const JournalFileSettings& file, MessageTable& ledger, SystemClock& clock,
                               Callbacks heard, FileDescriptor lock)
    : begins_(std::move(heard.begins)),
      turn_(loop, [this] { journal_->RunDueWork(); }),
      progress_(loop, std::move(heard.progress)),
      fenced_(loop, std::move(heard.fenced)),
      bell_(loop, [this] {
        if (syncs_) syncs_->Deliver();
      }) {
  files_.Adopt(std::move(lock));
  journal_ =
      std::make_unique<SegmentJournal>(files_, MakeJournalSettings(config, file), ledger, clock, log, *this);
  const ReplayReport& report = journal_->report();
  log.Info("journal.read", {{"note", journal_->replay_note()},
                            {"segments", report.segments.size()},
                            {"epoch", journal_->epoch()},
                            {"disk_bytes", journal_->disk_bytes()}});
  const SystemClock::ClockCorrection carried = clock.ContinueFrom(report.latest_timestamp);
  if (carried.amount <= Duration(0)) return;
  log.Warn("clock.stepped_back",
           {{"by_ms", carried.amount.count() / 1000}, {"measured", carried.is_measured}});
  if (carried.is_measured) return;
  // How long ago calls went out is not known: every window to repeat them counts as over.
  for (const auto& [number, message] : ledger.messages()) {
    if (message.first_uncertain_attempt) ledger.Find(number)->first_uncertain_attempt = Time(0);
  }
}

JournalService::~JournalService() = default;

void JournalService::SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) {
  if (!syncs_) syncs_ = std::make_unique<SyncThread>(bell_);
  syncs_->Add(std::move(file), std::move(done));
}

}  // namespace sagetally
