// A stub of a CloudEvents sink, which receives the results that a node sends of its messages. Lives on one
// event loop; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_SINK_H_
#define SAGETALLY_SRC_LOADTEST_STUB_SINK_H_

#include <deque>
#include <functional>
#include <string>

#include "loadtest/stub/listener.h"

namespace sagetally::loadtest {

class Sink {
 public:
  // Port 0: any. Throws std::runtime_error if it can't listen.
  explicit Sink(EventLoop& loop, const Address& at = {"127.0.0.1", 0});

  std::uint16_t port() const { return listener_.port(); }

  // Called with an event's type and the id of the message it is about (its subject).
  std::function<void(const std::string& type, const std::string& id)> on_event;
  std::deque<int> status_codes;  // of the next responses; then 204
  std::int64_t events = 0;
  std::int64_t malformed = 0;  // events

 private:
  void OnRequest(Call& call);
  // Reports each event of `body`. Returns false if at least one is malformed.
  bool ReadEvents(const std::string& body);

  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_SINK_H_
