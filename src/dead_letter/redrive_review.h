// Reviews one dead letter: applies the rules and the redrive policy to decide what happens to it now. The
// store and dry runs use the same function. Functions without state, safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_REVIEW_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_REVIEW_H_

#include <optional>
#include <string>
#include <vector>

#include "dead_letter/redrive_policy.h"
#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

// The result of a review.
struct Review {
  enum class Kind : std::uint8_t {
    kRedrive,     // may be redriven now, if the planner grants a slot
    kRetryLater,  // reviewed again at `next_review`
    kHold,        // a rule holds it, or it may no longer be redriven
    kDrop,        // a rule drops it
    kNoMatch      // no rule matches; reviewed again at `next_review` or when the rules change
  };
  Kind kind = Kind::kNoMatch;
  const Rule* rule = nullptr;  // the rule that decided: one of the given rules, or a static constant
  RedriveDecisionResult decision;
  std::optional<Time> next_review;
  Time deadline{0};  // kRedrive: wall-clock deadline of the redrive
  bool operator==(const Review&) const = default;
};

// The configured classes, in the order of the configuration, and the redrive policy. Several threads read it.
struct ReviewSettings {
  std::vector<std::string> class_names;
  std::vector<ClassSettings> classes;
  RedrivePolicySettings policy;
  // Returns null if no class has that name.
  const ClassSettings* FindClass(const std::string& name) const;
};

// Reviews `dead_letter` at `now`. If an operator has requested a redrive of it, the rules are not applied.
Review ReviewDeadLetter(const DeadLetter& dead_letter, const RuleSet& rules, const ReviewSettings& settings,
                        const Timestamp& now);

// Returns the word that tells operators why a dead letter waits or is held after this review; empty if
// nothing prevents its redrive.
std::string ReasonWord(const Review& review, const DeadLetter& dead_letter);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_REVIEW_H_
