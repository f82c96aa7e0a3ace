// A stub of a CloudEvents sink. It receives the events by which a node reports the results of its messages.
// All calls and callbacks run on the thread of the event loop.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_SINK_H_
#define SAGETALLY_SRC_LOADTEST_STUB_SINK_H_

#include <deque>
#include <functional>
#include <string>

#include "loadtest/stub/listener.h"

namespace sagetally::loadtest {

class Sink {
 public:
  // Port 0 lets the kernel choose a port. Throws std::runtime_error if the sink can't listen.
  explicit Sink(EventLoop& loop, const Address& listen_address = {"127.0.0.1", 0});

  std::uint16_t port() const { return listener_.port(); }

  // Called for each well-formed event, with its type and its subject, which is the id of a message.
  std::function<void(const std::string& type, const std::string& id)> on_event;
  // HTTP statuses of the next responses, one per request. Once it is empty, the status is 204.
  std::deque<int> status_codes;
  std::int64_t events = 0;     // number of well-formed events
  std::int64_t malformed = 0;  // number of malformed events

 private:
  void OnRequest(Call& call);
  // Calls `on_event` for each well-formed event of `body`. Returns false if at least one is malformed.
  bool ReadEvents(const std::string& body);

  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_SINK_H_
