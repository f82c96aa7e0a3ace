// Requests as bytes, for both fronts.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_

#include <span>
#include <string>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

struct HandIn {  // one message, once
  const Planned* message = nullptr;
  const ClassMix* message_class = nullptr;
  int number = 0;           // 0: first
  bool unanswered = false;  // the one before got no answer, rather than a refusal
  double left_ms = 0;       // of its time
};

// The id under which a hand-in goes: at the platform's front a new one each time, at the events' front one
// for all.
std::string IdOf(const Scenario& scenario, std::uint32_t run, const HandIn& hand_in);
// Several only in a batch of events.
std::string RequestText(const Scenario& scenario, std::uint32_t run, std::span<const HandIn> hand_ins);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_
