// Makes calls to endpoints over persistent connections. Each connection carries one call at a time, and no
// call is sent twice.
//
// The pool does not use libevent 2.1's evhttp for three reasons. evhttp reports nothing about a response
// whose status line says 200 and whose rest is malformed. It takes any 1xx response but 100 for the final
// one. It reads bytes that follow a response as the response to the next request.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_POOL_H_
#define SAGETALLY_SRC_NET_ENDPOINT_POOL_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ports.h"
#include "net/deferred_deleter.h"
#include "net/endpoint_call_codec.h"
#include "net/endpoint_connection.h"
#include "net/event_loop.h"

namespace sagetally {

// Why a connection to an endpoint was closed.
enum class EndpointCloseReason {
  kUnexpectedResponse,  // a response came that no call asked for
  kNotReusable,         // after its call, which ended without a whole response or with one that says so
  kEndedByEndpoint,     // the endpoint closed or reset it between two calls
  kIdleTimeout,
  kEvicted,          // gave way to a new connection
  kEndpointChanged,  // the endpoint has another address, drains or was removed
  kShutdown
};

// A connection that is about to be closed.
struct ClosedEndpointConnection {
  std::uint64_t number = 0;
  std::string endpoint_address;
  EndpointCloseReason reason = EndpointCloseReason::kNotReusable;
  std::uint64_t call_count = 0;  // calls that were written on it
};

// Owns the connections to all endpoints. Used on the event loop's thread only. Results are reported in a
// later callback of the loop, never within a call of a member function.
class EndpointPool : public EndpointClient, private EndpointConnection::Owner {
 public:
  struct Limits {
    Duration connect_timeout{0};
    Duration idle_timeout{0};  // after this time the endpoint's machine closes an idle connection
    int max_connections_per_endpoint = 1;
    std::size_t max_connections = 64;  // of all endpoints; each takes a file descriptor
  };

  // `on_result` is called once for each StartCall(), with the call's result.
  EndpointPool(EventLoop& loop, Limits limits, std::function<void(const CallResult&)> on_result);
  ~EndpointPool() override;

  // Starts a call. The result is kConnectFailed if the endpoint is unknown, the message already has a call in
  // flight, or all connections are busy.
  void StartCall(const CallRequest& call) override;
  // Gives up the call of the message with this number. The result is kCancelled, or kConnectFailed if the
  // call was not written completely.
  void CancelCall(std::uint64_t number) override;
  // Ends the call of the message with this number with the result kNotSent if its last byte was not written.
  // Does nothing otherwise.
  void CancelCallIfUnsent(std::uint64_t number) override;
  // Closes the connections to an endpoint that carry no call.
  void CloseIdleConnections(const std::string& endpoint) override;
  // Adds or changes an endpoint. When its address changes, idle connections to the old address are closed,
  // and calls in flight stay on theirs. When its state is not up, calls that were not written completely end
  // with the result kNotSent. Throws std::runtime_error if the address is malformed.
  void UpdateEndpoint(const EndpointUpdate& update) override;
  // Removes an endpoint. Calls to it that were not written completely end with the result kNotSent; the
  // others go on.
  void RemoveEndpoint(const std::string& endpoint) override;
  // Called when the last byte of a call was written. May be empty.
  std::function<void()> on_call_written;
  // The following are called when a response may be a repeat, so that its result is not final, when an
  // endpoint has sent a response that no call asked for, and before a connection is closed. Each may be
  // empty.
  std::function<void(const CallResult&)> on_provisional_result;
  std::function<void(const UnexpectedResponse&)> on_unexpected_response;
  std::function<void(const ClosedEndpointConnection&)> on_connection_closed;
  // Closes idle connections now, and the others as soon as their calls are finished. To be called when no
  // further calls are expected.
  void Shutdown();
  // Returns whether every call that was started has been reported.
  bool is_idle() const {
    return connections_by_message_.empty() && unconfirmed_messages_.empty() && immediate_results_.empty() &&
           delayed_results_.empty();
  }
  // The number of known endpoints, including removed ones with open connections.
  std::size_t endpoint_count() const { return endpoints_.size(); }

 private:
  struct DelayedResult {
    std::chrono::steady_clock::time_point report_at;
    CallResult result;
  };

  void OnCallWritten() override;
  void OnCallFinished(EndpointConnection& connection, const CallResult& result,
                      EndpointConnection::CallCompletion completion) override;
  void OnUnexpectedResponse(EndpointConnection& connection, const UnexpectedResponse& response) override;
  void OnVerificationStarted(const CallResult& result) override {
    provisional_results_.push_back(result);
    immediate_timer_.Schedule(Duration(0));
  }
  void OnCallUnconfirmed(EndpointConnection& connection, const CallResult& result, bool is_reusable) override;
  void OnUnconfirmedCallFinished(const CallResult& result) override;
  void OnDraining(EndpointConnection& connection) override { Drain(connection); }
  void OnUnusable(EndpointConnection& connection) override {
    CloseConnection(connection, ReasonWhyUnusable(connection));
  }

  EndpointConnection* OpenConnection(PooledEndpoint& endpoint);
  EndpointConnection* TakeIdleConnection(PooledEndpoint& endpoint);
  static void Drain(EndpointConnection& connection);
  void CloseOrDrain(EndpointConnection& connection, EndpointCloseReason reason);
  bool EnsureEndpointSlot(PooledEndpoint& endpoint);
  bool EnsureConnectionSlot();
  void CancelUnsentCallsTo(const PooledEndpoint& endpoint);
  void ReportSoon(const CallResult& result);
  void ReportDelayed(const CallResult& result);
  void ReportImmediateResults();
  void ReportDelayedResults();
  static EndpointCloseReason ReasonWhyUnusable(EndpointConnection& connection);
  void CloseIdleConnections(const PooledEndpoint& endpoint, EndpointCloseReason reason);
  void CloseConnection(EndpointConnection& connection, EndpointCloseReason reason);

  EventLoop& loop_;
  const Limits limits_;
  std::function<void(const CallResult&)> on_result_;
  std::map<std::string, PooledEndpoint> endpoints_;
  std::map<EndpointConnection*, std::unique_ptr<EndpointConnection>> connections_;
  std::map<std::uint64_t, EndpointConnection*>
      connections_by_message_;                    // of calls in flight, by message number
  std::set<std::uint64_t> unconfirmed_messages_;  // whose call has ended, but not with its final result
  std::vector<CallResult> immediate_results_;
  std::vector<CallResult> provisional_results_;
  std::deque<DelayedResult> delayed_results_;  // in the order of report_at
  EndpointTrust trust_;                        // in all endpoints together
  std::uint64_t opened_connection_count_ = 0;
  bool is_shutting_down_ = false;
  Timer immediate_timer_;
  Timer delayed_timer_;
  DeferredDeleter<EndpointConnection> closed_connections_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_POOL_H_
