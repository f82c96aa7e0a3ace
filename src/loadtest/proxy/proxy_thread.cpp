#include "loadtest/proxy/proxy_thread.h"

#include <chrono>
#include <string>

namespace sagetally::loadtest {
namespace {

constexpr const char* kLoopbackHost = "127.0.0.1";
// The interval at which the thread checks for Stop().
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

}  // namespace

ProxyThread::ProxyThread(const PathFaults& faults,
                         const std::vector<const std::atomic<std::uint16_t>*>& server_ports)
    : ports_(server_ports.size()) {
  for (std::size_t i = 0; i < server_ports.size(); ++i) {
    const auto server_address = [port = server_ports[i]]() -> std::optional<Address> {
      const std::uint16_t current = *port;
      if (current == 0) return std::nullopt;
      return Address{kLoopbackHost, current};
    };
    proxies_.push_back(
        std::make_unique<FaultProxy>(loop_, faults, "server " + std::to_string(i), server_address));
    ports_[i] = proxies_.back()->port();
  }
  poll_timer_ = std::make_unique<Timer>(loop_, [this] {
    if (stop_) return loop_.Break();
    poll_timer_->Schedule(kPollInterval);
  });
  poll_timer_->Schedule(kPollInterval);
  thread_ = std::thread([this] { loop_.Run(); });
}

ProxyThread::~ProxyThread() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
}

ProxyRecord ProxyThread::Stop() {
  stop_ = true;
  thread_.join();
  ProxyRecord record;
  for (const auto& proxy : proxies_) record.Add(proxy->record());
  return record;
}

}  // namespace sagetally::loadtest
