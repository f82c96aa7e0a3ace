// Runs a set of stub servers on a thread and event loop of its own, while the load generator runs in the same
// process.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_THREAD_H_
#define SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_THREAD_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "loadtest/stub/stub_server_set.h"

namespace sagetally::loadtest {

class StubServerThread {
 public:
  // Returns once the servers listen. Throws std::runtime_error if they can't.
  explicit StubServerThread(const StubServerSettings& settings);
  ~StubServerThread();
  StubServerThread(const StubServerThread&) = delete;
  StubServerThread& operator=(const StubServerThread&) = delete;

  // Constant after the constructor has returned. The port of a server that was not started is 0.
  std::uint16_t agent_port = 0;
  std::uint16_t registry_port = 0;
  std::uint16_t sink_port = 0;
  std::uint16_t frontend_port = 0;
  std::vector<ListedEndpoint> endpoints;
  std::int64_t started_us = 0;  // the timeline's time 0, in microseconds of the monotonic clock

  // Both functions may be called from any thread while the servers run.
  std::vector<Observation> Observations() const;      // all observations so far
  std::size_t planners() const { return planners_; }  // planners registered in the service registry now

  // Stops the event loop and joins its thread. Afterwards the returned set may be read on the calling thread.
  StubServerSet& Stop();

 private:
  void Run(const StubServerSettings& settings);
  void PublishAddresses();

  std::atomic<bool> stop_ = false;
  std::atomic<bool> ready_ = false;
  std::atomic<std::size_t> planners_ = 0;
  mutable std::mutex mutex_;
  std::vector<Observation> observations_;  // guarded by mutex_
  std::string error_;                      // why the servers could not start; written before ready_ is set
  std::unique_ptr<EventLoop> loop_;
  std::unique_ptr<StubServerSet> stubs_;
  std::thread thread_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_THREAD_H_
