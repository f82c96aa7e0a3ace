// The faults that a FaultProxy injects on the path between two programs. Plain values, no threads.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_PATH_FAULTS_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_PATH_FAULTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace sagetally::loadtest {

// A fault of one message or one connection on the path. "Answer" is a whole HTTP response from the server.
enum class PathFault {
  kRepeatedAnswer,          // the answer is sent once more after a delay; delay 0: in the same write
  kAnswerRepeatedInHalves,  // the same, and the second half of the copy comes 30 ms after the first
  kTruncatedRepeat,         // the first half of the answer is sent once more after a delay
  kUnaskedAnswer,        // a delay after the answer, another 200 arrives unless a request has come meanwhile
  kDelayedAnswer,        // the answer is delivered after a delay
  kStalledAnswer,        // the second half of the answer is delivered after a delay
  kSplitAnswer,          // the answer is delivered in many small writes
  kDelayedRequest,       // the request is delivered after a delay
  kSplitRequest,         // the request is delivered in many small writes
  kResetBeforeAnswer,    // the client's connection is reset instead of the answer
  kResetAmidAnswer,      // the client's connection is reset after half of the answer
  kResetAfterAnswer,     // the client's connection is reset after the answer and a delay
  kEndAfterAnswer,       // the proxy ends its sending side after the answer and a delay
  kLateConnection,       // the connection is forwarded after a delay
  kForgottenConnection,  // the connection is accepted, and nothing is forwarded
  kRepeatedRequest,  // the request is sent once more on its connection after a delay; delay 0: in the same
                     // write
  kRequestRepeatedInHalves,  // the same, and the second half of the copy comes 30 ms after the first
  kTruncatedRequestRepeat,   // the first half of the request is sent once more after a delay
  kRequestRepeatedElsewhere  // the request is sent once more on a connection of its own after a delay
};

inline constexpr std::size_t kPathFaultCount = 19;

// Returns the name of the fault in fault files, such as "repeated_answer".
const char* Name(PathFault fault);

// How often a fault occurs, and its delay.
struct PathFaultRate {
  double share = 0;         // fraction of the messages or connections, from 0 to 1
  double min_delay_ms = 0;  // the delay is uniformly distributed between the two
  double max_delay_ms = 0;
};

// The faults of one path.
struct PathFaults {
  std::uint64_t seed = 1;
  std::map<PathFault, PathFaultRate> rates;
};

// Returns {"seed": .., "faults": {"NAME": {"share": .., "min_delay_ms": .., "max_delay_ms": ..}, ..}}.
nlohmann::json ToJson(const PathFaults& faults);
// Reads what ToJson() returns. Throws std::runtime_error that names the key at fault.
PathFaults PathFaultsFromJson(const nlohmann::json& json);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_PATH_FAULTS_H_
