#include "net/endpoint_pool.h"

#include <algorithm>
#include <utility>

#include "config/config.h"
#include "net/socket_address.h"

namespace sagetally {

namespace {

EndpointCloseReason ReasonAfterCall(const EndpointConnection& connection) {
  return connection.state() == ResponseTracker::State::kDesynchronized
             ? EndpointCloseReason::kUnexpectedResponse
             : EndpointCloseReason::kNotReusable;
}

}  // namespace

EndpointPool::EndpointPool(EventLoop& loop, Limits limits, std::function<void(const CallResult&)> on_result)
    : loop_(loop),
      limits_(limits),
      on_result_(std::move(on_result)),
      immediate_timer_(loop, [this] { ReportImmediateResults(); }),
      delayed_timer_(loop, [this] { ReportDelayedResults(); }),
      closed_connections_(loop) {}

EndpointPool::~EndpointPool() = default;

void EndpointPool::UpdateEndpoint(const EndpointUpdate& update) {
  PooledEndpoint& endpoint = endpoints_[update.record.endpoint];
  endpoint.is_removed = false;
  if (update.record.state != EndpointRecord::State::kUp) CancelUnsentCallsTo(endpoint);
  if (endpoint.address_text == update.address) return;
  CloseIdleConnections(update.record.endpoint);
  CancelUnsentCallsTo(endpoint);
  endpoint.address_text = update.address;
  endpoint.address = ToSocketAddress(ParseAddress(update.address, "endpoint")).value();
}

void EndpointPool::RemoveEndpoint(const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return;
  CloseIdleConnections(name);
  PooledEndpoint& endpoint = found->second;
  endpoint.is_removed = true;
  if (endpoint.open_connection_count == 0) {
    endpoints_.erase(found);
  } else {
    CancelUnsentCallsTo(endpoint);
  }
}

// Ends the calls to `endpoint` that were not written completely. A call whose connection is not established
// yet would otherwise be written when it is, however late that may be.
void EndpointPool::CancelUnsentCallsTo(const PooledEndpoint& endpoint) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, connection] : connections_by_message_) {
    if (&connection->endpoint() == &endpoint) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) CancelCallIfUnsent(number);
}

void EndpointPool::StartCall(const CallRequest& call) {
  CallResult connect_failed;
  connect_failed.message_number = call.message_number;
  connect_failed.outcome = Outcome::kConnectFailed;
  const auto found = endpoints_.find(call.endpoint);
  if (found == endpoints_.end() || connections_by_message_.contains(call.message_number)) {
    return ReportSoon(connect_failed);
  }
  PooledEndpoint& endpoint = found->second;
  EndpointConnection* connection = TakeIdleConnection(endpoint);
  if (connection == nullptr) {
    if (!EnsureEndpointSlot(endpoint) || !EnsureConnectionSlot()) return ReportSoon(connect_failed);
    connection = OpenConnection(endpoint);
  }
  connections_by_message_[call.message_number] = connection;
  connection->StartCall(call);
}

// Returns the usable connection that has been idle longest of those that have settled, or null. Closes the
// unusable ones that it finds on the way.
EndpointConnection* EndpointPool::TakeIdleConnection(PooledEndpoint& endpoint) {
  const Duration settling_time = SettlingTime(endpoint.trust, trust_, std::chrono::steady_clock::now());
  std::size_t index = 0;
  while (index < endpoint.idle_connections.size()) {
    EndpointConnection* connection = endpoint.idle_connections[index];
    if (connection->IsUsable()) {
      if (connection->HasSettled(settling_time)) {
        std::erase(endpoint.idle_connections, connection);
        return connection;
      }
      ++index;
    } else if (connection->has_unconfirmed_calls()) {
      Drain(*connection);
    } else {
      connection->ReportUnexpectedBytes();
      CloseConnection(*connection, ReasonWhyUnusable(*connection));
    }
  }
  return nullptr;
}

// The connection carries no further calls, and closes itself once its calls are confirmed.
void EndpointPool::Drain(EndpointConnection& connection) {
  std::erase(connection.endpoint().idle_connections, &connection);
  connection.Drain();
}

void EndpointPool::CloseOrDrain(EndpointConnection& connection, EndpointCloseReason reason) {
  if (connection.has_unconfirmed_calls()) return Drain(connection);
  CloseConnection(connection, reason);
}

