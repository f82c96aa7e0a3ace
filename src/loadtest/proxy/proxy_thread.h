// Runs fault proxies on a thread of their own, in front of servers whose ports change.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_PROXY_THREAD_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_PROXY_THREAD_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "loadtest/proxy/fault_proxy.h"

namespace sagetally::loadtest {

class ProxyThread {
 public:
  // Starts one proxy for each server. Each of `server_ports` is the current port of a server on the loopback
  // interface, or 0 while it is down, and must outlive the thread. Throws std::runtime_error if a proxy can't
  // listen.
  ProxyThread(const PathFaults& faults, const std::vector<const std::atomic<std::uint16_t>*>& server_ports);
  ~ProxyThread();
  ProxyThread(const ProxyThread&) = delete;
  ProxyThread& operator=(const ProxyThread&) = delete;

  // The ports of the proxies, in the order of the servers.
  const std::atomic<std::uint16_t>& port(std::size_t server) const { return ports_.at(server); }
  // Ends the thread and returns what all proxies have recorded. To be called once.
  ProxyRecord Stop();

 private:
  EventLoop loop_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  std::vector<std::atomic<std::uint16_t>> ports_;
  std::atomic<bool> stop_ = false;
  std::unique_ptr<Timer> poll_timer_;
  std::thread thread_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_PROXY_THREAD_H_
