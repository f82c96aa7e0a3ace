// The operators' interface of a dispatcher: answers status, metrics, pause and resume, and drains the client
// servers while the dispatcher is paused. All on the loop's thread.
#ifndef SAGETALLY_SRC_APP_ADMIN_SERVICE_H_
#define SAGETALLY_SRC_APP_ADMIN_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "admin/metrics.h"
#include "admin/readiness.h"
#include "app/client_servers.h"
#include "base/file_descriptor.h"
#include "logging/logger.h"
#include "net/admin_server.h"
#include "net/event_loop.h"
#include "time/clock.h"

namespace sagetally {

class AdminService {
 public:
  // `gauges`: their present values. All references must outlive this object.
  AdminService(EventLoop& loop, Logger& log, Readiness& readiness, ClientServers& servers,
               const Metrics& metrics, const Clock& clock, std::function<GaugeValues()> gauges);

  // Accepts connections, `max_connections` at once, on a listening socket of `host`.
  void Start(const std::string& host, FileDescriptor listener, std::size_t max_connections);
  // Clients' idle connections are not closed any more because of a pause.
  void CancelDrain() { close_idle_timer_.Stop(); }

  std::uint16_t port() const { return server_ ? server_->port() : 0; }

 private:
  std::string Answer(bool success) const;
  std::string MetricsPage() const;
  // False: the process shuts down, or has handed over.
  bool Pause();
  bool Resume();

  EventLoop& loop_;
  Logger& log_;
  Readiness& readiness_;
  ClientServers& servers_;
  const Metrics& metrics_;
  const Clock& clock_;
  const std::function<GaugeValues()> gauges_;
  Timer close_idle_timer_;
  std::unique_ptr<AdminServer> server_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_ADMIN_SERVICE_H_
