// An HTTP/1.1 listener for stand-ins: hands over each request, and lets its answer be late, spoilt, cut off
// or reset. Made for provoking failures, not for speed or for hostile clients.
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

class Peer;

// One request, until its answer is written or its connection has ended.
class Call {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  std::string method, target, body;
  Headers headers;
  std::string Header(const char* name) const;  // empty if absent

  bool gone() const { return peer_ == nullptr; }
  // False if the client has gone.
  bool Answer(int code, const std::string& text = "", const Headers& more = {});
  // Chunked answers, which stay open: the head, a chunk, the end.
  bool StartChunks();
  bool Chunk(const std::string& text);
  bool EndChunks();
  // These bytes as they are, and nothing more; the connection stays open, and this call stays out.
  bool Raw(const std::string& bytes);
  void Close();  // in order, once what was written has gone
  void Reset();  // at once, with RST
  // Called once if the connection ends before the answer.
  std::function<void()> on_gone;

 private:
  friend class Peer;
  Peer* peer_ = nullptr;
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
  std::size_t connections() const { return peers_.size(); }
  // Connections over this are closed as they come.
  std::size_t most_connections = 100'000;
  // Off: the kernel refuses new connections, and what is open is reset. On again: at the same port.
  void SetUp(bool up);
  bool up() const { return listener_ != nullptr; }
  // Paused: connections are neither accepted nor read; what came meanwhile is read afterwards.
  void SetPaused(bool paused);

 private:
  friend class Peer;
  static void Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  void Listen();
  void Drop(Peer& peer);

  EventLoop& loop_;
  Address at_;
  Handler handler_;
  std::unique_ptr<evconnlistener, Free<evconnlistener_free>> listener_;
  std::uint16_t port_ = 0;
  bool paused_ = false;
  std::map<Peer*, std::unique_ptr<Peer>> peers_;
  std::vector<std::unique_ptr<Peer>> dropped_;  // freed once libevent is out of them
  Timer sweep_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_LISTENER_H_
