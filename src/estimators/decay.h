// Estimates that fade: a rate of events, a score between 0 and 1, a count of failures, a limit that was
// lowered.
#ifndef SAGETALLY_SRC_ESTIMATORS_DECAY_H_
#define SAGETALLY_SRC_ESTIMATORS_DECAY_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Events a second, averaged over about the last kWindowSeconds.
class DecayedRate {
 public:
  // Events a second as of `now`.
  double At(Time now) const {
    return rate_ * std::exp(static_cast<double>((updated_at_ - now).count()) / 1e6 / kWindowSeconds);
  }

  // Counts one event.
  void Add(Time now) {
    rate_ = At(now) + 1 / kWindowSeconds;
    updated_at_ = now;
  }

 private:
  static constexpr double kWindowSeconds = 10;

  double rate_ = 0;
  Time updated_at_{0};
};

// A score that is moved towards targets and decays to 0 between moves.
class DecayedScore {
 public:
  explicit DecayedScore(Duration time_constant)
      : seconds_(std::max(kMinTimeConstantSeconds, ToSeconds(time_constant))) {}

  // The score as of `now`.
  double At(Time now) const { return score_ * std::exp(-ToSeconds(now - updated_at_) / seconds_); }

  // Moves the score by the fraction `weight` of its distance to `target`.
  void MoveToward(double target, double weight, Time now) {
    score_ = At(now) + weight * (target - At(now));
    updated_at_ = now;
  }

 private:
  static constexpr double kMinTimeConstantSeconds = 1e-3;

  double seconds_;
  double score_ = 0;
  Time updated_at_{0};
};

// Counts of calls and of failures among them; each further call makes the earlier ones count less.
struct DecayedFailureCount {
  static constexpr double kDecay = 0.99;       // a call: remembers about a hundred
  static constexpr double kMinFailures = 0.9;  // about one

  double failures = 0;
  double calls = 0;

  void Add(bool failed) {
    failures = kDecay * failures + (failed ? 1 : 0);
    calls = kDecay * calls + 1;
  }

  // Whether these calls fail at least `ratio` times as often as `others`, which are taken to be
  // `assumed_calls` more with one failure among them: few calls prove nothing.
  bool FailsMore(double ratio, const DecayedFailureCount& others, double assumed_calls) const {
    return failures > kMinFailures + ratio * calls * (others.failures + 1) / (others.calls + assumed_calls);
  }
};

// A limit on a duration that, once lowered, doubles at a fixed interval until it is gone.
class DoublingLimit {
 public:
  explicit DoublingLimit(Duration interval) : interval_(interval) {}

  // The limit as of `now`; Duration::max() if there is none.
  Duration At(Time now) const {
    if (!limit_) return Duration::max();
    const double doublings = ToSeconds(now - set_at_) / ToSeconds(interval_);
    if (doublings > kMaxDoublings) return Duration::max();
    return FromSeconds(ToSeconds(*limit_) * std::exp2(doublings));
  }

  void Set(Duration limit, Time now) {
    limit_ = limit;
    set_at_ = now;
  }
  void Reset() { limit_.reset(); }

 private:
  static constexpr double kMaxDoublings = 10;  // a thousandfold: no limit any more

  Duration interval_;
  std::optional<Duration> limit_;
  Time set_at_{0};
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_DECAY_H_
