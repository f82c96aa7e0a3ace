// Serves the operators' requests of a dispatcher (status, metrics, pause and resume) on its admin server, and
// drains the client servers while the dispatcher is paused. Owned by the Dispatcher; used on the event loop's
// thread only.
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

// The admin server of one dispatcher together with its request handlers.
class AdminService {
 public:
  // `gauges` returns the current values of the gauges. All references must outlive this object.
  AdminService(EventLoop& loop, Logger& log, Readiness& readiness, ClientServers& servers,
               const Metrics& metrics, const Clock& clock, std::function<GaugeValues()> gauges);

  // Starts to accept connections on `listener`, a listening socket at the address `host`, at most
  // `max_connections` at once.
  void Start(const std::string& host, FileDescriptor listener, std::size_t max_connections);
  // Cancels the closing of clients' idle connections that a pause has scheduled.
  void CancelDrain() { close_idle_timer_.Stop(); }

  // The port of the admin server; 0 before Start().
  std::uint16_t port() const { return server_ ? server_->port() : 0; }

 private:
  std::string FormatStatusResponse(bool success) const;
  std::string FormatMetricsResponse() const;
  // Both return false if the process is shutting down or has handed over to its successor.
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
