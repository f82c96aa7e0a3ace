#include "dead_letter/redrive_review.h"

#include <algorithm>

#include "dead_letter/rule_evaluation.h"

namespace sagetally::dead_letter {
namespace {

using std::chrono::seconds;

// A message whose redrive is in flight is reviewed again after this time.
constexpr Duration kReviewInterval = seconds(1);

// The rule that takes the place of the configured rules for a redrive that an operator requested. Its name is
// stored with the message, so it must not change.
const Rule& OperatorRule() {
  static const Rule kRule = {"by-hand",
                             {},
                             {RuleAction::Kind::kRedrive,
                              {.rate_per_second = 5,
                               .max_redrives = 1000,
                               .max_age = Duration::max(),
                               .call_deadline = seconds(20),
                               .healthy_for = seconds(0)}},
                             0};
  return kRule;
}

Review::Kind KindOf(RuleAction::Kind action) {
  return action == RuleAction::Kind::kDrop ? Review::Kind::kDrop : Review::Kind::kHold;
}

}  // namespace

const ClassSettings* ReviewSettings::FindClass(const std::string& name) const {
  const auto found = std::find(class_names.begin(), class_names.end(), name);
  if (found == class_names.end()) return nullptr;
  return &classes[static_cast<std::size_t>(found - class_names.begin())];
}

Review ReviewDeadLetter(const DeadLetter& dead_letter, const RuleSet& rules, const ReviewSettings& settings,
                        const Timestamp& now) {
  const bool by_operator = dead_letter.requested_by_operator;
  Review review;
  review.rule = by_operator ? &OperatorRule() : FirstMatch(rules, dead_letter, now.wall_time);
  review.decision =
      DecideRedrive(dead_letter, settings.FindClass(dead_letter.class_name), settings.policy, now);
  if (review.rule == nullptr) {
    review.next_review = NextChange(rules, dead_letter, now.wall_time);
    return review;
  }
  const RuleAction& action = review.rule->action;
  if (action.kind != RuleAction::Kind::kRedrive) {
    review.kind = KindOf(action.kind);
    return review;
  }
  const RedriveAction& redrive = action.redrive;
  const bool is_too_old = !by_operator && now.wall_time - dead_letter.ended_at > redrive.max_age;
  const bool is_exhausted = dead_letter.redrives >= redrive.max_redrives;
  if (review.decision.decision == RedriveDecision::kForbidden || is_exhausted || is_too_old) {
    review.kind = Review::Kind::kHold;
    return review;
  }
  if (review.decision.decision == RedriveDecision::kRetryLater || dead_letter.not_before > now.wall_time) {
    review.kind = Review::Kind::kRetryLater;
    review.next_review = std::max(dead_letter.not_before, now.wall_time + kReviewInterval);
    return review;
  }
  review.kind = Review::Kind::kRedrive;
  review.deadline =
      std::min(now.wall_time + redrive.call_deadline, review.decision.latest_send_time.value_or(Time::max()));
  return review;
}

std::string ReasonWord(const Review& review, const DeadLetter& dead_letter) {
  if (review.decision.decision != RedriveDecision::kAllowed) return std::string(Name(review.decision.reason));
  if (review.kind != Review::Kind::kHold) return "";
  const RuleAction& action = review.rule->action;
  if (action.kind == RuleAction::Kind::kHold) return "rule";
  return dead_letter.redrives >= action.redrive.max_redrives ? "times_used_up" : "window_over";
}

}  // namespace sagetally::dead_letter