// At the limit of connections to the endpoint, closes the one that became idle last. Closing one whose calls
// are unconfirmed would leave them in doubt, so the limit may be exceeded by as many of these again. Returns
// false if the limit is reached and no connection can be closed.
bool EndpointPool::EnsureEndpointSlot(PooledEndpoint& endpoint) {
  if (endpoint.open_connection_count < limits_.max_connections_per_endpoint) return true;
  const auto& idle = endpoint.idle_connections;
  if (idle.empty()) return false;
  const auto confirmed = std::find_if(idle.rbegin(), idle.rend(), [](const EndpointConnection* connection) {
    return !connection->has_unconfirmed_calls();
  });
  if (confirmed == idle.rend() && endpoint.open_connection_count < 2 * limits_.max_connections_per_endpoint) {
    return true;
  }
  CloseConnection(confirmed == idle.rend() ? *idle.back() : **confirmed, EndpointCloseReason::kEvicted);
  return true;
}

// At the limit of all connections, closes the one that has been idle longest, to whatever endpoint; one whose
// calls are unconfirmed only if there is no other. Returns false if the limit is reached and none is idle.
bool EndpointPool::EnsureConnectionSlot() {
  if (connections_.size() < limits_.max_connections) return true;
  const auto order = [](const EndpointConnection& connection) {
    return std::pair(connection.has_unconfirmed_calls(), connection.idle_since());
  };
  EndpointConnection* first = nullptr;
  for (const auto& [name, endpoint] : endpoints_) {
    for (EndpointConnection* idle : endpoint.idle_connections) {
      if (first == nullptr || order(*idle) < order(*first)) first = idle;
    }
  }
  if (first == nullptr) return false;
  CloseConnection(*first, EndpointCloseReason::kEvicted);
  return true;
}

EndpointConnection* EndpointPool::OpenConnection(PooledEndpoint& endpoint) {
  const EndpointConnection::Timeouts timeouts{limits_.connect_timeout, limits_.idle_timeout};
  EndpointConnection::Owner& owner = *this;  // a private base
  auto owned =
      std::make_unique<EndpointConnection>(loop_, ++opened_connection_count_, timeouts, endpoint, owner);
  EndpointConnection* connection = owned.get();
  endpoint.open_connection_count += 1;
  connections_[connection] = std::move(owned);
  return connection;
}

void EndpointPool::CancelCall(std::uint64_t number) {
  const auto found = connections_by_message_.find(number);
  if (found != connections_by_message_.end()) found->second->AbandonCall(Outcome::kCancelled);
}

void EndpointPool::CancelCallIfUnsent(std::uint64_t number) {
  const auto found = connections_by_message_.find(number);
  if (found == connections_by_message_.end() || found->second->IsWritten()) return;
  found->second->FinishWithoutResponse(Outcome::kNotSent);
}

void EndpointPool::CloseIdleConnections(const std::string& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  CloseIdleConnections(found->second, EndpointCloseReason::kEndpointChanged);
}

void EndpointPool::CloseIdleConnections(const PooledEndpoint& endpoint, EndpointCloseReason reason) {
  const std::vector<EndpointConnection*> idle = endpoint.idle_connections;
  for (EndpointConnection* connection : idle) CloseOrDrain(*connection, reason);
}

void EndpointPool::Shutdown() {
  is_shutting_down_ = true;
  std::vector<EndpointConnection*> idle;
  for (const auto& [name, endpoint] : endpoints_) {
    idle.insert(idle.end(), endpoint.idle_connections.begin(), endpoint.idle_connections.end());
  }
  for (EndpointConnection* connection : idle) CloseOrDrain(*connection, EndpointCloseReason::kShutdown);
}

void EndpointPool::OnCallWritten() {
  if (on_call_written) on_call_written();
}

void EndpointPool::OnUnexpectedResponse(EndpointConnection& connection, const UnexpectedResponse& response) {
  const auto now = std::chrono::steady_clock::now();
  connection.endpoint().trust.OnUnexpectedResponse(now);
  trust_.OnUnexpectedResponse(now);
  if (on_unexpected_response) on_unexpected_response(response);
}

