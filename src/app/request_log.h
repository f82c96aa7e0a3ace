// Logs what happens to single requests: on which connection a request was read, the response to it, each
// attempt with its outcome, the final status of a message that was not delivered, and why a connection was
// closed. Normal events are logged at the level "debug", and those that an engineer on call looks for at
// "info". Used by Dispatcher and ClientServers on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_REQUEST_LOG_H_
#define SAGETALLY_SRC_APP_REQUEST_LOG_H_

#include <string>

#include "core/message.h"
#include "logging/logger.h"
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
  // Logs that `message` has completed without being delivered.
  void OnUndelivered(const Message& message);

 private:
  void OnResponse(const Exchange& exchange, int status, const std::string& body);
  void OnConnectionClosed(const HttpServer::ClosedConnection& closed);

  Logger& log_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_REQUEST_LOG_H_
