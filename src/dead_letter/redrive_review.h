// What rules and redrive policy make of one dead letter now. The same for the store, for operators and for
// dry runs.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_REVIEW_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_REVIEW_H_

#include <optional>
#include <string>
#include <vector>

#include "dead_letter/redrive_policy.h"
#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

struct Review {
  enum class Kind : std::uint8_t {
    kRedrive,     // now, if the planner grants it
    kRetryLater,  // reviewed again at `next_review`
    kHold,        // by a rule, or since it may not be redriven any more
    kDrop,        // by a rule
    kNoMatch      // no rule matches; reviewed again at `next_review` or when the rules change
  };
  Kind kind = Kind::kNoMatch;
  const Rule* rule = nullptr;  // that decided; of the rules that were given, or a constant
  RedriveDecisionResult decision;
  std::optional<Time> next_review;
  Time deadline{0};  // kRedrive: of the redrive
  bool operator==(const Review&) const = default;
};

// The classes of the configuration, in its order, and the policy; read by several threads.
struct ReviewSettings {
  std::vector<std::string> class_names;
  std::vector<ClassSettings> classes;
  RedrivePolicySettings policy;
  // Null if no class has that name.
  const ClassSettings* FindClass(const std::string& name) const;
};

// An operator's request for a redrive takes the place of the rules.
Review ReviewDeadLetter(const DeadLetter& dead_letter, const RuleSet& rules, const ReviewSettings& settings,
                        const Timestamp& now);

// Why a dead letter waits or is held after this review, in one word for operators; empty if nothing stands
// against it.
std::string ReasonWord(const Review& review, const DeadLetter& dead_letter);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_REVIEW_H_
