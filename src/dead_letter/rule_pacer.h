// Spreads the messages of each redrive rule over time by the rule's rate. The redrive loop owns it and
// reports when a rule may redrive again; the store asks for the time at which a message of such a rule is to
// be reviewed. Not thread-safe: the loop hands the store's thread a copy.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_PACER_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_PACER_H_

#include <map>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally::dead_letter {

class RulePacer {
 public:
  // The rule can't redrive anything before `until`.
  void BlockUntil(const std::string& rule, Time until);
  bool IsBlocked(const std::string& rule, Time now) const;
  // For a blocked rule: the next time in the series from the end of the block on, one for each message, at
  // the rule's rate.
  Time TakeSlot(const std::string& rule, double rate_per_second);
  // Forgets rules that are blocked no longer and whose slots have all passed.
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
