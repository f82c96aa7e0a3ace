// A partner's endpoint: works on calls with a capacity, a queue and limits, remembers keys, goes wrong by
// script, and tells a checker of all it sees.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_
#define SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "loadtest/load/distribution.h"
#include "loadtest/stub/checker.h"
#include "loadtest/stub/listener.h"
#include "loadtest/stub/listener_script.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

struct PartnerSettings {
  std::string uid = "s-0";
  Address listen = {"127.0.0.1", 0};
  int destination = 0;
  int capacity = 0, queue = 0;  // calls worked on at once, and waiting; capacity 0: no limit
  Distribution service_ms = Distribution::Constant(0);
  double rate = 0, burst = 10;  // calls a second, by token bucket; 0: no limit
  int window_calls = 0;         // in each `window_ms`; 0: no limit
  double window_ms = 1000;
  bool tell_waits = true;  // 429 with X-Retry-In-Ms; else 503
  std::size_t connections = 100'000;
  double cold_ms = 0, cold_times = 4;  // so long after a start, work takes so many times as long
  double key_memory_ms = 10'000;       // repeats of a key are answered and not done again
};

struct Identity {  // of a call, as far as the partner can tell
  std::string id;
  std::optional<int> wanted;
  std::optional<Repeat> repeat;
  std::string dispatcher;
};
Identity IdentityByHandIn(const Call& call);

class Partner {
 public:
  // `started`: time 0 of the timeline. Timeline and checker outlive the partner.
  Partner(EventLoop& loop, PartnerSettings settings, const Timeline& timeline, Checker& checker,
          Random random, std::int64_t started_us);
  ~Partner();
  Partner(const Partner&) = delete;
  Partner& operator=(const Partner&) = delete;

  const PartnerSettings& settings() const { return settings_; }
  std::uint16_t port() const { return listener_.port(); }
  Listener& listener() { return listener_; }

  // Replaceable: who a call is, and what befalls it.
  std::function<Identity(const Call&)> identify = IdentityByHandIn;
  std::function<FaultSpan(const Call&)> decide;
  std::function<void(const std::string&id)> on_effect, on_delivered;

  std::int64_t calls = 0, delivered = 0, turned_away = 0, dropped_repeats = 0;

 private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;
  void Called(std::shared_ptr<Call> call);
  void Befall(const WorkPtr& work);
  void Take(const WorkPtr& work);
  void Begin(const WorkPtr& work);
  void Done(const WorkPtr& work);
  // The wait that the limits ask for; none: the call may begin.
  std::optional<double> LimitMs();
  void Effect(const Work& work);
  void TurnAway(const WorkPtr& work, int code, double wait_ms);
  void Over(const WorkPtr& work, CallEnd end, std::int64_t wait_us = 0);
  void After(double ms, std::function<void()> then);
  double NowMs() const;

  EventLoop& loop_;
  const PartnerSettings settings_;
  const Timeline& timeline_;
  Checker& checker_;
  Random random_;
  int working_ = 0;
  std::deque<WorkPtr> queue_;
  double tokens_, tokens_at_ms_ = 0;
  std::deque<double> window_;  // begin of each call in it
  bool flip_ = false;          // every second fault that may have run has
  std::map<std::string, std::int64_t> remembered_us_;
  std::deque<std::pair<std::int64_t, std::string>> remembered_order_;
  std::map<std::int64_t, std::unique_ptr<Timer>> timers_;
  std::vector<std::unique_ptr<Timer>> fired_;
  std::int64_t next_timer_ = 0;
  Timer sweep_;
  Listener listener_;
  ListenerScript script_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_PARTNER_H_
