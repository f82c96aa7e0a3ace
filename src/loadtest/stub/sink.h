// A sink of CloudEvents: the results that a node tells of its messages.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_SINK_H_
#define SAGETALLY_SRC_LOADTEST_STUB_SINK_H_

#include <deque>
#include <functional>
#include <string>

#include "loadtest/stub/listener.h"

namespace sagetally::loadtest {

class Sink {
 public:
  explicit Sink(EventLoop& loop, const Address& at = {"127.0.0.1", 0});
  std::uint16_t port() const { return listener_.port(); }
  // An event's type and the id of the message that it speaks of (its subject).
  std::function<void(const std::string& type, const std::string& id)> on_event;
  std::deque<int> script;  // of the answers; then 204
  std::int64_t events = 0, malformed = 0;

 private:
  void Asked(Call& call);
  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_SINK_H_
