// One connection of the pool to an endpoint: carries one call at a time, and never sends one twice.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_CONNECTION_H_
#define SAGETALLY_SRC_NET_ENDPOINT_CONNECTION_H_

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/message.h"
#include "net/event_loop.h"
#include "net/response_reader.h"
#include "net/transfer_resumer.h"

namespace sagetally {

class EndpointConnection;

// How long a call's end is held back after it was abandoned: the end of its connection must reach the
// endpoint before the call's place or the message is used again, else the next call counts as one too many,
// or as a duplicate.
constexpr Duration kCloseSettleTime = std::chrono::milliseconds(10);

// An endpoint with its connections. Owned by the pool; stays in place while a connection to it is open.
struct PooledEndpoint {
  std::string address_text;  // "10.0.0.4:8443"
  sockaddr_in address{};
  std::vector<EndpointConnection*> idle_connections;  // the longest idle first
  int open_connection_count = 0;
  bool is_removed = false;  // no endpoint list names it any more
};

class EndpointConnection {
 public:
  struct Timeouts {
    Duration connect{0};
    Duration idle{0};  // the endpoint's machine closes idle connections after this
  };

  // What becomes of the connection of a finished call, and when its result may be reported.
  struct CallEnd {
    bool is_reusable = false;     // for another call
    bool needs_settling = false;  // the endpoint may not know yet that the call is over
  };

  // The pool.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The last byte of a call was written to the socket; once for each call.
    virtual void OnCallWritten() = 0;
    // Once for each call.
    virtual void OnCallFinished(EndpointConnection& connection, const CallResult& result, CallEnd end) = 0;
    // The connection is of no further use: Close() it, and free it later.
    virtual void OnUnusable(EndpointConnection& connection) = 0;
  };

  // Starts to connect.
  EndpointConnection(EventLoop& loop, Timeouts timeouts, PooledEndpoint& endpoint, Owner& owner);
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  PooledEndpoint& endpoint() { return endpoint_; }
  // Number of the message whose call it carries or carried last.
  std::uint64_t message_number() const { return message_number_; }
  std::chrono::steady_clock::time_point idle_since() const { return idle_since_; }
  // Whether it may carry another call: it leads to where the endpoint is, and nothing has come that no call
  // asked for.
  bool IsUsable() const;
  // Whether the last byte of the call has gone to the socket.
  bool IsWritten() const;

  // Writes a call, now or once the connection is up.
  void StartCall(const CallRequest& call);
  // No call uses it from now on.
  void BecomeIdle();
  // Gives the call up as `outcome`. If it was written, ends our sending and listens for a moment: the
  // endpoint may have answered already with a time to wait, which binds.
  void AbandonCall(Outcome outcome);
  // Ends the call at once, without a whole response.
  void FinishWithoutResponse(Outcome outcome);
  // Closes the socket. Safe within the connection's own callbacks, unlike its destructor.
  void Close();

 private:
  static void OnReadable(bufferevent*, void* self);
  static void OnOutputDrained(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);
  void Connect();
  void OnConnected();
  void OnClosedByPeer(short events);
  void OnWriteDeadline();
  void Read();
  void WriteCall();
  void ReportWritten();
  void FinishWithResponse();
  void OnInvalidResponse();
  void FinishCall(CallResult result, CallEnd end);
  bool NothingReceived() const;
  evbuffer* input() const { return bufferevent_get_input(buffers_.get()); }
  evbuffer* output() const { return bufferevent_get_output(buffers_.get()); }
  int socket() const { return bufferevent_getfd(buffers_.get()); }

  Owner& owner_;
  PooledEndpoint& endpoint_;
  const Timeouts timeouts_;
  const std::string address_text_;  // where it was opened to
  BufferEventPtr buffers_;          // null once closed
  TransferResumer resumer_;
  Timer connect_timer_;
  Timer connect_again_timer_;
  Timer call_timer_;
  Timer listen_timer_;  // for a response after the call was abandoned
  Timer idle_timer_;
  Timer write_timer_;  // for the time in which the call may be written
  ResponseReader reader_;
  std::uint64_t message_number_ = 0;
  int connect_tries_ = 0;
  bool has_call_ = false;
  bool is_connected_ = false;
  bool is_write_reported_ = false;
  // An endpoint may refuse a connection for good with 503, so one that brought no other response is not used
  // again.
  bool is_accepted_by_endpoint_ = false;
  // The endpoint sent something before the call's last byte had left, which never follows then: the call has
  // not run, and what was sent can only have rejected it.
  bool responded_early_ = false;
  std::optional<Outcome> abandoned_as_;
  Duration round_trip_time_{0};  // as long as the connection took to come up
  std::string unsent_call_;      // while the connection comes up
  std::chrono::steady_clock::time_point opened_at_;
  std::chrono::steady_clock::time_point write_deadline_;
  std::chrono::steady_clock::time_point idle_since_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_CONNECTION_H_
