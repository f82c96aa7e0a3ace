// Connections of the load generator's clients, for one thread: one request at a time on each, kept open.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally::loadtest {

struct Reply {
  int code = 0;            // 0: none
  bool timed_out = false;  // none in the client's time; else the connection broke
  double retry_after_s = 0;
};

class ClientConnection;

class Clients {
 public:
  using Done = std::function<void(const Reply&)>;
  // `most`: connections at once, dealt out over the targets. `answer`: wait for one; 0: for ever.
  Clients(EventLoop& loop, const std::vector<Address>& targets, int most, Duration answer);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  bool busy() const { return idle_.empty() && static_cast<int>(all_.size()) >= most_; }
  // A connection must be free. `done` is called once, and not from within.
  void Send(std::string request, Done done);
  // Called whenever a connection is free again.
  std::function<void()> on_free;
  std::int64_t opened() const { return opened_; }
  std::int64_t sent_twice() const { return sent_twice_; }  // a kept connection closed as the request crossed

 private:
  friend class ClientConnection;
  ClientConnection* Open();
  void Free(ClientConnection& connection, bool keep);

  EventLoop& loop_;
  const std::vector<Address> targets_;
  const int most_;
  const Duration answer_;
  std::size_t next_target_ = 0;
  std::int64_t opened_ = 0, sent_twice_ = 0;
  std::vector<std::unique_ptr<ClientConnection>> all_, closed_;
  std::vector<ClientConnection*> idle_;
  Timer sweep_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_
