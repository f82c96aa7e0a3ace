// A stand-in for a whole dispatcher, as the load generator's target: takes every message, unless its timeline
// says otherwise. What it takes counts as delivered.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_
#define SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_

#include <functional>
#include <memory>
#include <string>

#include "loadtest/load/distribution.h"
#include "loadtest/stub/listener.h"
#include "loadtest/stub/listener_script.h"

namespace sagetally::loadtest {

class FrontStandIn {
 public:
  static constexpr const char* kUid = "front";  // in the timeline
  FrontStandIn(EventLoop& loop, const Address& at, const Timeline& timeline, Random random,
               std::int64_t started_us);
  std::uint16_t port() const { return listener_.port(); }
  Listener& listener() { return listener_; }
  std::function<void(const std::string& id)> on_taken;
  std::int64_t requests = 0;

 private:
  void Asked(const std::shared_ptr<Call>& call);
  const Timeline& timeline_;
  Random random_;
  Listener listener_;
  ListenerScript script_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_
