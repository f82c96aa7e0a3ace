// Checks that the dispatcher keeps the protocol's rules for calls, from what the stub servers observe.
//
// Each stub partner reports its calls and their effects, and the stub agent reports each endpoint state that
// it announces. The checker does no I/O and reads no clock: the caller passes the time of each event in
// microseconds of the monotonic clock. It is not thread-safe. Its memory grows by one entry for each message
// that it has seen.
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

// The protocol's limits. The times include a tolerance for calls that were sent before the dispatcher could
// know of the limit.
struct Rules {
  int max_concurrent_calls = 0;  // in flight from one dispatcher; 0 turns the check off
  int max_attempts = 6;          // calls for one message
  // An endpoint must get no further call once this time has passed since its draining was announced.
  std::int64_t drain_grace_us = 2'050'000;
  // After a wait was announced, further calls are tolerated for this time, because they may have been sent
  // already.
  std::int64_t wait_grace_us = 100'000;
  // A message with an idempotency key that may have run may be called again only within this time.
  std::int64_t deduplication_window_us = 10'050'000;
  // Whether every answer of a partner reaches the dispatcher, so that a delivered message must not be called
  // again. Without it that holds for messages that are not idempotent only.
  bool answers_arrive = false;
};

// A call as the called endpoint sees it. If an optional value is absent, it is not checked.
struct CallInfo {
  std::string id;
  std::string endpoint;
  int destination = 0;                     // of the endpoint
  std::optional<int> message_destination;  // of the message
  std::optional<Idempotency> idempotency;
  std::string dispatcher;  // The call counts against the limit of concurrent calls of this dispatcher.
};

enum class CallOutcome {
  kDelivered,       // The endpoint wrote a response with status 200.
  kRejected,        // The message has certainly not run.
  kMayHaveExecuted  // An error, a reset, no response, or the dispatcher closed the connection.
};

class Checker {
 public:
  explicit Checker(const Rules& rules) : rules_(rules) {}

  // Returns a number that identifies the call in OnCallEnded.
  std::int64_t OnCallStarted(std::int64_t now_us, const CallInfo& call);
  // `wait_us` is the wait that the response announced, or 0. During the wait the same dispatcher must not
  // call any endpoint of the destination.
  void OnCallEnded(std::int64_t now_us, std::int64_t call_number, CallOutcome outcome,
                   std::int64_t wait_us = 0);
  // Called each time that the message takes effect at a partner.
  void OnEffect(const std::string& id, std::optional<Idempotency> idempotency);
  // Called when the dispatcher has reported the message as undeliverable or deferred. It must not be called
  // again.
  void OnNotified(const std::string& id) { messages_[id].is_notified = true; }
  void OnDrainingAnnounced(std::int64_t now_us, const std::string& endpoint);
  void OnInServiceAnnounced(const std::string& endpoint) { draining_since_us_.erase(endpoint); }
  // Forgets the waits that the restarted dispatcher no longer knows, and ends its calls, which may have run.
  void OnDispatcherRestarted(const std::string& dispatcher);

  std::int64_t count() const { return count_; }  // number of violations
  // Returns the first kMaxRecordedViolations violations.
  const std::vector<Violation>& violations() const { return violations_; }
  // Numbers of calls and of effects so far.
  std::int64_t calls() const { return next_call_number_; }
  std::int64_t effects() const { return effect_count_; }
  // Returns the largest number of concurrent calls of one dispatcher so far.
  int max_in_flight() const { return max_in_flight_; }
  std::size_t in_flight() const { return in_flight_calls_.size(); }  // calls in flight now

 private:
  struct InFlightCall {
    CallInfo call;
    std::int64_t started_us = 0;
  };
  struct MessageState {
    int calls = 0;
    int in_flight = 0;
    int effects = 0;
    std::optional<std::int64_t> may_have_executed_us;  // start of the first call that may have run
    bool delivered = false;
    bool is_notified = false;
  };
  struct Wait {
    std::int64_t announced_us = 0;
    std::int64_t until_us = 0;
  };
  std::string DescribeSecondCopy(std::int64_t now_us, const CallInfo& call) const;
  // Checks whether the endpoint may be called at this time.
  void CheckTarget(std::int64_t now_us, const CallInfo& call);
  // Checks whether the message may be called again.
  void CheckRepeat(std::int64_t now_us, const CallInfo& call, const MessageState& message);
  void AddViolation(const std::string& rule, const std::string& id, const std::string& detail);

  const Rules rules_;
  std::int64_t next_call_number_ = 0;
  std::int64_t count_ = 0;
  std::int64_t effect_count_ = 0;
  int max_in_flight_ = 0;
  std::vector<Violation> violations_;
  std::map<std::int64_t, InFlightCall> in_flight_calls_;  // by call number
  std::map<std::string, int> in_flight_by_dispatcher_;
  std::map<std::string, MessageState> messages_;                    // by id
  std::map<std::pair<std::string, int>, std::vector<Wait>> waits_;  // by dispatcher and destination
  std::map<std::string, std::int64_t> draining_since_us_;           // by endpoint
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_
