// A stub of a whole dispatcher, which serves as a target for the load generator. It accepts every message,
// unless the fault timeline demands a fault for the request. An accepted message counts as delivered. All
// calls and callbacks run on the thread of the event loop.
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
  // The endpoint name of the frontend in fault timelines.
  static constexpr const char* kUid = "front";

  // `timeline` outlives the frontend. `started_us` is the timeline's time 0, on the monotonic clock. Throws
  // std::runtime_error if the frontend can't listen.
  StubFrontend(EventLoop& loop, const Address& listen_address, const FaultTimeline& timeline, Random random,
               std::int64_t started_us);

  std::uint16_t port() const { return listener_.port(); }
  Listener& listener() { return listener_; }

  // Called with the submission id of each accepted message, before the response is written. A message with
  // Fault::kDoubleExecution is passed twice.
  std::function<void(const std::string& id)> on_accepted;
  std::int64_t requests = 0;  // number of received requests

 private:
  void OnRequest(const std::shared_ptr<Call>& call);
  // Applies the fault to the response. Returns false if the call is to be accepted all the same.
  static bool AnswerWithFault(Call& call, const FaultSpan& fault);

  const FaultTimeline& timeline_;
  Random random_;
  Listener listener_;
  ListenerFaultSchedule fault_schedule_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_FRONTEND_H_
