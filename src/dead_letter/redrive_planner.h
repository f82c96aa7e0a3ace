// The redrive planner: when a redrive may enter beside live traffic. It limits redrives by rule, by
// destination and in all, lets a destination recover after failures, and leaves slots free for live messages.
// The redrive loop owns it. No I/O; all times are by the wall clock of the process, which never goes back.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_PLANNER_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_PLANNER_H_

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <string>

#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

class RedrivePlanner {
 public:
  struct Limits {
    int max_concurrent_calls = 1, max_pending_messages = 1;     // of the dispatcher
    double concurrency_fraction = 0.1, pending_fraction = 0.1;  // what redrives may take of these
    double destination_rate = 5;                                // redrives a second
    Duration initial_backoff = std::chrono::seconds(2), max_backoff = std::chrono::minutes(10);
  };
  struct Load {  // of the dispatcher, now
    int calls_in_flight = 0;
    int pending_messages = 0;
  };
  struct Grant {
    // All but the first say what has to wait.
    enum class Kind : std::uint8_t { kGranted, kDestinationBlocked, kRuleBlocked, kAllBlocked };
    Kind kind = Kind::kGranted;
    Time retry_after{0};  // not before; Time::max(): when a redrive ends
    bool granted() const { return kind == Kind::kGranted; }
    bool operator==(const Grant&) const = default;
  };

  // `seed`: of the jitter.
  RedrivePlanner(const Limits& limits, std::uint64_t seed, Time now)
      : limits_(limits), random_(seed), started_at_(now) {}

  // Of live calls and redrives alike: tells how healthy the destination is.
  void OnCallCompleted(int destination, Outcome outcome, Duration retry_after, Time now);
  // Asks for a slot. One that is granted is taken until OnMessageCompleted or ReleaseGrant.
  Grant RequestGrant(const std::string& rule, const RedriveAction& redrive, int destination,
                     bool has_usable_endpoint, const Load& load, Time now);
  // A redrive that was in flight before a restart takes a slot.
  void AdoptRedrive(int destination);
  // Granted, but nothing was sent.
  void ReleaseGrant(int destination);
  // A redrive ended. Each success lets one more run at once, up to the limits; a failure reduces them to one.
  void OnMessageCompleted(int destination, bool is_delivered, Time now);
  // When a message whose `redrives`-th redrive failed may be redriven again: exponential backoff with jitter.
  Time BackoffUntil(int redrives, Time now);

  int in_flight_count() const { return in_flight_; }
  int MaxInFlight() const;

 private:
  struct TokenBucket {
    double tokens = 1;
    Time refilled_at{0};
    bool is_new = true;
    // When the next token is there; takes none.
    Time NextToken(double rate, double burst, Time now);
  };
  struct Destination {
    Time healthy_since{0};  // no failure was seen since
    Time retry_after{0};    // as the destination asked
    Time backoff_until{0};
    Duration backoff{0};  // after the last failure
    int max_in_flight = 1;
    int in_flight = 0;
    TokenBucket bucket;
  };
  Destination& FindOrAdd(int destination);
  bool HasRoomFor(const Load& load) const;

  Limits limits_;
  boost::random::mt19937_64 random_;
  Time started_at_;
  std::map<int, Destination> destinations_;
  std::map<std::string, TokenBucket> rule_buckets_;
  int in_flight_ = 0;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_PLANNER_H_
