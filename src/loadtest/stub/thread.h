// Stand-ins on a thread and loop of their own, beside a run in the same process.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_THREAD_H_
#define SAGETALLY_SRC_LOADTEST_STUB_THREAD_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "loadtest/stub/stub_set.h"

namespace sagetally::loadtest {

class StandInThread {
 public:
  // Returns once they listen. Throws std::runtime_error if they can't.
  explicit StandInThread(const StandInSettings& settings);
  ~StandInThread();
  StandInThread(const StandInThread&) = delete;
  StandInThread& operator=(const StandInThread&) = delete;

  // What doesn't change once they listen.
  std::uint16_t agent_port = 0, registry_port = 0, sink_port = 0, front_port = 0;
  std::vector<Target> targets;
  std::int64_t started_us = 0;

  std::vector<Sighting> Sightings() const;            // so far
  std::size_t planners() const { return planners_; }  // registered now
  // Ends them; afterwards the checker and all else may be read.
  StandIns& Stop();

 private:
  void Run(const StandInSettings& settings);
  std::atomic<bool> stop_ = false, ready_ = false;
  std::atomic<std::size_t> planners_ = 0;
  mutable std::mutex mutex_;
  std::vector<Sighting> sightings_;
  std::string error_;
  std::unique_ptr<EventLoop> loop_;
  std::unique_ptr<StandIns> standins_;
  std::thread thread_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_THREAD_H_
