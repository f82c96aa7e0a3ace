// An HTTP/1.1 server that passes each request to a handler. It limits the number of connections and, from the
// moment a connection is accepted, how long a request may take to arrive and how long the connection may be
// idle.
#ifndef SAGETALLY_SRC_NET_HTTP_SERVER_H_
#define SAGETALLY_SRC_NET_HTTP_SERVER_H_

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/client_memory.h"
#include "net/deferred_deleter.h"
#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "net/request_identity.h"

namespace sagetally {

// Owns the listener and the clients' connections. Used on the event loop's thread only, and the handler is
// called on that thread.
class HttpServer : private ClientMemoryHolder {
 public:
  // Why a connection was closed, for the log.
  enum class CloseReason {
    kEndedByClient,     // the client ended its input when no response was pending
    kFailed,            // a socket error occurred
    kEvicted,           // closed between requests to make room for a new connection
    kEvictedInRequest,  // closed for that purpose within a request, which was answered with 503
    kEvictedForMemory,  // closed in the same way, because the clients' share of the memory was full
    kResponseRead,      // closed after the last response was written, or after the idle timeout
    kTooMuchInput,      // the client kept sending after its last response
    kResponseNotRead,   // the client did not read its last response in time
    kTransferred,       // transferred to another process
    kServerStopped      // the server was destroyed
  };
  // The state of a connection when it was closed, for the log.
  struct ClosedConnection {
    CloseReason reason = CloseReason::kServerStopped;
    int error_number = 0;             // errno; for kFailed only
    std::uint64_t number = 0;         // the connection's number, which is unique within this server
    std::uint64_t request_count = 0;  // the whole requests that the connection carried
    bool has_open_request = false;    // a request was read and not answered
    std::size_t unwritten_bytes = 0;  // of responses
    std::size_t unparsed_bytes = 0;   // of requests
    std::size_t held_bytes = 0;       // of memory, as counted for the clients' share
  };

  // Answers the exchange now or later.
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  struct Limits {
    std::size_t max_body_bytes = 64 * 1024;  // of one request
    std::size_t max_connections = 64;        // open at the same time
    std::size_t max_head_bytes = 16 * 1024;  // of one request: its request line and headers
  };

  // A connection to be transferred to another process. It is either between two requests or within a request
  // whose first bytes have arrived.
  struct ClientToTransfer {
    int fd = -1;                     // owned by this process's server
    bool has_sent_requests = false;  // at least one whole request was read
    Duration age{0};                 // since the connection was accepted or last answered
    std::string bytes = {};          // the bytes that were received and belong to no answered request
  };
  // A ClientToTransfer as the other process receives it.
  struct TransferredClient {
    FileDescriptor fd = FileDescriptor();
    bool has_sent_requests = false;
    Duration age{0};
    std::string bytes = {};
  };

  // Listens at `address`; port 0 selects a free port. `inherited` is a listening socket of another process,
  // which is used instead of a new one if it listens at that address. `memory` counts what the connections
  // hold together with those of other servers and must outlive this one; null: a count of its own. Throws
  // ListenError.
  HttpServer(EventLoop& loop, const Address& address, Limits limits, Handler handler,
             FileDescriptor inherited = FileDescriptor(), ClientMemory* memory = nullptr);
  ~HttpServer() override;

  // The port that the listener is bound to.
  std::uint16_t port() const { return port_; }
  // The number of open connections.
  std::size_t connection_count() const { return clients_.size(); }
  // Sets how repeated requests on one connection are recognised; by default kById. To be called before the
  // loop runs.
  void SetRequestIdentification(RequestIdentification identification) {
    request_identification_ = identification;
  }
  // Closes idle connections and makes every response from now on end its connection. With `include_unused`,
  // also closes connections on which no byte was received.
  void CloseBetweenRequests(bool include_unused = false);
  // Sets whether every response from now on ends its connection.
  void SetClosing(bool closing) { is_closing_ = closing; }
  // Accepts the connections in the listener's queue and closes the listener. If no descriptor is free for
  // them, retries for a short time first.
  void StopListening();
  // Called after a connection was closed. May be empty.
  std::function<void()> on_closed;
  // Called with each response before it is written. May be empty.
  std::function<void(const Exchange&, int status, const std::string& body)> on_responded;
  // Called with a request that is not answered, because it is a copy of one that was (see
  // Exchange::MarkRepeated). May be empty.
  std::function<void(const Exchange&)> on_request_dropped;
  // Called when a request can't be read, with the number of its connection and the status that tells why.
  // `is_answered` says whether the client gets that status, which it does for its first request only. May be
  // empty.
  std::function<void(std::uint64_t connection_number, int status, bool is_answered)> on_request_rejected;
  // Called when a connection was closed, before on_closed. May be empty.
  std::function<void(const ClosedConnection&)> on_connection_closed;
  // Called when a new connection was closed at once because the server is full. May be empty.
  std::function<void()> on_connection_refused;
  // The listener's descriptor, which stays owned by the server; -1 if the listener is closed.
  int listener_descriptor() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  // Pauses reading: requests that have not been read whole stay unread, while those that were read are
  // answered. Connections are still accepted.
  void PauseReading() { is_reading_paused_ = true; }
  void ResumeReading();
  // The number of requests that wait for their response.
  std::size_t CountOpenRequests() const;
  // The number of connections on which a response waits for the client to read it.
  std::size_t CountUnreadResponses() const;
  // Returns the connections that another process can take over.
  std::vector<ClientToTransfer> ClientsToTransfer() const;
  // Closes this process's descriptors of the listener and of ClientsToTransfer(). To be called after they
  // were sent to the other process. The other connections are closed once their clients have read their
  // responses, or after a time limit.
  void ReleaseTransferred();
  // Takes over a connection of another process.
  void Adopt(TransferredClient client);

 private:
  friend class ServerConnection;

  static void OnAccepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void OnAcceptFailed(evconnlistener*, void* self);
  EventListenerPtr OpenListener(const Address& address, FileDescriptor inherited);
  void AddClient(std::unique_ptr<ServerConnection> client);
  // Implements ClientMemoryHolder.
  double EvictionGain() const override;
  void EvictForMemory() override;
  bool EvictClient();
  void PauseAcceptingIfDue();
  void ResumeAccepting();
  void Close(ServerConnection& client, CloseReason reason, int error_number = 0);
  void AcceptQueue();

  EventLoop& loop_;
  const Limits limits_;
  ClientMemory own_memory_;
  ClientMemory& memory_;
  Handler handler_;
  RequestIdentification request_identification_ = RequestIdentification::kById;
  EventListenerPtr listener_;
  std::uint16_t port_ = 0;
  std::uint64_t next_connection_number_ = 1;
  bool is_closing_ = false;
  bool is_reading_paused_ = false;
  bool is_waiting_for_place_ = false;
  bool is_stopping_ = false;  // StopListening() was called
  int accepted_in_round_ = 0;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> clients_;
  Timer accept_retry_timer_;
  Timer stop_listening_timer_;
  int stop_listening_attempts_ = 0;
  DeferredDeleter<ServerConnection> closed_clients_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_SERVER_H_
