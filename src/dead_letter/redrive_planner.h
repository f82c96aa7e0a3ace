// The resend planner: which kept messages are due under the rules, and when a resend may enter beside live
// traffic. No I/O; all times by the wall clock of the process, which never goes back within it.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_PLANNER_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_PLANNER_H_

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dead_letter/redrive_policy.h"
#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

// What rules and judge make of one message, for storage, planner and dry runs alike.
struct Review {
  enum class Kind : std::uint8_t {
    kRedrive,  // now, if the planner grants it
    kLater,    // looked at again at `again`
    kHold,     // by a rule, or since nothing of it may be sent again
    kDrop,     // by a rule
    kNothing   // no rule matches; looked at again at `again` or when the rules change
  };
  Kind kind = Kind::kNothing;
  const Rule* rule = nullptr;
  RedriveDecisionResult decision;
  std::optional<Time> next_review;
  Time deadline{0};  // kSend: of the resend
  bool operator==(const Review&) const = default;
};

struct ReviewSettings {
  std::vector<std::string> class_names;
  std::vector<ClassSettings> classes;
  RedrivePolicySettings policy;
  const ClassSettings* Class(const std::string& name) const;
};

Review ReviewOf(const DeadLetter& kept, const RuleSet& rules, const ReviewSettings& settings,
                const Timestamp& now);

class RedrivePlanner {
 public:
  struct Limits {
    int max_concurrent_calls = 1, max_pending_messages = 1;
    double concurrency_fraction = 0.1, held_share = 0.1;
    double destination_rate = 5;  // a second
    Duration backoff = std::chrono::seconds(2), backoff_most = std::chrono::minutes(10);
  };
  struct Load {  // of the dispatcher, now
    int calls_in_flight = 0;
    int pending_messages = 0;
  };
  struct Grant {
    enum class Kind : std::uint8_t { kGranted, kDestination, kRule, kAll };  // else: what has to wait
    Kind kind = Kind::kGranted;
    Time retry_after{0};  // not before; Time::max(): when a resend ends
    bool granted() const { return kind == Kind::kGranted; }
    bool operator==(const Grant&) const = default;
  };

  RedrivePlanner(const Limits& limits, std::uint64_t seed, Time now)
      : limits_(limits), random_(seed), start_(now) {}

  // News of a destination, from live calls and resends alike.
  void OnCallCompleted(int destination, Outcome outcome, Duration told_wait, Time now);
  // Asks for a place; a grant takes it until Ended or Returned.
  Grant RequestGrant(const std::string& rule, const RedriveAction& resend, int destination, bool up,
                     const Load& load, Time now);
  void Adopt(int destination);     // one that was under way before a restart takes its place
  void Returned(int destination);  // granted, but nothing was sent
  // A resend ended. `delivered` lets more out at once, up to the shares; a failure goes back to one.
  void OnMessageCompleted(int destination, bool delivered, Time now);
  // When a message that failed its `resends`-th resend may be looked at again.
  Time BackoffUntil(int resends, Time now);
  int in_flight_count() const { return out_; }
  int MaxInFlight() const;

 private:
  struct Bucket {
    double tokens = 1;
    Time at{0};
    bool fresh = true;
    // When the next token is there; takes none.
    Time Next(double rate, double burst, Time now);
  };
  struct Destination {
    Time well_since{0}, wait_until{0}, pause_until{0};
    Duration pause{0};
    int allowed = 1, out = 0;
    Bucket bucket;
  };
  Destination& At(int destination);

  Limits limits_;
  boost::random::mt19937_64 random_;
  Time start_;
  std::map<int, Destination> destinations_;
  std::map<std::string, Bucket> rules_;
  int out_ = 0;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_PLANNER_H_
