// Estimates in which older observations count less: a rate of events, a score between 0 and 1, a count of
// failures, and a limit that was lowered. The dispatch policy uses them, on one thread at a time.
#ifndef SAGETALLY_SRC_ESTIMATORS_DECAY_H_
#define SAGETALLY_SRC_ESTIMATORS_DECAY_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// A rate of events, in events a second, averaged over about the last kWindowSeconds.
class DecayedRate {
 public:
  // Returns the events a second as of `now`.
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

// A score that moves towards targets and decays exponentially to 0 between moves.
class DecayedScore {
 public:
  // Between moves the score falls to 1/e of its value in `time_constant`, which is taken to be 1 ms at least.
  explicit DecayedScore(Duration time_constant)
      : time_constant_seconds_(std::max(kMinTimeConstantSeconds, ToSeconds(time_constant))) {}

  // Returns the score as of `now`.
  double At(Time now) const {
    return score_ * std::exp(-ToSeconds(now - updated_at_) / time_constant_seconds_);
  }

  // Moves the score by the fraction `weight` of its distance to `target`.
  void MoveToward(double target, double weight, Time now) {
    score_ = At(now) + weight * (target - At(now));
    updated_at_ = now;
  }

 private:
  static constexpr double kMinTimeConstantSeconds = 1e-3;

  double time_constant_seconds_;
  double score_ = 0;
  Time updated_at_{0};
};

// Counts calls and the failures among them. Each further call makes the earlier ones count less.
struct DecayedFailureCount {
  // Each call multiplies the counts by this, so that they cover about the last hundred calls.
  static constexpr double kDecay = 0.99;
  // FailsMore is true only if there are this many failures, about one, more than the ratio allows.
  static constexpr double kMinFailures = 0.9;

  double failures = 0;
  double calls = 0;

  // Counts one call.
  void Add(bool failed) {
    failures = kDecay * failures + (failed ? 1 : 0);
    calls = kDecay * calls + 1;
  }

  // Returns whether these calls fail more than `ratio` times as often as `others`. Because few calls prove
  // nothing, `assumed_calls` calls with one failure among them are added to `others`.
  bool FailsMore(double ratio, const DecayedFailureCount& others, double assumed_calls) const {
    return failures > kMinFailures + ratio * calls * (others.failures + 1) / (others.calls + assumed_calls);
  }
};

// A limit on a duration. Once set, it doubles with each interval until it no longer limits anything.
class DoublingLimit {
 public:
  // `interval` is the time in which the limit doubles.
  explicit DoublingLimit(Duration interval) : interval_(interval) {}

  // Returns the limit as of `now`, or Duration::max() if there is none.
  Duration At(Time now) const {
    if (!limit_) return Duration::max();
    const double doublings = ToSeconds(now - set_at_) / ToSeconds(interval_);
    if (doublings > kMaxDoublings) return Duration::max();
    return FromSeconds(ToSeconds(*limit_) * std::exp2(doublings));
  }

  // Sets the limit as of `now`. A limit of 0 stays 0 until it is removed by time.
  void Set(Duration limit, Time now) {
    limit_ = limit;
    set_at_ = now;
  }
  // Removes the limit.
  void Reset() { limit_.reset(); }

 private:
  // After so many doublings, a thousandfold, there is no limit any more.
  static constexpr double kMaxDoublings = 10;

  Duration interval_;
  std::optional<Duration> limit_;
  Time set_at_{0};
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_DECAY_H_
