// Spreads the reviews of a rule's messages over time, at the rule's rate, while the rule is blocked by that
// rate. The redrive loop owns it and reports until when a rule is blocked; the store asks for the time at
// which each message of such a rule is to be reviewed. Not thread-safe: the loop gives the store's thread a
// copy.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_PACER_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_PACER_H_

#include <map>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally::dead_letter {

class RulePacer {
 public:
  // Records that the rule can't redrive anything before `until`.
  void BlockUntil(const std::string& rule, Time until);
  bool IsBlocked(const std::string& rule, Time now) const;
  // Returns the time of the next review slot of a blocked rule. The first slot is at the end of the block;
  // each call allocates one slot, and the slots follow each other at the rule's rate.
  Time TakeSlot(const std::string& rule, double rate_per_second);
  // Removes the rules that are no longer blocked and whose slots have all passed.
  void EraseExpired(Time now);
  void Clear() { paces_.clear(); }

 private:
  struct Pace {
    Time blocked_until{0};
    Time next_slot{0};
  };
  std::map<std::string, Pace> paces_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_PACER_H_
