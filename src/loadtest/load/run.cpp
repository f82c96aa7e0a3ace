#include "loadtest/load/run.h"

#include <sys/resource.h>

#include <exception>
#include <random>
#include <stdexcept>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/load/trace.h"

namespace sagetally::loadtest {
namespace {

constexpr std::int64_t kReservedDescriptors = 64;  // descriptors besides those of the connections
constexpr auto kFeedRetryInterval = std::chrono::milliseconds(1);
constexpr auto kProgressInterval = std::chrono::milliseconds(100);
constexpr std::int64_t kStartDelayUs =
    50'000;  // lets the threads start and the first messages of the plan be drawn

// Draws the plan and passes its messages to the senders in turn, by message number.
class PlanDistributor {
 public:
  PlanDistributor(const Scenario& scenario, std::vector<std::unique_ptr<PlanFeed>>& feeds,
                  const std::string& record, const std::atomic<bool>& stop)
      : scenario_(scenario), feeds_(feeds), stop_(stop), source_(OpenPlanSource(scenario)) {
    if (!record.empty()) writer_ = std::make_unique<TraceWriter>(record, scenario);
  }
  // Runs on a thread of its own. An error ends the plan, so that the senders end too, and is thrown by
  // Rethrow.
  void Run() {
    try {
      Distribute();
    } catch (...) {
      error_ = std::current_exception();
    }
    for (const auto& feed : feeds_) feed->done = true;
  }
  void Rethrow() const {
    if (error_) std::rethrow_exception(error_);
  }

 private:
  void Distribute() {
    std::int64_t count = 0;
    while (const auto planned = source_->Next()) {
      if (++count > scenario_.max_messages) {
        throw std::runtime_error("the plan has more messages than max_messages (" +
                                 std::to_string(scenario_.max_messages) +
                                 "): raise it, or offer fewer messages");
      }
      if (writer_) writer_->Write(*planned);
      auto& queue = feeds_[static_cast<std::size_t>(planned->number) % feeds_.size()]->queue;
      while (!queue.push(*planned)) {
        if (stop_) return;
        std::this_thread::sleep_for(kFeedRetryInterval);
      }
    }
    if (writer_) writer_->Close();
  }
  const Scenario& scenario_;
  std::vector<std::unique_ptr<PlanFeed>>& feeds_;
  const std::atomic<bool>& stop_;
  std::unique_ptr<PlanSource> source_;
  std::unique_ptr<TraceWriter> writer_;
  std::exception_ptr error_;
};

using Senders = std::vector<std::unique_ptr<Sender>>;

// Creates a sender for each feed. The senders share the connections evenly.
Senders MakeSenders(const Scenario& scenario, const std::vector<std::unique_ptr<PlanFeed>>& feeds,
                    const RunRecords& run, Progress& progress, const std::atomic<bool>& stop) {
  Senders senders;
  for (int i = 0; i < scenario.threads; ++i) {
    const int surplus = i < scenario.connections % scenario.threads ? 1 : 0;
    const int connections = scenario.connections / scenario.threads + surplus;
    senders.push_back(std::make_unique<Sender>(scenario, connections, *feeds[static_cast<std::size_t>(i)],
                                               run.run, run.start_us, progress, stop));
  }
  return senders;
}

void Collect(const Senders& senders, RunRecords& run) {
  for (const auto& sender : senders) {
    run.records.insert(run.records.end(), sender->records().begin(), sender->records().end());
    run.threads.push_back(sender->thread_report());
    run.opened_connections += sender->opened_connections();
    run.plan_underruns += sender->plan_underruns();
  }
}

}  // namespace

void EnsureDescriptorLimit(std::int64_t count) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const auto required = static_cast<rlim_t>(count + kReservedDescriptors);
  if (limit.rlim_cur < required && limit.rlim_max >= required) {
    limit.rlim_cur = required;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < required) {
    throw std::runtime_error(
        "connections: " + std::to_string(count) + " need " + std::to_string(required) +
        " descriptors, and the limit of this process is " + std::to_string(limit.rlim_max) +
        " (ulimit -n); ask for at most " +
        std::to_string(static_cast<std::int64_t>(limit.rlim_max) - kReservedDescriptors) +
        " connections or raise the limit");
  }
}

std::unique_ptr<PlanSource> OpenPlanSource(const Scenario& scenario) {
  if (!scenario.trace.empty()) return std::make_unique<TraceReader>(scenario.trace, scenario);
  return std::make_unique<Plan>(scenario);
}

RunRecords RunLoad(const Scenario& scenario, const RunOptions& options) {
  EnsureDescriptorLimit(scenario.connections);
  if (scenario.connections < scenario.threads) {
    throw std::runtime_error("connections: expected at least one for each of the threads");
  }
  std::atomic<bool> stop = false;
  std::vector<std::unique_ptr<PlanFeed>> feeds;
  feeds.reserve(static_cast<std::size_t>(scenario.threads));
  for (int i = 0; i < scenario.threads; ++i) feeds.push_back(std::make_unique<PlanFeed>());
  PlanDistributor distributor(scenario, feeds, options.record, stop);
  RunRecords run;
  // It is not drawn from the seed, because a target must not take the messages of two runs for duplicates.
  run.run = std::random_device()();
  run.start_us = NowUs() + kStartDelayUs;
  Progress progress;
  const Senders senders = MakeSenders(scenario, feeds, run, progress, stop);
  std::atomic<int> running = scenario.threads;
  std::vector<std::thread> threads;
  threads.emplace_back([&] { distributor.Run(); });
  for (const auto& sender : senders) {
    threads.emplace_back([&running, sender = sender.get()] {
      sender->Run();
      --running;
    });
  }
  while (running > 0) {
    if (!stop && options.stop && options.stop()) {
      run.partial = true;
      stop = true;
    }
    std::this_thread::sleep_for(kProgressInterval);
    if (options.progress) options.progress(static_cast<double>(NowUs() - run.start_us) / 1e6, progress);
  }
  stop = true;
  for (std::thread& thread : threads) thread.join();
  distributor.Rethrow();
  run.ended_us = NowUs();
  Collect(senders, run);
  return run;
}

}  // namespace sagetally::loadtest
