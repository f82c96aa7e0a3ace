// The rules that a soak run checks. The check uses only the records of the clients and the observations of
// the partner and agent stub servers, never the dispatchers' logs. The soak runner calls it once after a run;
// it has no state and starts no threads.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_JUDGE_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_JUDGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "loadtest/report/message_record.h"
#include "loadtest/soak/soak_client.h"

namespace sagetally::loadtest {

// A period in which a node need not respond because it exited, was killed or was not running. Times are those
// of NowUs(), in microseconds.
struct DownTime {
  int node = 0;  // the node's number
  std::int64_t from_us = 0;
  std::int64_t until_us = 0;
};

// The name of the rule on requests whose connection closed without a response.
inline constexpr const char* kLostRequestRule = "lost request";

// A violated rule.
struct SoakViolation {
  std::string rule;    // the rule's name
  std::string id;      // of the request or message; empty if the violation concerns a whole process
  std::string detail;  // what was observed
};

// Returns the violations of three rules:
// - "lost request": the message of a request whose connection closed without a response must not be
//   delivered, take effect at a partner, or be reported to the agent as undeliverable or deferred. A request
//   that overlaps a down time of its node is exempt. If its client has sent it once more on a new connection,
//   only what was observed before that counts.
// - "lost message": an accepted message (status 200 or 202) must be delivered, or reported to the agent as
//   undeliverable or deferred.
// - "refused and forwarded": the message of a request that was answered with 429 or 503 must not be
// delivered,
//   take effect at a partner, or be reported to the agent.
std::vector<SoakViolation> FindViolations(const std::vector<RequestRecord>& requests,
                                          const std::vector<Observation>& observations,
                                          const std::vector<DownTime>& down_times);

// Returns a violation for the requests on kept connections, and one for the first requests on connections, if
// too few of them were answered in time: 99% and 90%. To be checked only where no fault keeps a sound
// client's answer from it.
std::vector<SoakViolation> FindUnansweredClients(const std::vector<RequestRecord>& requests);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_JUDGE_H_