void EndpointPool::OnCallFinished(EndpointConnection& connection, const CallResult& result,
                                  EndpointConnection::CallCompletion completion) {
  connections_by_message_.erase(connection.message_number());
  if (completion.is_reusable && !is_shutting_down_ && connection.IsUsable()) {
    connection.BecomeIdle();
    connection.endpoint().idle_connections.push_back(&connection);
  } else if (completion.is_reusable && connection.has_unconfirmed_calls()) {
    Drain(connection);
  } else {
    if (completion.is_reusable) connection.ReportUnexpectedBytes();
    CloseConnection(connection,
                    is_shutting_down_ ? EndpointCloseReason::kShutdown : ReasonAfterCall(connection));
  }
  if (completion.needs_report_delay) {
    ReportDelayed(result);
  } else {
    ReportSoon(result);
  }
}

void EndpointPool::OnCallUnconfirmed(EndpointConnection& connection, const CallResult& result,
                                     bool is_reusable) {
  connections_by_message_.erase(result.message_number);
  unconfirmed_messages_.insert(result.message_number);
  provisional_results_.push_back(result);
  immediate_timer_.Schedule(Duration(0));
  if (is_reusable && !is_shutting_down_ && connection.IsUsable()) {
    connection.BecomeIdle();
    connection.endpoint().idle_connections.push_back(&connection);
  } else {
    Drain(connection);
  }
}

void EndpointPool::OnUnconfirmedCallFinished(const CallResult& result) {
  unconfirmed_messages_.erase(result.message_number);
  ReportSoon(result);
}

// Reports the result from a timer although no delay is needed, because the caller may be in the middle of a
// state change.
void EndpointPool::ReportSoon(const CallResult& result) {
  immediate_results_.push_back(result);
  immediate_timer_.Schedule(Duration(0));
}

void EndpointPool::ReportDelayed(const CallResult& result) {
  delayed_results_.push_back({std::chrono::steady_clock::now() + kClosePropagationTime, result});
  if (!delayed_timer_.is_pending()) delayed_timer_.Schedule(kClosePropagationTime);
}

void EndpointPool::ReportImmediateResults() {
  for (const CallResult& result : std::exchange(provisional_results_, {})) {
    if (on_provisional_result) on_provisional_result(result);
  }
  for (const CallResult& result : std::exchange(immediate_results_, {})) on_result_(result);
}

void EndpointPool::ReportDelayedResults() {
  while (!delayed_results_.empty()) {
    const auto wait = delayed_results_.front().report_at - std::chrono::steady_clock::now();
    if (wait > wait.zero()) return delayed_timer_.Schedule(std::chrono::ceil<Duration>(wait));
    const CallResult result = delayed_results_.front().result;
    delayed_results_.pop_front();
    on_result_(result);
  }
}

EndpointCloseReason EndpointPool::ReasonWhyUnusable(EndpointConnection& connection) {
  if (connection.state() == ResponseTracker::State::kDesynchronized) {
    return EndpointCloseReason::kUnexpectedResponse;
  }
  return connection.IsUsable() ? EndpointCloseReason::kIdleTimeout : EndpointCloseReason::kEndedByEndpoint;
}

void EndpointPool::CloseConnection(EndpointConnection& connection, EndpointCloseReason reason) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  if (on_connection_closed) {
    on_connection_closed({connection.number(), connection.opened_address(), reason, connection.call_count()});
  }
  // If the pool ends the connection, there is a reason for doubt only where repeats were seen.
  const bool is_ended_by_pool =
      reason == EndpointCloseReason::kEvicted || reason == EndpointCloseReason::kEndpointChanged ||
      reason == EndpointCloseReason::kShutdown || reason == EndpointCloseReason::kIdleTimeout;
  const bool is_distrusted = connection.endpoint().trust.IsDistrusted(std::chrono::steady_clock::now());
  connection.EndUnconfirmedCalls(!is_ended_by_pool || is_distrusted);
  connection.Close();
  PooledEndpoint& endpoint = connection.endpoint();
  std::erase(endpoint.idle_connections, &connection);
  endpoint.open_connection_count -= 1;
  closed_connections_.Delete(std::move(found->second));
  connections_.erase(found);
  if (endpoint.is_removed && endpoint.open_connection_count == 0) {
    std::erase_if(endpoints_, [&](const auto& entry) { return &entry.second == &endpoint; });
  }
}

}  // namespace sagetally
