#include "dead_letter/redrive_planner.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace sagetally::dead_letter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// After a failed redrive no further redrive is sent to its destination for a while, which doubles with each
// further failure. The backoff is reset by a redrive that is delivered when the destination has been healthy
// for longer than kBackoffResetTime and four times the backoff.
constexpr Duration kMinDestinationBackoff = seconds(1);
constexpr Duration kMaxDestinationBackoff = seconds(60);
constexpr Duration kBackoffResetTime = seconds(30);

constexpr double kReservedCallFraction = 0.25;  // of the concurrent calls, reserved for live traffic
constexpr Duration kNoFreeCallRetryTime = milliseconds(100);  // when all other calls are in use
constexpr Duration kNoEndpointRetryTime = seconds(5);         // when a destination has no usable endpoint
constexpr double kTokenTolerance = 1e-9;                      // tokens; absorbs rounding errors
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kMaxBackoffDoublings = 30;

// The capacity of a bucket: the tokens of one second, but at least one.
double BurstOf(double rate) { return std::max(1.0, rate); }

}  // namespace

Time RedrivePlanner::TokenBucket::NextToken(double rate, double burst, Time now) {
  if (is_new) {
    is_new = false;
    tokens = 1;
    refilled_at = now;
  }
  const double gained = static_cast<double>((now - refilled_at).count()) / kMicrosecondsPerSecond * rate;
  tokens = std::min(burst, tokens + gained);
  refilled_at = now;
  if (tokens >= 1 - kTokenTolerance) return now;
  const double seconds_left = (1 - tokens) / rate;
  return now + Duration(static_cast<std::int64_t>(std::ceil(seconds_left * kMicrosecondsPerSecond)));
}

RedrivePlanner::Destination& RedrivePlanner::FindOrAdd(int destination) {
  const auto known = destinations_.find(destination);
  if (known != destinations_.end()) return known->second;
  Destination added;
  added.healthy_since = started_at_;
  return destinations_.emplace(destination, added).first->second;
}

int RedrivePlanner::MaxInFlight() const {
  const int by_calls = static_cast<int>(limits_.concurrency_fraction * limits_.max_concurrent_calls);
  const int by_messages = static_cast<int>(limits_.pending_fraction * limits_.max_pending_messages);
  return std::max(1, std::min(by_calls, by_messages));
}

void RedrivePlanner::OnCallCompleted(int destination, Outcome outcome, Duration retry_after, Time now) {
  // These outcomes do not depend on the destination's health.
  if (outcome == Outcome::kNotSent || outcome == Outcome::kCancelled) return;
  if (outcome == Outcome::kOk) return;
  Destination& state = FindOrAdd(destination);
  state.healthy_since = now;
  state.retry_after = std::max(state.retry_after, now + retry_after);
}

bool RedrivePlanner::HasRoomFor(const Load& load) const {
  const int free_calls = limits_.max_concurrent_calls - load.calls_in_flight;
  const int reserved =
      std::min(limits_.max_concurrent_calls - 1,
               static_cast<int>(std::ceil(kReservedCallFraction * limits_.max_concurrent_calls)));
  return free_calls > reserved && load.pending_messages + 1 < limits_.max_pending_messages;
}

RedrivePlanner::Grant RedrivePlanner::RequestGrant(const std::string& rule, const RedriveAction& redrive,
                                                   int destination, bool has_usable_endpoint,
                                                   const Load& load, Time now) {
  using Kind = Grant::Kind;
  Destination& state = FindOrAdd(destination);
  if (!has_usable_endpoint) return {Kind::kDestinationBlocked, now + kNoEndpointRetryTime};
  const Time ready_at =
      std::max({state.healthy_since + redrive.healthy_for, state.retry_after, state.backoff_until});
  if (ready_at > now) return {Kind::kDestinationBlocked, ready_at};
  if (state.in_flight >= state.max_in_flight) return {Kind::kDestinationBlocked, Time::max()};
  const double destination_rate = limits_.destination_rate;
  const Time destination_token = state.bucket.NextToken(destination_rate, BurstOf(destination_rate), now);
  if (destination_token > now) return {Kind::kDestinationBlocked, destination_token};
  TokenBucket& rule_bucket = rule_buckets_[rule];
  const Time rule_token =
      rule_bucket.NextToken(redrive.rate_per_second, BurstOf(redrive.rate_per_second), now);
  if (rule_token > now) return {Kind::kRuleBlocked, rule_token};
  if (in_flight_ >= MaxInFlight()) return {Kind::kAllBlocked, Time::max()};
  if (!HasRoomFor(load)) return {Kind::kAllBlocked, now + kNoFreeCallRetryTime};
  rule_bucket.tokens -= 1;
  state.bucket.tokens -= 1;
  ++state.in_flight;
  ++in_flight_;
  return {Kind::kGranted, now};
}

void RedrivePlanner::AdoptRedrive(int destination) {
  ++FindOrAdd(destination).in_flight;
  ++in_flight_;
}

void RedrivePlanner::ReleaseGrant(int destination) {
  Destination& state = FindOrAdd(destination);
  if (state.in_flight == 0) return;
  --state.in_flight;
  --in_flight_;
}

void RedrivePlanner::OnMessageCompleted(int destination, bool is_delivered, Time now) {
  ReleaseGrant(destination);
  Destination& state = FindOrAdd(destination);
  if (is_delivered) {
    state.max_in_flight = std::min(MaxInFlight(), state.max_in_flight + 1);
    // A short recovery does not reset the backoff.
    const Duration reset_time = std::max(kBackoffResetTime, 4 * state.backoff);
    if (now - state.healthy_since > reset_time) state.backoff = Duration(0);
    return;
  }
  state.max_in_flight = 1;
  // A redrive that was sent before the backoff began belongs to the same failure and does not double it.
  if (now < state.backoff_until) return;
  state.backoff = std::clamp(state.backoff * 2, kMinDestinationBackoff, kMaxDestinationBackoff);
  state.backoff_until = now + state.backoff;
}

Time RedrivePlanner::BackoffUntil(int redrives, Time now) {
  const double doublings = std::min(redrives, kMaxBackoffDoublings) - 1;
  const double backoff = static_cast<double>(limits_.initial_backoff.count()) * std::pow(2.0, doublings);
  const auto max_backoff = static_cast<double>(limits_.max_backoff.count());
  boost::random::uniform_real_distribution<double> jitter(0.5, 1.0);
  return now + Duration(static_cast<std::int64_t>(std::min(backoff, max_backoff) * jitter(random_)));
}

}  // namespace sagetally::dead_letter
