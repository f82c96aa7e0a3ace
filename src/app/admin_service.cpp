#include "app/admin_service.h"

#include <utility>

namespace sagetally {

AdminService::AdminService(EventLoop& loop, Logger& log, Readiness& readiness, ClientServers& servers,
                           const Metrics& metrics, const Clock& clock, std::function<GaugeValues()> gauges)
    : loop_(loop),
      log_(log),
      readiness_(readiness),
      servers_(servers),
      metrics_(metrics),
      clock_(clock),
      gauges_(std::move(gauges)),
      close_idle_timer_(loop, [this] { servers_.CloseIdleConnections(); }) {}

void AdminService::Start(const std::string& host, FileDescriptor listener, std::size_t max_connections) {
  AdminHandlers handlers;
  handlers.status = [this] { return FormatStatusResponse(readiness_.IsReady()); };
  handlers.pause = [this] { return FormatStatusResponse(Pause()); };
  handlers.resume = [this] { return FormatStatusResponse(Resume()); };
  handlers.metrics = [this] { return FormatMetricsResponse(); };
  server_ = std::make_unique<AdminServer>(loop_, std::move(listener), max_connections, std::move(handlers));
  log_.Info("admin.ready", {{"host", host}, {"port", server_->port()}});
}

std::string AdminService::FormatStatusResponse(bool success) const {
  const std::string status = readiness_.StatusText(gauges_().in_progress, servers_.connections());
  return (success ? "done " : "error ") + status + "\n";
}

std::string AdminService::FormatMetricsResponse() const { return metrics_.FormatStatsd(gauges_()) + "end\n"; }

bool AdminService::Pause() {
  const bool was_closing = readiness_.IsClosingConnections();
  if (!readiness_.Pause(clock_.Now())) return false;
  if (was_closing) return true;
  log_.Info("drain.started", {{"pending", gauges_().in_progress}});
  servers_.SetClosing(true);
  close_idle_timer_.Schedule(Readiness::kIdleCloseDelay);
  return true;
}

bool AdminService::Resume() {
  const bool was_closing = readiness_.IsClosingConnections();
  if (!readiness_.Resume()) return false;
  if (!was_closing) return true;
  close_idle_timer_.Stop();
  servers_.SetClosing(false);
  log_.Info("drain.ended", {{"pending", gauges_().in_progress}});
  return true;
}

}  // namespace sagetally
