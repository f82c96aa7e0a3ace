// Owns the HTTP servers on which clients submit messages, each with its frontend. One server speaks the
// platform's protocol; a planner does not have it. The other one accepts CloudEvents; it exists if the
// operator's file configures it. Owned by the Dispatcher; used on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_CLIENT_SERVERS_H_
#define SAGETALLY_SRC_APP_CLIENT_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "admin/readiness.h"
#include "app/handover_predecessor.h"
#include "app/handover_successor.h"
#include "app/request_log.h"
#include "config/config.h"
#include "config/node_file.h"
#include "frontend/cloudevents/cloudevents_frontend.h"
#include "frontend/platform/platform_frontend.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "pipeline/request_validator.h"

namespace sagetally {

// The servers for clients of one dispatcher.
class ClientServers {
 public:
  // All references must outlive this object.
  ClientServers(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file,
                RequestValidator& validator, const Readiness& readiness, ClientMemory& memory);

  // Starts to listen. Listeners that `received` holds are used if they are bound to the configured addresses;
  // `received` may be null. Throws std::runtime_error if it can't listen.
  void Start(ReceivedHandover* received);
  // Continues to serve the client connections received from the predecessor. Those of a server that this
  // process does not have are dropped.
  void AdoptClients(ReceivedHandover& received);

  // The ports of the platform's server and of the CloudEvents server; 0 if there is no such server.
  std::uint16_t port() const { return platform_server_ ? platform_server_->port() : 0; }
  std::uint16_t cloudevents_port() const { return cloudevents_server_ ? cloudevents_server_->port() : 0; }
  // The number of open client connections, first of the platform's server alone, then of all servers.
  std::size_t platform_connections() const {
    return platform_server_ ? platform_server_->connection_count() : 0;
  }
  std::size_t connections() const;

  // These do on all servers what the functions of HttpServer with the same names do.
  std::size_t CountOpenRequests() const;
  std::size_t CountUnreadResponses() const;
  void PauseReading();
  void ResumeReading();
  // Sets whether each response from now on is the last one on its connection.
  void SetClosing(bool closing);
  // Closes idle connections, and makes each response from now on the last one on its connection.
  void CloseIdleConnections();
  // Does the same as CloseIdleConnections(), and also closes connections on which no byte of a request has
  // arrived.
  void CloseUnusedConnections();
  // Stops listening, and does the same as CloseIdleConnections().
  void StopListening();
  // Sets a callback that runs when a connection is closed to make room, with the reason as the log names it.
  void SetOnEvicted(std::function<void(const std::string& reason)> on_evicted) {
    request_log_.on_evicted = std::move(on_evicted);
  }
  // Sets a callback that runs after each connection that is closed.
  void SetOnClosed(const std::function<void()>& on_closed);

  // Adds to `offer` the listeners and the client connections that another process can continue to serve.
  void AddToOffer(HandoverOffer& offer) const;
  // Closes this process's descriptors of the listeners and clients that AddToOffer() has added. Called once
  // the successor serves them.
  void ReleaseTransferred();

 private:
  std::vector<HttpServer*> Servers() const;

  EventLoop& loop_;
  Logger& log_;
  const Config& config_;
  const NodeFile& node_file_;
  RequestLog request_log_;
  ClientMemory& memory_;
  PlatformFrontend platform_frontend_;
  CloudEventsFrontend cloudevents_frontend_;
  std::unique_ptr<HttpServer> platform_server_;
  std::unique_ptr<HttpServer> cloudevents_server_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_CLIENT_SERVERS_H_
