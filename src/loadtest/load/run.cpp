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

constexpr std::int64_t kOtherDescriptors = 64;
constexpr auto kFeedAgain = std::chrono::milliseconds(1);
constexpr auto kProgress = std::chrono::milliseconds(100);
constexpr std::int64_t kHeadStartUs = 50'000;  // for threads to start and the plan to be drawn ahead

// Deals the plan out to the senders; the first message goes to the first.
class Drawing {
 public:
  Drawing(const Scenario& scenario, std::vector<std::unique_ptr<Feed>>& feeds, const std::string& record,
          const std::atomic<bool>& stop)
      : scenario_(scenario), feeds_(feeds), stop_(stop), source_(SourceOf(scenario)) {
    if (!record.empty()) writer_ = std::make_unique<TraceWriter>(record, scenario);
  }
  void Run() {
    try {  // guards the other threads: they end, and the error is told on the calling one
      Deal();
    } catch (...) {
      error_ = std::current_exception();
    }
    for (const auto& feed : feeds_) feed->done = true;
  }
  void Rethrow() const {
    if (error_) std::rethrow_exception(error_);
  }

 private:
  void Deal() {
    std::int64_t count = 0;
    while (const auto planned = source_->Next()) {
      if (++count > scenario_.max_messages)
        throw std::runtime_error("the plan holds more than max_messages (" +
                                 std::to_string(scenario_.max_messages) + "): raise it, or offer less");
      if (writer_) writer_->Write(*planned);
      auto& queue = feeds_[static_cast<std::size_t>(planned->number) % feeds_.size()]->queue;
      while (!queue.push(*planned)) {
        if (stop_) return;
        std::this_thread::sleep_for(kFeedAgain);
      }
    }
    if (writer_) writer_->Close();
  }
  const Scenario& scenario_;
  std::vector<std::unique_ptr<Feed>>& feeds_;
  const std::atomic<bool>& stop_;
  std::unique_ptr<Source> source_;
  std::unique_ptr<TraceWriter> writer_;
  std::exception_ptr error_;
};

}  // namespace

void NeedDescriptors(std::int64_t count) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const auto need = static_cast<rlim_t>(count + kOtherDescriptors);
  if (limit.rlim_cur < need && limit.rlim_max >= need) {
    limit.rlim_cur = need;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < need) {
    throw std::runtime_error("connections: " + std::to_string(count) + " need " + std::to_string(need) +
                             " descriptors, and this process may have " + std::to_string(limit.rlim_max) +
                             " (ulimit -n); ask for at most " +
                             std::to_string(static_cast<std::int64_t>(limit.rlim_max) - kOtherDescriptors) +
                             " connections or raise the limit");
  }
}

std::unique_ptr<Source> SourceOf(const Scenario& scenario) {
  if (!scenario.trace.empty()) return std::make_unique<TraceReader>(scenario.trace, scenario);
  return std::make_unique<Plan>(scenario);
}

RunRecords RunLoad(const Scenario& scenario, const RunOptions& options) {
  NeedDescriptors(scenario.connections);
  if (scenario.connections < scenario.threads)
    throw std::runtime_error("connections: expected at least one for each of the threads");
  std::atomic<bool> stop = false;
  std::vector<std::unique_ptr<Feed>> feeds;
  for (int i = 0; i < scenario.threads; ++i) feeds.push_back(std::make_unique<Feed>());
  Drawing drawing(scenario, feeds, options.record, stop);
  RunRecords run;
  run.run = std::random_device()();  // two runs of one seed must not be taken for one at the target
  run.start_us = NowUs() + kHeadStartUs;
  Progress progress;
  std::vector<std::unique_ptr<Sender>> senders;
  for (int i = 0; i < scenario.threads; ++i) {
    const int connections =
        scenario.connections / scenario.threads + (i < scenario.connections % scenario.threads);
    senders.push_back(std::make_unique<Sender>(scenario, connections, *feeds[static_cast<std::size_t>(i)],
                                               run.run, run.start_us, progress, stop));
  }
  std::atomic<int> running = scenario.threads;
  std::vector<std::thread> threads;
  threads.emplace_back([&] { drawing.Run(); });
  for (const auto& sender : senders) {
    threads.emplace_back([&, s = sender.get()] {
      s->Run();
      --running;
    });
  }
  while (running > 0) {
    if (!stop && options.stop && options.stop()) {
      run.partial = true;
      stop = true;
    }
    std::this_thread::sleep_for(kProgress);
    if (options.progress) options.progress(static_cast<double>(NowUs() - run.start_us) / 1e6, progress);
  }
  stop = true;
  for (std::thread& thread : threads) thread.join();
  drawing.Rethrow();
  run.over_us = NowUs();
  for (const auto& sender : senders) {
    run.records.insert(run.records.end(), sender->records().begin(), sender->records().end());
    run.threads.push_back(sender->self());
    run.connections_opened += sender->connections_opened();
    run.waits_for_plan += sender->waits_for_plan();
  }
  return run;
}

}  // namespace sagetally::loadtest
