#include "app/request_log.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

#include "dead_letter/wire_names.h"

namespace sagetally {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr std::size_t kMaxReasonBytes = 80;

// Returns the request's id from X-Request-Id, the header of the platform's protocol, or else from the one of
// CloudEvents.
std::string RequestId(const Exchange& exchange) {
  std::string id = exchange.Header("X-Request-Id");
  return id.empty() ? exchange.Header("ce-id") : id;
}

const char* CloseReasonName(HttpServer::CloseReason reason) {
  using Reason = HttpServer::CloseReason;
  switch (reason) {
    case Reason::kEndedByClient:
      return "ended_by_client";
    case Reason::kFailed:
      return "failed";
    case Reason::kEvicted:
      return "evicted";
    case Reason::kEvictedInRequest:
      return "evicted_in_request";
    case Reason::kEvictedForMemory:
      return "evicted_for_memory";
    case Reason::kResponseRead:
      return "response_read";
    case Reason::kTooMuchInput:
      return "too_much_input";
    case Reason::kResponseNotRead:
      return "response_not_read";
    case Reason::kTransferred:
      return "transferred";
    case Reason::kServerStopped:
      break;
  }
  return "server_stopped";
}

const char* CloseReasonName(EndpointCloseReason reason) {
  switch (reason) {
    case EndpointCloseReason::kUnexpectedResponse:
      return "unexpected_response";
    case EndpointCloseReason::kNotReusable:
      return "not_reusable";
    case EndpointCloseReason::kEndedByEndpoint:
      return "ended_by_endpoint";
    case EndpointCloseReason::kIdleTimeout:
      return "idle_timeout";
    case EndpointCloseReason::kEvicted:
      return "evicted";
    case EndpointCloseReason::kEndpointChanged:
      return "endpoint_changed";
    case EndpointCloseReason::kShutdown:
      break;
  }
  return "shutdown";
}

// Returns whether a connection was closed in a normal way: by its client, after its last response, or by its
// transfer to another process, and in each case without an unanswered request or an unwritten response.
bool IsNormalClose(const HttpServer::ClosedConnection& closed) {
  using Reason = HttpServer::CloseReason;
  const bool is_expected = closed.reason == Reason::kEndedByClient ||
                           closed.reason == Reason::kResponseRead || closed.reason == Reason::kTransferred;
  return is_expected && !closed.has_open_request && closed.unwritten_bytes == 0;
}

bool IsEviction(HttpServer::CloseReason reason) {
  using Reason = HttpServer::CloseReason;
  return reason == Reason::kEvicted || reason == Reason::kEvictedInRequest ||
         reason == Reason::kEvictedForMemory;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

void RequestLog::Observe(HttpServer& server) {
  server.on_responded = [this](const Exchange& exchange, int status, const std::string& body) {
    OnResponse(exchange, status, body);
  };
  server.on_connection_closed = [this](const HttpServer::ClosedConnection& closed) {
    OnConnectionClosed(closed);
  };
  server.on_request_dropped = [this](const Exchange& exchange) { LogRepeat(exchange, false); };
  server.on_request_rejected = [this](std::uint64_t connection_number, int status, bool is_answered) {
    OnRequestRejected(connection_number, status, is_answered);
  };
  server.on_connection_refused = [this] { log_.Info("client.refused", {{"reason", "no_place"}}); };
}

void RequestLog::Observe(EndpointPool& pool, MessageTable& messages,
                         std::function<void()> on_unexpected_response) {
  pool.on_unexpected_response = [this, &messages, on_unexpected_response = std::move(on_unexpected_response)](
                                    const UnexpectedResponse& response) {
    OnUnexpectedResponse(response, messages.Find(response.message_number));
    on_unexpected_response();
  };
  pool.on_connection_closed = [this](const ClosedEndpointConnection& closed) {
    OnEndpointConnectionClosed(closed);
  };
}

void RequestLog::OnUnexpectedResponse(const UnexpectedResponse& response, const Message* message) {
  log_.Warn("endpoint.unexpected_response", {{"id", message == nullptr ? "" : message->request.id},
                                             {"number", response.message_number},
                                             {"address", response.endpoint_address},
                                             {"connection", response.connection_number},
                                             {"since_call_ms", ToMilliseconds(response.since_call)},
                                             {"during_call", response.is_during_call}});
}

void RequestLog::OnEndpointConnectionClosed(const ClosedEndpointConnection& closed) {
  if (!log_.IsEnabled(LogLevel::kDebug)) return;
  log_.Write(LogLevel::kDebug, "endpoint.closed",
             {{"connection", closed.number},
              {"address", closed.endpoint_address},
              {"reason", CloseReasonName(closed.reason)},
              {"calls", closed.call_count}});
}

void RequestLog::OnRequest(const Exchange& exchange) {
  if (!log_.IsEnabled(LogLevel::kDebug)) return;
  log_.Write(LogLevel::kDebug, "request.received",
             {{"id", RequestId(exchange)},
              {"connection", exchange.connection_number()},
              {"path", exchange.path()},
              {"bytes", exchange.body().size()}});
}

void RequestLog::OnResponse(const Exchange& exchange, int status, const std::string& body) {
  if (exchange.is_repeated()) LogRepeat(exchange, true);
  const bool is_error = status >= kFirstErrorStatus;
  const LogLevel level = is_error ? LogLevel::kInfo : LogLevel::kDebug;
  if (!log_.IsEnabled(level)) return;
  const std::string reason = body.substr(0, std::min(body.find('\n'), kMaxReasonBytes));
  log_.Write(level, is_error ? "request.refused" : "request.answered",
             {{"id", RequestId(exchange)},
              {"connection", exchange.connection_number()},
              {"status", status},
              {"reason", reason}});
}

void RequestLog::LogRepeat(const Exchange& exchange, bool is_answered) {
  log_.Info(
      "request.repeated",
      {{"id", RequestId(exchange)}, {"connection", exchange.connection_number()}, {"answered", is_answered}});
}

void RequestLog::OnRequestRejected(std::uint64_t connection_number, int status, bool is_answered) {
  log_.Info("request.unreadable",
            {{"connection", connection_number}, {"status", status}, {"answered", is_answered}});
}

void RequestLog::OnConnectionClosed(const HttpServer::ClosedConnection& closed) {
  if (IsEviction(closed.reason) && on_evicted) on_evicted(CloseReasonName(closed.reason));
  const LogLevel level = IsNormalClose(closed) ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.IsEnabled(level)) return;
  log_.Write(level, "client.closed",
             {{"connection", closed.number},
              {"reason", CloseReasonName(closed.reason)},
              {"error", closed.error_number == 0 ? "" : std::strerror(closed.error_number)},
              {"requests", closed.request_count},
              {"unanswered", closed.has_open_request},
              {"unwritten", closed.unwritten_bytes},
              {"unparsed", closed.unparsed_bytes},
              {"held", closed.held_bytes}});
}

void RequestLog::OnAttemptStarted(const Message& message, const CallRequest& call) {
  if (!log_.IsEnabled(LogLevel::kDebug)) return;
  log_.Write(LogLevel::kDebug, "attempt.started",
             {{"id", message.request.id},
              {"attempt", message.attempts},
              {"endpoint", call.endpoint},
              {"timeout_ms", ToMilliseconds(call.timeout)}});
}

void RequestLog::OnAttemptCompleted(const Message& message, const CallResult& result) {
  const LogLevel level = result.outcome == Outcome::kOk ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.IsEnabled(level)) return;
  log_.Write(level, "attempt.completed",
             {{"id", message.request.id},
              {"attempt", message.attempts},
              {"endpoint", message.in_flight_endpoint},
              {"connection", result.connection_number},
              {"outcome", std::string(dead_letter::Name(result.outcome))},
              {"revoked", message.is_delivery_unconfirmed && result.outcome != Outcome::kOk},
              {"retry_after_ms", ToMilliseconds(result.retry_after)}});
}

void RequestLog::OnProvisionalResult(const Message& message, const CallResult& result) {
  const LogLevel level = result.outcome == Outcome::kOk ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.IsEnabled(level)) return;
  log_.Write(level, "attempt.verifying",
             {{"id", message.request.id},
              {"attempt", message.attempts},
              {"endpoint", message.in_flight_endpoint},
              {"connection", result.connection_number},
              {"outcome", std::string(dead_letter::Name(result.outcome))}});
}

void RequestLog::OnUndelivered(const Message& message) {
  log_.Info("message.undelivered", {{"id", message.request.id},
                                    {"status", std::string(dead_letter::Name(message.final_status))},
                                    {"attempts", message.attempts}});
}

}  // namespace sagetally
