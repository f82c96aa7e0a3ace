// The protocol's rules for calls, judged from what stand-ins see. It does no I/O and knows no clock: each
// event brings its time.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_
#define SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"
#include "loadtest/report/account.h"

namespace sagetally::loadtest {

struct Rules {
  int slots = 0;  // calls out at once of one dispatcher; 0: not judged
  int most_attempts = 6;
  std::int64_t drain_us = 2'050'000;           // after it was told, an endpoint that drains gets no call
  std::int64_t wait_leeway_us = 100'000;       // calls that cross the answer with a wait
  std::int64_t repeat_window_us = 10'050'000;  // in which a keyed message that may have run may come again
};

struct CallSeen {
  std::string id, endpoint;
  int destination = 0;           // that the endpoint serves
  std::optional<int> wanted;     // the message's own; unknown: not judged
  std::optional<Repeat> repeat;  // unknown: not judged
  std::string dispatcher;        // whose slots it takes
};

enum class CallEnd {
  kDelivered,   // 200 was written
  kTurnedAway,  // surely has not run
  kMayHaveRun   // an error, a reset, silence, or it was given up
};

class Checker {
 public:
  explicit Checker(const Rules& rules) : rules_(rules) {}

  // Names the call for CallOver.
  std::int64_t CallBegan(std::int64_t now_us, const CallSeen& call);
  // `wait_us`: the wait that the answer told, which binds its whole destination.
  void CallOver(std::int64_t now_us, std::int64_t call, CallEnd end, std::int64_t wait_us = 0);
  // The message took effect at a partner.
  void Effect(std::int64_t now_us, const std::string& id, std::optional<Repeat> repeat);
  void ToldDraining(std::int64_t now_us, const std::string& endpoint);
  void ToldInService(const std::string& endpoint) { draining_.erase(endpoint); }
  // The dispatcher has been started anew: waits are over, its calls no longer hold slots.
  void Restarted(const std::string& dispatcher);

  std::int64_t count() const { return count_; }
  const std::vector<Finding>& findings() const { return findings_; }  // the first 100
  std::int64_t calls() const { return next_call_; }
  std::int64_t effects() const { return effects_seen_; }
  int most_out() const { return most_out_; }
  std::size_t out() const { return out_.size(); }  // now

 private:
  struct Out {
    CallSeen call;
    std::int64_t began_us = 0;
  };
  struct MessageSeen {
    int calls = 0, out = 0, effects = 0;
    std::optional<std::int64_t> may_have_run_us;  // begin of the first call that may have
    bool delivered = false;
  };
  struct Wait {
    std::int64_t told_us = 0, until_us = 0;
  };
  void Find(const std::string& rule, const std::string& id, const std::string& detail);

  const Rules rules_;
  std::int64_t next_call_ = 0, count_ = 0, effects_seen_ = 0;
  int most_out_ = 0;
  std::vector<Finding> findings_;
  std::map<std::int64_t, Out> out_;
  std::map<std::string, int> slots_;  // by dispatcher
  std::map<std::string, MessageSeen> messages_;
  std::map<int, std::vector<Wait>> waits_;  // by destination
  std::map<std::string, std::int64_t> draining_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_CHECKER_H_
