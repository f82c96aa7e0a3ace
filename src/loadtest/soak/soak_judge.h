// Judges a soak run from the records of clients, partners and agent alone, never from the dispatchers' logs.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_JUDGE_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_JUDGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "loadtest/report/message_record.h"
#include "loadtest/soak/soak_client.h"

namespace sagetally::loadtest {

// A time in which a node may not answer: it was killed in it, or was down.
struct DownTime {
  int node = 0;
  std::int64_t from_us = 0;
  std::int64_t until_us = 0;
};

struct SoakBreak {
  std::string rule;
  std::string id;
  std::string detail;
};

// The breaks of two rules: a request whose connection was ended without a response did not run and was not
// taken; a message that was taken is delivered or its end is told.
std::vector<SoakBreak> JudgeRequests(const std::vector<RequestRecord>& requests,
                                     const std::vector<Observation>& observations,
                                     const std::vector<DownTime>& down_times);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_JUDGE_H_
