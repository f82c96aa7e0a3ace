// Encodes submissions as HTTP requests, for both ingress protocols of the targets. The functions have no
// state.
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
  int number = 0;  // counts from 0
  // Whether the previous submission got no response, rather than a rejection.
  bool previous_unanswered = false;
  double remaining_ms = 0;  // time until the message's deadline
};

// Returns the id under which a message is submitted. On the platform's protocol each submission has a new id.
// All submissions of a CloudEvent have the same id.
std::string SubmissionIdText(const Scenario& scenario, std::uint32_t run, const Submission& submission);

// Returns the bytes of one request. A batch of CloudEvents carries all `submissions`, any other request
// carries only the first.
std::string RequestText(const Scenario& scenario, std::uint32_t run, std::span<const Submission> submissions);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_WIRE_H_
