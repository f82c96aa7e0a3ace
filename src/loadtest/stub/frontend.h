// A stub of a whole dispatcher, as a target for the load generator: accepts every message unless its timeline
// has a fault. What it accepts counts as delivered. Lives on one event loop; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_
#define SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_

#include <functional>
#include <memory>
#include <string>

#include "loadtest/load/distribution.h"
#include "loadtest/stub/listener.h"
#include "loadtest/stub/listener_fault_schedule.h"

namespace sagetally::loadtest {

class StubFrontend {
 public:
  // The name by which timelines address it.
  static constexpr const char* kUid = "front";

  // `timeline` outlives the frontend; `started_us` is its time 0.
  StubFrontend(EventLoop& loop, const Address& at, const Timeline& timeline, Random random,
               std::int64_t started_us);

  std::uint16_t port() const { return listener_.port(); }
  Listener& listener() { return listener_; }

  // Called for each accepted message.
  std::function<void(const std::string& id)> on_accepted;
  std::int64_t requests = 0;

 private:
  void OnRequest(const std::shared_ptr<Call>& call);
  // Returns false if the fault leaves the call to be accepted.
  static bool AnswerWithFault(Call& call, const FaultSpan& fault);

  const Timeline& timeline_;
  Random random_;
  Listener listener_;
  ListenerFaultSchedule fault_schedule_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_
