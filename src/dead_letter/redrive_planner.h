// The redrive planner decides when a redrive may be sent alongside live traffic. It limits redrives by rule,
// by destination and in total, lets a destination recover after failures, and reserves slots for live
// messages. The redrive loop owns it and uses it on the event loop. No I/O. All times are wall-clock times of
// the process's clock, which never goes back.
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
    int max_concurrent_calls = 1, max_pending_messages = 1;     // limits of the whole dispatcher
    double concurrency_fraction = 0.1, pending_fraction = 0.1;  // the fraction of each that redrives may use
    double destination_rate = 5;                                // redrives per second and destination
    Duration initial_backoff = std::chrono::seconds(2), max_backoff = std::chrono::minutes(10);
  };
  struct Load {  // present load of the dispatcher, by live messages and redrives
    int calls_in_flight = 0;
    int pending_messages = 0;
  };
  struct Grant {
    // The kinds other than kGranted say whether the destination, the rule or every redrive has to wait.
    enum class Kind : std::uint8_t { kGranted, kDestinationBlocked, kRuleBlocked, kAllBlocked };
    Kind kind = Kind::kGranted;
    Time retry_after{0};  // when to ask again; Time::max(): after a redrive has completed
    bool granted() const { return kind == Kind::kGranted; }
    bool operator==(const Grant&) const = default;
  };

  // `seed` seeds the jitter of the backoff.
  RedrivePlanner(const Limits& limits, std::uint64_t seed, Time now)
      : limits_(limits), random_(seed), started_at_(now) {}

  // Called for every completed call, of live messages and of redrives, to follow the destination's health.
  void OnCallCompleted(int destination, Outcome outcome, Duration retry_after, Time now);
  // Requests a slot. A granted slot is in use until OnMessageCompleted or ReleaseGrant.
  Grant RequestGrant(const std::string& rule, const RedriveAction& redrive, int destination,
                     bool has_usable_endpoint, const Load& load, Time now);
  // Allocates a slot, regardless of the limits, for a redrive that was in flight before a restart.
  void AdoptRedrive(int destination);
  // Frees the slot of a redrive that was granted but not sent.
  void ReleaseGrant(int destination);
  // Called when a redrive has completed. Each success raises the number of concurrent redrives to the
  // destination by one, up to the limits; a failure reduces it to one.
  void OnMessageCompleted(int destination, bool is_delivered, Time now);
  // Returns when a message may be redriven again after its `redrives`-th redrive failed. The backoff is
  // exponential with jitter.
  Time BackoffUntil(int redrives, Time now);

  int in_flight_count() const { return in_flight_; }
  // The limit of redrives in flight over all destinations; at least 1.
  int MaxInFlight() const;

 private:
  struct TokenBucket {
    double tokens = 1;
    Time refilled_at{0};
    bool is_new = true;
    // Refills the bucket and returns when a token is available, without consuming it.
    Time NextToken(double rate, double burst, Time now);
  };
  struct Destination {
    Time healthy_since{0};  // time of the last failed call, or the start of the planner
    Time retry_after{0};    // until when the destination asked to wait
    Time backoff_until{0};
    Duration backoff{0};  // length of the last backoff
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
