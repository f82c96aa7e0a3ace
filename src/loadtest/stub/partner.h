// A stub of a partner's endpoint: works on calls with a capacity, a queue and rate limits, drops repeats of
// idempotency keys, fails as its timeline says, and reports all that it sees to a Checker. Lives on one event
// loop; no threads.
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
  int capacity = 0;     // calls worked on at once; 0: no limit
  int queue_limit = 0;  // calls that wait; further ones get 503
  Distribution service_ms = Distribution::Constant(0);
  double rate = 0;               // calls a second, by token bucket; 0: no limit
  double burst = 10;             // size of the token bucket
  int max_calls_per_window = 0;  // in any `window_ms`; 0: no limit
  double window_ms = 1000;
  bool announces_waits = true;  // limits answer with 429 and X-Retry-In-Ms; else with 503
  std::size_t max_connections = 100'000;
  double warm_up_ms = 0;             // after each start
  double warm_up_slowdown = 4;       // by which work takes longer while warming up
  double key_retention_ms = 10'000;  // repeats of an idempotency key are answered and not executed again
};

// What the partner knows of a call's message.
struct Identity {
  std::string id;
  std::optional<int> message_destination;
  std::optional<Idempotency> idempotency;
  std::string dispatcher;
};

// From the submission id in X-Request-Id.
Identity IdentifyBySubmissionId(const Call& call);

class Partner {
 public:
  // `timeline` and `checker` outlive the partner; `started_us` is time 0 of the timeline. Throws
  // std::runtime_error if it can't listen.
  Partner(EventLoop& loop, PartnerSettings settings, const FaultTimeline& timeline, Checker& checker,
          Random random, std::int64_t started_us);
  ~Partner();
  Partner(const Partner&) = delete;
  Partner& operator=(const Partner&) = delete;

  const PartnerSettings& settings() const { return settings_; }
  std::uint16_t port() const { return listener_.port(); }
  Listener& listener() { return listener_; }

  // Replaceable: how a call is identified, and which fault it gets (by default the timeline's).
  std::function<Identity(const Call&)> identify = IdentifyBySubmissionId;
  std::function<FaultSpan(const Call&)> choose_fault;

  // Called with the message's id when it takes effect, and when 200 is written.
  std::function<void(const std::string& id)> on_effect;
  std::function<void(const std::string& id)> on_delivered;

  std::int64_t calls = 0;
  std::int64_t delivered = 0;
  std::int64_t rejected_calls = 0;
  std::int64_t dropped_repeats = 0;  // of idempotency keys

 private:
  struct PendingCall;
  using PendingCallPtr = std::shared_ptr<PendingCall>;
  struct ExecutedKey {
    std::int64_t at_us = 0;
    std::string key;
  };

  void OnRequest(const std::shared_ptr<Call>& call);
  void ApplyFault(const PendingCallPtr& pending);
  // Works on the call, queues it or rejects it.
  void Admit(const PendingCallPtr& pending);
  void StartWork(const PendingCallPtr& pending);
  void FinishWork(const PendingCallPtr& pending);
  // The wait that the rate limits demand; none: the call was counted and may start.
  std::optional<double> RequiredWaitMs();
  void RecordEffect(const PendingCall& pending);
  void ForgetOldKeys(std::int64_t now_us);
  void Reject(const PendingCallPtr& pending, int status, double wait_ms);
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
  std::deque<double> window_starts_ms_;  // of the calls in the last `window_ms`
  // Of the faults after which a client can't know, every second one is executed.
  bool executes_ambiguous_ = false;
  std::map<std::string, std::int64_t> executed_keys_;  // with the time of the execution
  std::deque<ExecutedKey> executed_keys_by_age_;
  std::map<std::int64_t, std::unique_ptr<Timer>> timers_;
  std::vector<std::unique_ptr<Timer>> expired_timers_;  // freed once their own code has returned
  std::int64_t next_timer_ = 0;
  Timer cleanup_timer_;
  Listener listener_;
  ListenerFaultSchedule fault_schedule_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_
