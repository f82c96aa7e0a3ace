// An HTTP/1.1 listener for stub servers. It passes each request to a handler, which can send the response
// late, malformed or truncated, or reset the connection. The listener serves to provoke failures: it is
// neither made for speed nor protected against hostile clients. All calls and callbacks run on the thread of
// the event loop.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_LISTENER_H_
#define SAGETALLY_SRC_LOADTEST_STUB_LISTENER_H_

#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally::loadtest {

class ListenerConnection;

// One request and its response. Handlers may keep the object after the response was written or the connection
// has ended.
class Call {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  std::string method;
  std::string target;
  std::string body;
  Headers headers;

  // Returns the value of the first header with this name, ignoring case, or an empty string.
  std::string Header(const char* name) const;

  // Returns whether the connection has ended or the response was written.
  bool gone() const { return connection_ == nullptr; }

  // The functions that return bool do nothing and return false if the call is gone.
  // Writes a whole response with the body `text` and the further headers `more`.
  bool Answer(int code, const std::string& text = "", const Headers& more = {});
  // Write a chunked response: first its head, then any number of chunks, and at last its end.
  bool StartChunks();
  bool Chunk(const std::string& text);
  bool EndChunks();
  // Writes bytes unchanged. The response stays open, so that more bytes may follow.
  bool Raw(const std::string& bytes);

  void Close();  // closes the connection once all written bytes have been sent
  void Reset();  // resets the connection at once, with a TCP RST

  // Called once if the connection ends before the response is complete.
  std::function<void()> on_gone;

 private:
  friend class ListenerConnection;
  ListenerConnection* connection_ = nullptr;
};

class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Call>)>;

  // `handler` is called for each request. Port 0 lets the kernel choose a port. Throws std::runtime_error if
  // the listener can't listen.
  Listener(EventLoop& loop, const Address& listen_address, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_.size(); }

  // While this number of connections is open, each new one is closed as soon as it is accepted.
  std::size_t max_connections = 100'000;

  // With false, the kernel refuses new connections and open connections are reset. With true, the listener
  // listens again on the same port.
  void SetListening(bool is_listening);
  bool is_listening() const { return listener_ != nullptr; }

  // While the listener is paused, connections are neither accepted nor read. Connections and bytes that
  // arrive meanwhile are handled afterwards.
  void SetPaused(bool paused);

 private:
  friend class ListenerConnection;
  static void OnAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  void Listen();
  void Remove(ListenerConnection& connection);

  EventLoop& loop_;
  Address listen_address_;
  Handler handler_;
  std::unique_ptr<evconnlistener, Free<evconnlistener_free>> listener_;
  std::uint16_t port_ = 0;
  bool paused_ = false;
  std::map<ListenerConnection*, std::unique_ptr<ListenerConnection>> connections_;
  // Removed connections, freed after libevent's callbacks have returned.
  std::vector<std::unique_ptr<ListenerConnection>> removed_;
  Timer cleanup_timer_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_LISTENER_H_
