// Checks the protocol's rules for calls, from what the stub servers observe.
//
// Partners report every call and effect, the agent every announced state. Does no I/O and has no clock: each
// event brings its time, in microseconds of the monotonic clock. Not thread-safe. Keeps an entry for each
// message it has seen.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_
#define SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loadtest/load/plan.h"
#include "loadtest/report/run_summary.h"

namespace sagetally::loadtest {

// The protocol's limits, with tolerances for what crosses on the wire.
struct Rules {
  int max_concurrent_calls = 0;  // of one dispatcher; 0: not checked
  int max_attempts = 6;          // of one message
  // After its draining was announced, an endpoint gets no further call.
  std::int64_t drain_grace_us = 2'050'000;
  // After a wait was announced, calls that were already on their way are accepted.
  std::int64_t wait_grace_us = 100'000;
  // A message with an idempotency key that may have executed may be repeated only within this time.
  std::int64_t deduplication_window_us = 10'050'000;
};

// A call as the called endpoint sees it.
struct CallInfo {
  std::string id;
  std::string endpoint;
  int destination = 0;                     // of the endpoint
  std::optional<int> message_destination;  // unknown: not checked
  std::optional<Idempotency> idempotency;  // unknown: not checked
  std::string dispatcher;                  // whose limit of concurrent calls it counts for
};

enum class CallOutcome {
  kDelivered,       // 200 was written
  kRejected,        // certainly not executed
  kMayHaveExecuted  // an error, a reset, no response, or the dispatcher gave up
};

class Checker {
 public:
  explicit Checker(const Rules& rules) : rules_(rules) {}

  // Returns the number by which OnCallEnded names the call.
  std::int64_t OnCallStarted(std::int64_t now_us, const CallInfo& call);
  // `wait_us`: the wait that the response announced; it binds all calls to the destination. 0: none.
  void OnCallEnded(std::int64_t now_us, std::int64_t call_number, CallOutcome outcome,
                   std::int64_t wait_us = 0);
  // The message took effect at a partner.
  void OnEffect(const std::string& id, std::optional<Idempotency> idempotency);
  void OnDrainingAnnounced(std::int64_t now_us, const std::string& endpoint);
  void OnInServiceAnnounced(const std::string& endpoint) { draining_since_us_.erase(endpoint); }
  // The dispatcher was restarted: it has forgotten all waits, and its calls have ended.
  void OnDispatcherRestarted(const std::string& dispatcher);

  std::int64_t count() const { return count_; }  // of violations
  const std::vector<Violation>& violations() const {
    return violations_;
  }  // the first kMaxRecordedViolations
  std::int64_t calls() const { return next_call_number_; }
  std::int64_t effects() const { return effect_count_; }
  int max_in_flight() const { return max_in_flight_; }               // calls of one dispatcher at once
  std::size_t in_flight() const { return in_flight_calls_.size(); }  // calls now

 private:
  struct InFlightCall {
    CallInfo call;
    std::int64_t started_us = 0;
  };
  struct MessageState {
    int calls = 0;
    int in_flight = 0;
    int effects = 0;
    std::optional<std::int64_t> may_have_executed_us;  // start of the first such call
    bool delivered = false;
  };
  struct Wait {
    std::int64_t announced_us = 0;
    std::int64_t until_us = 0;
  };
  void CheckTarget(std::int64_t now_us, const CallInfo& call);
  void CheckRepeat(std::int64_t now_us, const CallInfo& call, const MessageState& message);
  void AddViolation(const std::string& rule, const std::string& id, const std::string& detail);

  const Rules rules_;
  std::int64_t next_call_number_ = 0;
  std::int64_t count_ = 0;
  std::int64_t effect_count_ = 0;
  int max_in_flight_ = 0;
  std::vector<Violation> violations_;
  std::map<std::int64_t, InFlightCall> in_flight_calls_;  // by number
  std::map<std::string, int> in_flight_by_dispatcher_;
  std::map<std::string, MessageState> messages_;                    // by id
  std::map<std::pair<std::string, int>, std::vector<Wait>> waits_;  // by dispatcher and destination
  std::map<std::string, std::int64_t> draining_since_us_;           // by endpoint
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_
