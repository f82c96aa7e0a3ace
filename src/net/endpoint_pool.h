// Calls to endpoints over persistent connections: one call at a time on each, none sent twice.
//
// evhttp of libevent 2.1 can't serve here: it reports nothing of a response whose status line says 200 and
// whose rest is malformed, takes any 1xx but 100 for the response, and reads what follows one response as the
// next.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_POOL_H_
#define SAGETALLY_SRC_NET_ENDPOINT_POOL_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ports.h"
#include "net/deferred_deleter.h"
#include "net/endpoint_call_codec.h"
#include "net/endpoint_connection.h"
#include "net/event_loop.h"

namespace sagetally {

// All on the event loop's thread. Results are reported from the loop, never from within a member function.
class EndpointPool : public EndpointClient, private EndpointConnection::Owner {
 public:
  struct Limits {
    Duration connect_timeout{0};
    Duration idle_timeout{0};  // the endpoint's machine closes idle connections after this
    int max_connections_per_endpoint = 1;
    std::size_t max_connections = 64;  // each takes a descriptor
  };

  // `on_result` is called once for each StartCall().
  EndpointPool(EventLoop& loop, Limits limits, std::function<void(const CallResult&)> on_result);
  ~EndpointPool() override;

  // The result is kConnectFailed if the endpoint is unknown, the message already has a call in flight, or all
  // connections are busy.
  void StartCall(const CallRequest& call) override;
  // Gives a call up as kCancelled, or kConnectFailed if it was not written.
  void CancelCall(std::uint64_t number) override;
  // Ends a call whose last byte was not written as kNotSent; leaves others alone.
  void CancelCallIfUnsent(std::uint64_t number) override;
  void CloseIdleConnections(const std::string& endpoint) override;
  // Adds or changes an endpoint. Throws std::runtime_error if its address is malformed. Calls in flight stay
  // where they are when it moves; unsent ones end as kNotSent unless it is up.
  void UpdateEndpoint(const EndpointUpdate& update) override;
  void RemoveEndpoint(const std::string& endpoint) override;
  // The last byte of a call was written; may be empty.
  std::function<void()> on_call_written;
  // No calls come any more: connections close as soon as they are idle.
  void Shutdown();
  // No result is owed.
  bool is_idle() const {
    return connections_by_message_.empty() && immediate_results_.empty() && settling_results_.empty();
  }
  std::size_t endpoint_count() const { return endpoints_.size(); }

 private:
  struct SettlingResult {
    std::chrono::steady_clock::time_point report_at;
    CallResult result;
  };

  void OnCallWritten() override;
  void OnCallFinished(EndpointConnection& connection, const CallResult& result,
                      EndpointConnection::CallEnd end) override;
  void OnUnusable(EndpointConnection& connection) override { CloseConnection(connection); }

  EndpointConnection* OpenConnection(PooledEndpoint& endpoint);
  EndpointConnection* TakeIdleConnection(PooledEndpoint& endpoint);
  bool HasCapacity(const PooledEndpoint& endpoint);
  bool MakeCapacity();
  void CancelUnsentCallsTo(const PooledEndpoint& endpoint);
  void ReportSoon(const CallResult& result);
  void ReportSettled(const CallResult& result);
  void ReportImmediateResults();
  void ReportSettledResults();
  void CloseConnection(EndpointConnection& connection);

  EventLoop& loop_;
  const Limits limits_;
  std::function<void(const CallResult&)> on_result_;
  std::map<std::string, PooledEndpoint> endpoints_;
  std::map<EndpointConnection*, std::unique_ptr<EndpointConnection>> connections_;
  std::map<std::uint64_t, EndpointConnection*> connections_by_message_;  // by number, of calls in flight
  std::vector<CallResult> immediate_results_;
  std::deque<SettlingResult> settling_results_;  // the earliest first
  bool is_shutting_down_ = false;
  Timer immediate_timer_;
  Timer settling_timer_;
  DeferredDeleter<EndpointConnection> closed_connections_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_POOL_H_
