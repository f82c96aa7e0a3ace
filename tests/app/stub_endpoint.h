// A partner endpoint for tests. It answers HTTP requests with the statuses that the test sets. Used on the
// event loop's thread only.
#ifndef SAGETALLY_TESTS_APP_STUB_ENDPOINT_H_
#define SAGETALLY_TESTS_APP_STUB_ENDPOINT_H_

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "loadtest/stub/agent.h"
#include "loopback.h"

namespace sagetally {

// A call that an endpoint has received, with the headers that the tests check.
struct ReceivedCall {
  std::string id;        // X-Request-Id
  std::string key;       // Idempotency-Key
  std::string deadline;  // X-Deadline
  std::string body;
  Headers headers;
  std::chrono::steady_clock::time_point received_at;
};

// Answers each call with the next status of `script`, and with `default_status` once that is empty. With the
// status 0 the call is not answered and is added to `pending_calls`; with -1 its connection is reset.
class StubEndpoint {
 public:
  explicit StubEndpoint(EventLoop& loop)
      : listener_(loop, {"127.0.0.1", 0},
                  [this](const std::shared_ptr<loadtest::Call>& call) { OnCall(call); }) {}
  std::uint16_t port() const { return listener_.port(); }
  // Answers all pending calls, and all further ones, with 200.
  void Release() {
    script.clear();
    default_status = 200;
    for (const auto& call : std::exchange(pending_calls, {})) call->Answer(200);
  }

  std::vector<ReceivedCall> calls;  // in the order of their arrival
  std::deque<int> script;
  int default_status = 200;
  Headers headers;  // of the responses with a status other than 200
  std::vector<std::shared_ptr<loadtest::Call>> pending_calls;

 private:
  void OnCall(const std::shared_ptr<loadtest::Call>& call) {
    assert(call->target == "/hook");
    calls.push_back({call->Header("X-Request-Id"), call->Header("Idempotency-Key"),
                     call->Header("X-Deadline"), call->body, call->headers,
                     std::chrono::steady_clock::now()});
    const int status = NextStatus();
    if (status == 0) {
      pending_calls.push_back(call);
    } else if (status == -1) {
      call->Reset();
    } else {
      call->Answer(status, "", status == 200 ? Headers{} : headers);
    }
  }
  int NextStatus() {
    if (script.empty()) return default_status;
    const int status = script.front();
    script.pop_front();
    return status;
  }

  loadtest::Listener listener_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_STUB_ENDPOINT_H_
