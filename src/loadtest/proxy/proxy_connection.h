// One connection through a fault proxy: the client's connection and the one to the server, with a writer for
// each direction. Used by FaultProxy only.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_PROXY_CONNECTION_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_PROXY_CONNECTION_H_

#include <string>

#include "loadtest/proxy/delayed_writer.h"
#include "loadtest/proxy/fault_proxy.h"
#include "loadtest/proxy/http_message_splitter.h"

namespace sagetally::loadtest {

class ProxyConnection {
 public:
  // Takes ownership of the client's socket.
  ProxyConnection(FaultProxy& proxy, evutil_socket_t client_socket);
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  // Connects to the server, unless a fault delays or forgets the connection. To be called once.
  void Start();
  // Closes both sockets. Safe within libevent's callbacks, unlike the destructor.
  void Close();

 private:
  static void OnClientReadable(bufferevent*, void* self);
  static void OnServerReadable(bufferevent*, void* self);
  static void OnWritten(bufferevent*, void* self);
  static void OnClientEvent(bufferevent*, short events, void* self);
  static void OnServerEvent(bufferevent*, short events, void* self);
  void ConnectToServer();
  void ForwardRequests(const std::string& bytes);
  void FollowRequest(const std::string& request);
  void ForwardAnswers(const std::string& bytes);
  void RecordAnswers(std::int64_t count);
  bool WriteAnswer(const std::string& bytes, const std::string& answer);
  void FollowAnswer(const std::string& answer);
  void EndClientOnceWritten();
  void ResetClient();
  void EndServer();
  void SendReset();
  void RemoveSoon();

  FaultProxy& proxy_;
  BufferEventPtr client_;
  BufferEventPtr server_;
  DelayedWriter to_client_;
  DelayedWriter to_server_;
  HttpMessageSplitter requests_;
  HttpMessageSplitter answers_;
  Timer connect_timer_;
  Timer reset_timer_;
  std::int64_t request_count_ = 0;
  std::int64_t answer_count_ = 0;         // the server's answers that were passed on, without copies
  std::int64_t server_answer_count_ = 0;  // the answers that the server has written
  std::string last_request_id_;
  bool is_connecting_to_server_ = false;  // or connected
  bool is_resetting_ = false;             // the client is reset once the server has ended its side
  bool closes_once_written_ = false;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_PROXY_CONNECTION_H_
