// One client's connection to an HttpServer: request by request, each answered before the next is read.
#ifndef SAGETALLY_SRC_NET_SERVER_CONNECTION_H_
#define SAGETALLY_SRC_NET_SERVER_CONNECTION_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/request_reader.h"
#include "net/transfer_resumer.h"

namespace sagetally {

// Owned by the server, on the loop's thread.
class ServerConnection {
 public:
  // Takes over `socket`. `transferred`: what another process knew of the connection; null for a new one.
  ServerConnection(HttpServer& server, evutil_socket_t socket,
                   const HttpServer::TransferredClient* transferred = nullptr);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Closes this process's socket; the exchange that is open can't be answered any more. Safe within the
  // connection's own callbacks, unlike its destructor.
  void Close(HttpServer::CloseReason reason);
  // What the log says of a connection that is about to be closed.
  HttpServer::ClosedConnection Describe(HttpServer::CloseReason reason, int error_number) const;
  // Amid a request: answers it with 503, as far as that can be written at once, and returns true.
  bool RejectPartialRequest();
  // Between requests: ends our side, and discards for a moment what the client has sent meanwhile. The client
  // sees its request unread and may send it again. False, and nothing is done, if a request has come already:
  // that is answered first.
  bool CloseGracefully();
  // The response to the request that is open.
  void SendResponse(int status, const std::string& body, const HttpHeaders& headers);

  // The request that waits for its response, if there is one.
  std::shared_ptr<Exchange> open_exchange() const;
  // Bytes have arrived that the parser has not seen. It has seen those of a request that is being read and
  // are in the buffer still.
  bool HasUnreadBytes() const;
  // A whole request has come here, or one was rejected.
  bool has_sent_requests() const { return has_sent_requests_; }
  // Between two requests.
  bool IsIdle() const {
    return has_sent_requests_ && !is_closing_ && !reader_.is_reading() && !open_exchange();
  }
  // No byte of a first request was read.
  bool IsAwaitingFirstRequest() const { return !has_sent_requests_ && !is_closing_ && !reader_.is_reading(); }
  // No response is owed or still to be written.
  bool IsSettled() const { return !open_exchange() && UnwrittenBytes() == 0; }
  // Another process can go on with it.
  bool IsTransferable() const { return !is_closing_ && !client_has_ended_ && IsSettled(); }
  HttpServer::ClientToTransfer DescribeForTransfer() const;
  std::chrono::steady_clock::time_point last_received_at() const { return last_received_at_; }

 private:
  static void OnReadable(bufferevent*, void* self);
  static void OnOutputDrained(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);
  void OnTimeout();
  void OnEndOfInput();
  void OnSocketEvent(short events);
  void Read();
  bool ReadStep();
  void DiscardInput();
  void CloseAfterLinger();
  void ResumeTransferred(const HttpServer::TransferredClient& transferred);
  void HandleRequest();
  void RejectRequest(int status);
  void CloseOnceWritten();
  void ReadSoon();
  void Write(std::string_view text);
  evbuffer* input() const { return bufferevent_get_input(buffers_.get()); }
  evbuffer* output() const { return bufferevent_get_output(buffers_.get()); }
  int socket() const { return bufferevent_getfd(buffers_.get()); }
  bool HasUnparsedBytes() const { return evbuffer_get_length(input()) > 0; }
  std::size_t UnwrittenBytes() const { return evbuffer_get_length(output()); }

  HttpServer& server_;
  const std::uint64_t number_;
  BufferEventPtr buffers_;  // null once closed
  TransferResumer resumer_;
  Timer timer_;  // for the request that is awaited or being read, or for the end
  RequestReader reader_;
  std::weak_ptr<Exchange> exchange_;  // the last one handed to the server's handler
  bool has_sent_requests_ = false;
  bool is_closing_ = false;  // no further request is read
  bool keep_alive_ = true;   // as the open request asks
  bool client_has_ended_ = false;
  std::uint64_t request_count_ = 0;
  std::size_t discarded_bytes_ = 0;
  std::chrono::steady_clock::time_point write_deadline_;  // for the last response
  std::chrono::steady_clock::time_point idle_since_;      // accepted, or last answered
  std::chrono::steady_clock::time_point last_received_at_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SERVER_CONNECTION_H_
