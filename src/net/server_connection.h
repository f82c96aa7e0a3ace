// One client's connection to an HttpServer. Reads one request after another and answers each before it reads
// the next. Owned by the server and used on the event loop's thread.
#ifndef SAGETALLY_SRC_NET_SERVER_CONNECTION_H_
#define SAGETALLY_SRC_NET_SERVER_CONNECTION_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/request_identity.h"
#include "net/request_reader.h"
#include "net/transfer_resumer.h"

namespace sagetally {

// Reads, limits and answers the requests of one client, and closes the connection when it is time to.
class ServerConnection {
 public:
  // Takes over `socket`. `transferred` is the state of a connection that another process has transferred, and
  // null for a new connection.
  ServerConnection(HttpServer& server, evutil_socket_t socket,
                   const HttpServer::TransferredClient* transferred = nullptr);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Closes this process's socket. The open exchange can't be answered any more. Safe to call within the
  // connection's own callbacks, unlike the destructor.
  void Close(HttpServer::CloseReason reason);
  // Returns what is logged about the connection, which is about to be closed.
  HttpServer::ClosedConnection Describe(HttpServer::CloseReason reason, int error_number) const;
  // If a request is being read, answers it with 503, as far as the socket takes the response at once, and
  // returns true. Otherwise returns false.
  bool RejectPartialRequest();
  // Ends this side of a connection that is between two requests, and for a short time discards what the
  // client sends. The client learns that a request sent meanwhile was not read and may send it again. If
  // bytes of a request have already arrived, does nothing and returns false, so that the request is answered
  // first.
  bool CloseGracefully();
  // Reads no further request, and closes the connection once the client has read its responses, or after a
  // time limit.
  void CloseOnceWritten();
  // Reads what has arrived while reading was paused.
  void ContinueReading();
  // Makes the next response the last one, whatever requests follow it.
  void GiveWayAfterResponse() { gives_way_ = true; }
  bool gives_way() const { return gives_way_; }
  // The whole requests that the connection carried.
  std::uint64_t request_count() const { return request_count_; }
  // Returns whether the client may wait for the response to the open exchange, which repeats a request that
  // was answered before. If not, the request is a copy that something on its way made.
  bool MayAwaitResponse(const Exchange& exchange) const;
  // Ends the open exchange without a response, because its request is a copy. The connection is ended between
  // two requests, so that a client that does wait sends its request once more on a new one.
  void DropRequest(const Exchange& exchange);
  // Sends the response to the open exchange.
  void SendResponse(int status, const std::string& body, const HttpHeaders& headers);

  // Returns the request that waits for its response, or null.
  std::shared_ptr<Exchange> open_exchange() const;
  // Returns whether bytes have arrived that were not passed to the parser. Bytes that are still in the buffer
  // while a request is being read were passed to it.
  bool HasUnreadBytes() const;
  // Returns whether a whole request was received or a request was rejected on this connection.
  bool has_sent_requests() const { return has_sent_requests_; }
  // Returns whether the connection is between two requests.
  bool IsIdle() const {
    return has_sent_requests_ && !is_closing_ && !reader_.is_reading() && !open_exchange();
  }
  // Returns whether no byte of a first request was read.
  bool IsAwaitingFirstRequest() const { return !has_sent_requests_ && !is_closing_ && !reader_.is_reading(); }
  // Returns whether no response is pending or still to be written.
  bool HasNoPendingResponse() const { return !open_exchange() && UnwrittenBytes() == 0; }
  // Returns whether a response waits for the client to read it.
  bool HasUnwrittenResponse() const { return UnwrittenBytes() > 0; }
  // Returns whether another process can take over the connection.
  bool IsTransferable() const {
    const bool may_have_requests = !client_has_ended_ || HasUnparsedBytes();
    return !is_closing_ && may_have_requests && HasNoPendingResponse();
  }
  // Returns the connection's state for the process that takes it over.
  HttpServer::ClientToTransfer DescribeForTransfer() const;
  // Returns whether no further request is read.
  bool is_closing() const { return is_closing_; }
  // Returns whether a part of a request was read.
  bool is_reading_request() const { return reader_.is_reading(); }
  // When the connection was accepted or last answered.
  std::chrono::steady_clock::time_point idle_since() const { return idle_since_; }
  // The memory that the connection holds, in bytes.
  std::size_t held_bytes() const { return held_bytes_; }
  // When bytes were received last or, if that is later, when the connection was accepted or last answered.
  std::chrono::steady_clock::time_point last_received_at() const { return last_received_at_; }

 private:
  static void OnReadable(bufferevent*, void* self);
  static void OnOutputDrained(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);
  void OnTimeout();
  void OnEndOfInput();
  void OnSocketEvent(short events);
  bool Read();
  bool ReadStep();
  bool CloseIfFailed();
  bool ReadSocket();
  void DiscardInput();
  void CloseAfterLinger();
  void ResumeTransferred(const HttpServer::TransferredClient& transferred);
  void HandleRequest();
  bool IsCopy() const;
  void DropCopy(const RequestReader::HttpRequest& request);
  void RejectRequest(int status);
  void EndBetweenRequests();
  void ReadSoon();
  void LimitReadAhead(std::size_t max_bytes);
  void Write(std::string_view text);
  void UpdateHeldBytes();
  evbuffer* input() const { return bufferevent_get_input(buffers_.get()); }
  evbuffer* output() const { return bufferevent_get_output(buffers_.get()); }
  int socket() const { return bufferevent_getfd(buffers_.get()); }
  bool HasUnparsedBytes() const { return evbuffer_get_length(input()) > 0; }
  std::size_t UnwrittenBytes() const { return evbuffer_get_length(output()); }

  HttpServer& server_;
  const std::uint64_t number_;
  const std::uint64_t client_id_;
  BufferEventPtr buffers_;  // null once closed
  TransferResumer resumer_;
  Timer timer_;  // limits the time for the request that is awaited or being read, or for the close
  RequestReader reader_;
  std::weak_ptr<Exchange> exchange_;             // the last one that was passed to the server's handler
  std::optional<RequestIdentity> open_request_;  // identifies the request of exchange_
  AnsweredRequests answered_requests_;
  // When the last response to a request without a unique id was sent, more input had arrived already.
  bool has_input_before_response_ = false;
  bool has_sent_requests_ = false;
  bool is_closing_ = false;        // no further request is read
  bool ends_soon_ = false;         // the connection is ended as soon as no request is open
  bool gives_way_ = false;         // the next response ends the connection
  bool keep_alive_ = true;         // the open request allows further requests on the connection
  bool client_has_ended_ = false;  // the client has shut down its sending side
  std::uint64_t request_count_ = 0;
  std::uint64_t handled_requests_ = 0;  // with those that were dropped as copies, or rejected
  std::size_t open_request_bytes_ = 0;  // of the open exchange
  std::size_t held_bytes_ = 0;          // as reported to the server's ClientMemory
  std::size_t discarded_bytes_ = 0;
  std::chrono::steady_clock::time_point write_deadline_;  // for writing the last response
  std::chrono::steady_clock::time_point idle_since_;      // when the connection was accepted or last answered
  std::chrono::steady_clock::time_point last_received_at_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SERVER_CONNECTION_H_
