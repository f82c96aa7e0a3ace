#include "loadtest/proxy/fault_proxy.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <stdexcept>

#include "loadtest/proxy/proxy_connection.h"
#include "loadtest/proxy/request_copy.h"

namespace sagetally::loadtest {

std::int64_t ProxyRecord::InjectedCount() const {
  std::int64_t count = 0;
  for (const auto& [fault, times] : injected) count += times;
  return count;
}

void ProxyRecord::Add(const ProxyRecord& other) {
  connections += other.connections;
  requests += other.requests;
  for (const auto& [fault, times] : other.injected) injected[fault] += times;
  requests_before_answer.insert(requests_before_answer.end(), other.requests_before_answer.begin(),
                                other.requests_before_answer.end());
  repeated_elsewhere.insert(repeated_elsewhere.end(), other.repeated_elsewhere.begin(),
                            other.repeated_elsewhere.end());
  answers_without_request.insert(answers_without_request.end(), other.answers_without_request.begin(),
                                 other.answers_without_request.end());
}

FaultProxy::FaultProxy(EventLoop& loop, PathFaults faults, const std::string& name,
                       std::function<std::optional<Address>()> server_address)
    : loop_(loop),
      faults_(std::move(faults)),
      server_address_(std::move(server_address)),
      random_(Stream(faults_.seed, "proxy " + name)),
      removed_(loop),
      finished_copies_(loop) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_.reset(evconnlistener_new_bind(loop_.base(), OnAccepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, SOMAXCONN,
                                          reinterpret_cast<const sockaddr*>(&address), sizeof address));
  if (!listener_) throw std::runtime_error("the fault proxy can't listen on the loopback interface");
  socklen_t size = sizeof address;
  ::getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

FaultProxy::~FaultProxy() {
  for (const auto& [key, connection] : connections_) connection->Close();
}

void FaultProxy::OnAccepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
  auto* proxy = static_cast<FaultProxy*>(self);
  proxy->record_.connections += 1;
  auto connection = std::make_unique<ProxyConnection>(*proxy, socket);
  ProxyConnection* key = connection.get();
  proxy->connections_[key] = std::move(connection);
  key->Start();
}

std::optional<Duration> FaultProxy::Draw(PathFault fault) {
  const auto found = faults_.rates.find(fault);
  if (found == faults_.rates.end()) return std::nullopt;
  using Uniform = boost::random::uniform_real_distribution<double>;
  const PathFaultRate& rate = found->second;
  if (Uniform(0, 1)(random_) >= rate.share) return std::nullopt;
  const double range_ms = rate.max_delay_ms - rate.min_delay_ms;
  const double delay_ms = rate.min_delay_ms + Uniform(0, 1)(random_) * range_ms;
  record_.injected[fault] += 1;
  return Duration(std::llround(delay_ms * 1000));
}

void FaultProxy::RepeatElsewhere(const std::string& request, Duration delay) {
  auto copy = std::make_unique<RequestCopy>(loop_, server_address_, request, [this](RequestCopy& finished) {
    const auto found = copies_.find(&finished);
    finished_copies_.Delete(std::move(found->second));
    copies_.erase(found);
  });
  RequestCopy* key = copy.get();
  copies_[key] = std::move(copy);
  key->SendAfter(delay);
}

void FaultProxy::Remove(ProxyConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  connection.Close();
  removed_.Delete(std::move(found->second));
  connections_.erase(found);
}

}  // namespace sagetally::loadtest
