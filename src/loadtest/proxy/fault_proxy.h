// A TCP proxy that injects faults into the HTTP messages between a client and a server, and records which
// answers it has passed on. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_FAULT_PROXY_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_FAULT_PROXY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "loadtest/proxy/path_faults.h"
#include "loadtest/random.h"
#include "net/deferred_deleter.h"
#include "net/event_loop.h"

namespace sagetally::loadtest {

class ProxyConnection;
class RequestCopy;

// What a proxy has seen and done.
struct ProxyRecord {
  std::int64_t connections = 0;
  std::int64_t requests = 0;
  std::map<PathFault, std::int64_t> injected;  // how often each fault has occurred
  // The X-Request-Id of each request that was written on a connection while the server's answer to an earlier
  // request on it had not been passed on yet.
  std::vector<std::string> requests_before_answer;
  // The X-Request-Id of the latest request on a connection, for each answer that the server wrote after it
  // had answered every request that the client has sent.
  std::vector<std::string> answers_without_request;
  // The X-Request-Id of each request of which a copy was sent on a connection of its own.
  std::vector<std::string> repeated_elsewhere;

  std::int64_t InjectedCount() const;
  // Adds the record of another proxy.
  void Add(const ProxyRecord& other);
};

class FaultProxy {
 public:
  // Listens on a free port of the loopback interface. `server_address` is called for each connection and
  // returns where to connect, or nothing if the connection is to be reset. `name` tells the random numbers of
  // proxies with equal seeds apart. Throws std::runtime_error if it can't listen.
  FaultProxy(EventLoop& loop, PathFaults faults, const std::string& name,
             std::function<std::optional<Address>()> server_address);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::uint16_t port() const { return port_; }
  const ProxyRecord& record() const { return record_; }

 private:
  friend class ProxyConnection;
  static void OnAccepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  // Draws whether the fault occurs now, and records it. Returns its delay, or nothing.
  std::optional<Duration> Draw(PathFault fault);
  void Remove(ProxyConnection& connection);
  // Sends `request` to the server on a connection of its own after `delay`.
  void RepeatElsewhere(const std::string& request, Duration delay);

  EventLoop& loop_;
  const PathFaults faults_;
  const std::function<std::optional<Address>()> server_address_;
  Random random_;
  ProxyRecord record_;
  EventListenerPtr listener_;
  std::uint16_t port_ = 0;
  std::map<ProxyConnection*, std::unique_ptr<ProxyConnection>> connections_;
  DeferredDeleter<ProxyConnection> removed_;
  std::map<RequestCopy*, std::unique_ptr<RequestCopy>> copies_;  // not finished yet
  DeferredDeleter<RequestCopy> finished_copies_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_FAULT_PROXY_H_
