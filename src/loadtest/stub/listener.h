// An HTTP/1.1 listener for stub servers: passes on each request, and lets its response be late, malformed,
// truncated or reset. Made to provoke failures, not for speed or for hostile clients. Lives on one event
// loop; no threads.
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

// One request, until its response is written or its connection has ended. Handlers may keep it as long as
// they like.
class Call {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  std::string method;
  std::string target;
  std::string body;
  Headers headers;

  // The first such header, whatever its case; empty if absent.
  std::string Header(const char* name) const;

  // Whether the connection has ended, or the response was written.
  bool gone() const { return connection_ == nullptr; }

  // All of these return false, and do nothing, if the call is gone.
  // Writes a whole response.
  bool Answer(int code, const std::string& text = "", const Headers& more = {});
  // Chunked responses, which stay open: the head, a chunk, the end.
  bool StartChunks();
  bool Chunk(const std::string& text);
  bool EndChunks();
  // Writes bytes as they are. The connection stays open and waits for the rest of the response.
  bool Raw(const std::string& bytes);

  void Close();  // once all that was written has been sent
  void Reset();  // at once, with RST

  // Called once if the connection ends before the response.
  std::function<void()> on_gone;

 private:
  friend class ListenerConnection;
  ListenerConnection* connection_ = nullptr;
};

class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Call>)>;

  // Port 0: any. Throws std::runtime_error if it can't listen.
  Listener(EventLoop& loop, const Address& at, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_.size(); }

  // Further connections are closed as they come.
  std::size_t max_connections = 100'000;

  // If not listening, the kernel refuses new connections and open ones are reset. The port stays the same.
  void SetListening(bool is_listening);
  bool is_listening() const { return listener_ != nullptr; }

  // While paused, connections are neither accepted nor read; what came meanwhile is read afterwards.
  void SetPaused(bool paused);

 private:
  friend class ListenerConnection;
  static void OnAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  void Listen();
  void Remove(ListenerConnection& connection);

  EventLoop& loop_;
  Address at_;
  Handler handler_;
  std::unique_ptr<evconnlistener, Free<evconnlistener_free>> listener_;
  std::uint16_t port_ = 0;
  bool paused_ = false;
  std::map<ListenerConnection*, std::unique_ptr<ListenerConnection>> connections_;
  std::vector<std::unique_ptr<ListenerConnection>> removed_;  // freed once libevent has left their callbacks
  Timer cleanup_timer_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_LISTENER_H_
