// Logs what happens to single requests: on which connection a request was read, the response to it, each
// attempt with its outcome, the final status of a message that was not delivered, and why a connection was
// closed. Normal events are logged at the level "debug", and those that an engineer on call looks for at
// "info". Used by Dispatcher and ClientServers on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_REQUEST_LOG_H_
#define SAGETALLY_SRC_APP_REQUEST_LOG_H_

#include <functional>
#include <string>

#include "core/message_table.h"
#include "logging/logger.h"
#include "net/endpoint_pool.h"
#include "net/http_server.h"

namespace sagetally {

// Writes the log lines about requests.
class RequestLog {
 public:
  // `log` must outlive this object.
  explicit RequestLog(Logger& log) : log_(log) {}

  // Sets the callbacks of `server` so that its responses and the ends of its connections are logged. This
  // object must outlive `server`.
  void Observe(HttpServer& server);
  // Logs a request that a server has read.
  void OnRequest(const Exchange& exchange);
  // Logs an attempt to deliver `message`, with the call that makes it.
  void OnAttemptStarted(const Message& message, const CallRequest& call);
  // Logs the outcome of the last attempt to deliver `message`.
  void OnAttemptCompleted(const Message& message, const CallResult& result);
  // Logs a response that may be a repeat of an earlier one, and is verified before it counts.
  void OnProvisionalResult(const Message& message, const CallResult& result);
  // Sets the callbacks of `pool` so that the ends of its connections are logged, and what came on them that
  // no call asked for. `messages` is where the calls' messages are found. Both must outlive this object's
  // use. Each unexpected response is passed to `on_unexpected_response` too.
  void Observe(EndpointPool& pool, MessageTable& messages, std::function<void()> on_unexpected_response);
  // Logs that `message` has completed without being delivered.
  void OnUndelivered(const Message& message);
  // Called with the reason, as the log names it, when a client's connection was closed to make room. May be
  // empty.
  std::function<void(const std::string& reason)> on_evicted;

 private:
  void OnResponse(const Exchange& exchange, int status, const std::string& body);
  void LogRepeat(const Exchange& exchange, bool is_answered);
  void OnRequestRejected(std::uint64_t connection_number, int status, bool is_answered);
  void OnConnectionClosed(const HttpServer::ClosedConnection& closed);
  void OnUnexpectedResponse(const UnexpectedResponse& response, const Message* message);
  void OnEndpointConnectionClosed(const ClosedEndpointConnection& closed);

  Logger& log_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_REQUEST_LOG_H_
