#include "dead_letter/redrive_planner.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace sagetally::dead_letter {
namespace {

using std::chrono::seconds;

// After a failed resend its destination rests for so long, doubled with each further one.
constexpr Duration kPause = seconds(1), kMostPause = seconds(60), kForgetPause = seconds(30);
constexpr double kSlotsLeftFree = 0.25;                           // for live traffic, before a resend enters
constexpr Duration kSlotsAgain = std::chrono::milliseconds(100);  // when all are in use

Duration Micro(double seconds) { return Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6))); }

}  // namespace

const ClassSettings* ReviewSettings::Class(const std::string& name) const {
  const auto at = std::find(class_names.begin(), class_names.end(), name);
  return at == class_names.end() ? nullptr : &classes[static_cast<std::size_t>(at - class_names.begin())];
}

Review ReviewOf(const DeadLetter& k, const RuleSet& rules, const ReviewSettings& settings,
                const Timestamp& now) {
  static const Rule kByHand{
      "by-hand",
      {},
      {RuleAction::Kind::kRedrive, RedriveAction{5, 1000, Duration::max(), seconds(20), seconds(0)}},
      0};
  Review r;
  r.rule = k.requested_by_operator ? &kByHand : FirstMatch(rules, k, now.wall_time);
  r.decision = DecideRedrive(k, settings.Class(k.class_name), settings.policy, now);
  const std::optional<Time> change = NextChange(rules, k, now.wall_time);
  if (r.rule == nullptr) {
    r.next_review = change;
    return r;
  }
  if (r.rule->then.kind != RuleAction::Kind::kRedrive) {
    r.kind = r.rule->then.kind == RuleAction::Kind::kDrop ? Review::Kind::kDrop : Review::Kind::kHold;
    return r;
  }
  const RedriveAction& resend = r.rule->then.redrive;
  const bool window_over = !k.requested_by_operator && now.wall_time - k.ended_at > resend.window;
  if (r.decision.decision == RedriveDecision::kForbidden || k.redrives >= resend.times || window_over) {
    r.kind = Review::Kind::kHold;
    return r;
  }
  if (r.decision.decision == RedriveDecision::kRetryLater || k.not_before > now.wall_time) {
    r.kind = Review::Kind::kLater;
    r.next_review = std::max(k.not_before, now.wall_time + seconds(1));
    return r;
  }
  r.kind = Review::Kind::kRedrive;
  r.deadline = std::min(now.wall_time + resend.deadline, r.decision.latest_send_time.value_or(Time::max()));
  return r;
}

Time RedrivePlanner::Bucket::Next(double rate, double burst, Time now) {
  if (fresh) {
    fresh = false;
    tokens = 1;
    at = now;
  }
  const double gained = static_cast<double>((now - at).count()) / 1e6 * rate;
  tokens = std::min(burst, tokens + gained);
  at = now;
  if (tokens >= 1 - 1e-9) return now;
  return now + Micro((1 - tokens) / rate);
}

RedrivePlanner::Destination& RedrivePlanner::At(int destination) {
  const auto at = destinations_.find(destination);
  if (at != destinations_.end()) return at->second;
  Destination d;
  d.well_since = start_;  // no failure was seen since
  return destinations_.emplace(destination, d).first->second;
}

int RedrivePlanner::MaxInFlight() const {
  const int by_slots = static_cast<int>(limits_.concurrency_fraction * limits_.max_concurrent_calls);
  const int by_held = static_cast<int>(limits_.held_share * limits_.max_pending_messages);
  return std::max(1, std::min(by_slots, by_held));
}

void RedrivePlanner::OnCallCompleted(int destination, Outcome outcome, Duration told_wait, Time now) {
  if (outcome == Outcome::kNotSent || outcome == Outcome::kCancelled) return;  // tell nothing of its health
  if (outcome == Outcome::kOk && !destinations_.contains(destination)) return;
  Destination& d = At(destination);
  if (outcome == Outcome::kOk) return;
  d.well_since = now;
  d.wait_until = std::max(d.wait_until, now + told_wait);
}

RedrivePlanner::Grant RedrivePlanner::RequestGrant(const std::string& rule, const RedriveAction& resend,
                                                   int destination, bool up, const Load& load, Time now) {
  Destination& d = At(destination);
  if (!up) return {Grant::Kind::kDestination, now + seconds(5)};
  const Time well_at = d.well_since + resend.after;
  const Time ready = std::max({well_at, d.wait_until, d.pause_until});
  if (ready > now) return {Grant::Kind::kDestination, ready};
  if (d.out >= d.allowed) return {Grant::Kind::kDestination, Time::max()};
  if (const Time next = d.bucket.Next(limits_.destination_rate, std::max(1.0, limits_.destination_rate), now);
      next > now) {
    return {Grant::Kind::kDestination, next};
  }
  Bucket& bucket = rules_[rule];
  if (const Time next = bucket.Next(resend.rate, std::max(1.0, resend.rate), now); next > now) {
    return {Grant::Kind::kRule, next};
  }
  if (out_ >= MaxInFlight()) return {Grant::Kind::kAll, Time::max()};
  const int free = limits_.max_concurrent_calls - load.calls_in_flight;
  const int kept_free = std::min(limits_.max_concurrent_calls - 1,
                                 static_cast<int>(std::ceil(kSlotsLeftFree * limits_.max_concurrent_calls)));
  if (free <= kept_free || load.pending_messages + 1 >= limits_.max_pending_messages) {
    return {Grant::Kind::kAll, now + kSlotsAgain};
  }
  bucket.tokens -= 1;
  d.bucket.tokens -= 1;
  ++d.out;
  ++out_;
  return {Grant::Kind::kGranted, now};
}

void RedrivePlanner::Adopt(int destination) {
  ++At(destination).out;
  ++out_;
}

void RedrivePlanner::Returned(int destination) {
  Destination& d = At(destination);
  if (d.out == 0) return;
  --d.out;
  --out_;
}

void RedrivePlanner::OnMessageCompleted(int destination, bool delivered, Time now) {
  Returned(destination);
  Destination& d = At(destination);
  if (delivered) {
    d.allowed = std::min(MaxInFlight(), d.allowed + 1);
    // A short recovery does not make the rest be forgotten.
    if (now - d.well_since > std::max(kForgetPause, 4 * d.pause)) d.pause = Duration(0);
    return;
  }
  d.allowed = 1;
  if (now < d.pause_until) return;  // sent before the rest began: the same failure
  d.pause = std::clamp(d.pause * 2, kPause, kMostPause);
  d.pause_until = now + d.pause;
}

Time RedrivePlanner::BackoffUntil(int resends, Time now) {
  const double doubled =
      static_cast<double>(limits_.backoff.count()) * std::pow(2.0, std::min(resends, 30) - 1);
  const double most = static_cast<double>(limits_.backoff_most.count());
  boost::random::uniform_real_distribution<double> jitter(0.5, 1.0);
  return now + Duration(static_cast<std::int64_t>(std::min(doubled, most) * jitter(random_)));
}

}  // namespace sagetally::dead_letter
