// Encodes submissions as HTTP requests, for both protocols of the targets.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_

#include <span>
#include <string>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

// One submission of a message.
struct Submission {
  const PlannedMessage* message = nullptr;
  const MessageClass* message_class = nullptr;
  int number = 0;                // 0: the first
  bool after_no_answer = false;  // the one before got no response, rather than a rejection
  double remaining_ms = 0;       // until the message's deadline
};

// The id under which a message is submitted: on the platform's protocol a new one for each submission, as
// CloudEvent the same for all.
std::string IdOf(const Scenario& scenario, std::uint32_t run, const Submission& submission);

// The bytes of one request. Batched CloudEvents may carry several submissions, all others carry the first.
std::string RequestText(const Scenario& scenario, std::uint32_t run, std::span<const Submission> submissions);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_
