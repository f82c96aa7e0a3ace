// A stub of a partner's endpoint. It executes calls with a limited capacity, a queue and rate limits, does
// not execute repeated idempotency keys again, fails as its fault timeline demands, and reports each call and
// effect to a Checker. All calls and callbacks run on the thread of the event loop.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_
#define SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/load/distribution.h"
#include "loadtest/stub/checker.h"
#include "loadtest/stub/listener.h"
#include "loadtest/stub/listener_fault_schedule.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

struct PartnerSettings {
  std::string uid = "s-0";
  Address listen = {"127.0.0.1", 0};
  int destination = 0;
  int capacity = 0;     // calls executed concurrently; 0 means no limit
  int queue_limit = 0;  // calls that wait for capacity; further calls are rejected with 503
  Distribution service_ms = Distribution::Constant(0);
  double rate = 0;               // calls per second, limited by a token bucket; 0 means no limit
  double burst = 10;             // size of the token bucket, in calls
  int max_calls_per_window = 0;  // calls within any `window_ms`; 0 means no limit
  double window_ms = 1000;
  // Whether calls beyond a rate limit are rejected with 429 and X-Retry-In-Ms, rather than with 503.
  bool announces_waits = true;
  std::size_t max_connections = 100'000;
  double warm_up_ms = 0;        // duration of the warm-up each time that the partner begins to listen
  double warm_up_slowdown = 4;  // factor by which the service time is longer during the warm-up
  // Within this time after its execution, a repeated idempotency key gets a response without being executed
  // again.
  double key_retention_ms = 10'000;
};

// What the partner knows about the message of a call. Absent values are not checked.
struct Identity {
  std::string id;
  std::optional<int> message_destination;
  std::optional<Idempotency> idempotency;
  std::string dispatcher;
};

// Reads the identity from the submission id in the header X-Request-Id.
Identity IdentifyBySubmissionId(const Call& call);

class Partner {
 public:
  // `timeline` and `checker` outlive the partner. `started_us` is the timeline's time 0, on the monotonic
  // clock. Throws std::runtime_error if the partner can't listen.
  Partner(EventLoop& loop, PartnerSettings settings, const FaultTimeline& timeline, Checker& checker,
          Random random, std::int64_t started_us);
  ~Partner();
  Partner(const Partner&) = delete;
  Partner& operator=(const Partner&) = delete;

  const PartnerSettings& settings() const { return settings_; }
  std::uint16_t port() const { return listener_.port(); }
  Listener& listener() { return listener_; }

  // Callers may replace these functions, which identify the message of a call and choose its fault. By
  // default the fault is drawn from the timeline.
  std::function<Identity(const Call&)> identify = IdentifyBySubmissionId;
  std::function<FaultSpan(const Call&)> choose_fault;

  // Called with the message's id each time that the message takes effect, and each time that its call gets a
  // response with status 200.
  std::function<void(const std::string& id)> on_effect;
  std::function<void(const std::string& id)> on_delivered;

  // Numbers of calls so far.
  std::int64_t calls = 0;
  std::int64_t delivered = 0;
  std::int64_t rejected_calls = 0;
  std::int64_t dropped_repeats = 0;  // not executed, because the idempotency key was executed before

 private:
  struct PendingCall;
  using PendingCallPtr = std::shared_ptr<PendingCall>;
  struct ExecutedKey {
    std::int64_t executed_us = 0;
    std::string key;
  };

  void OnRequest(const std::shared_ptr<Call>& call);
  void ApplyFault(const PendingCallPtr& pending);
  // Executes the call, queues it or rejects it.
  void Admit(const PendingCallPtr& pending);
  void StartWork(const PendingCallPtr& pending);
  void FinishWork(const PendingCallPtr& pending);
  // Returns the wait that the rate limits demand. If they demand none, counts the call against them and
  // returns std::nullopt.
  std::optional<double> RequiredWaitMs();
  void RecordEffect(const PendingCall& pending);
  void ForgetOldKeys(std::int64_t now_us);
  // A `wait_ms` over 0 is announced in X-Retry-In-Ms.
  void Reject(const PendingCallPtr& pending, int status, double wait_ms);
  // Reports the end of the call to the checker, once.
  void EndCall(const PendingCallPtr& pending, CallOutcome outcome, std::int64_t wait_us = 0);
  void RunAfter(double ms, std::function<void()> action);
  double NowMs() const;

  EventLoop& loop_;
  const PartnerSettings settings_;
  const FaultTimeline& timeline_;
  Checker& checker_;
  Random random_;
  int active_calls_ = 0;
  std::deque<PendingCallPtr> queue_;
  double tokens_;
  double tokens_updated_ms_ = 0;
  std::deque<double> window_starts_ms_;  // start times of the calls in the last `window_ms`
  // Whether the last call with an ambiguous fault was executed. After such a fault the client can't know
  // whether its call was executed, and every second of these calls is.
  bool executes_ambiguous_ = false;
  std::map<std::string, std::int64_t> executed_keys_;  // time of the execution in microseconds, by key
  std::deque<ExecutedKey> executed_keys_by_age_;
  std::map<std::int64_t, std::unique_ptr<Timer>> timers_;
  std::vector<std::unique_ptr<Timer>> expired_timers_;  // freed after their callbacks have returned
  std::int64_t next_timer_ = 0;
  Timer cleanup_timer_;
  Listener listener_;
  ListenerFaultSchedule fault_schedule_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_
