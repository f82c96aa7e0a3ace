// A scenario: what is offered, to whom, and how the clients behave. Its form is
// deploy/schema/scenario.schema.json.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/schema.h"

namespace sagetally::loadtest {

enum class Front { kPlatform, kEvents };
enum class EventMode { kBinary, kStructured, kBatched };
enum class Repeat {
  kFree,
  kKeyed,
  kNever
};  // whether a message may take effect twice: yes, within a window, no

struct ClassMix {
  std::string name;
  double weight = 1;
  double deadline_ms = 24000;  // in which it may be delivered
  double aim_ms = 2000;        // in which it should be
  Repeat repeat = Repeat::kFree;
};

struct HotCaller {  // carries `share` of all messages for a while, to a few destinations
  double share = 0, from_s = 0, for_s = 0;
  int destinations = 1;
};

struct Clumps {         // all of one destination's work for a while, at once
  double every_s = 10;  // mean, exponential
  double worth_least_s = 1, worth_most_s = 3.5;
  double partner_rate = 50;  // messages a second that are one destination's worth
  double over_ms = 300;      // spread evenly
};

struct Validity {  // when a run's own lag spoils it
  double lag_ms = 5, share = 0.01, run_queue_share = 0.2;
};

struct Scenario {
  std::uint64_t seed = 1;
  double seconds = 10, drain_s = 1;
  std::vector<Address> targets;
  Front front = Front::kPlatform;
  EventMode mode = EventMode::kBinary;
  int batch = 10;
  double batch_wait_ms = 20;
  int threads = 1, connections = 64;
  std::int64_t backlog = 100'000;         // messages of one thread that wait for a connection
  std::int64_t max_messages = 5'000'000;  // bounds memory: about 100 bytes each
  double answer_ms = 400;                 // 0: for ever
  int hand_ins_again = 2;
  double again_ms = 200;  // before a message is handed in again, unless Retry-After says more
  nlohmann::json arrivals;
  std::vector<ClassMix> classes;
  int first_destination = 0, destinations = 1;
  double zipf = 0;
  nlohmann::json body_bytes;
  int callers = 1;
  std::optional<HotCaller> hot;
  std::optional<Clumps> clumps;
  std::string trace;  // a recorded plan instead of all this
  Validity valid;
};

nlohmann::json ScenarioSchema();
// Both throw std::runtime_error naming the JSON pointer, what was expected and what was found.
Scenario ScenarioFromJson(const nlohmann::json& json);
// Names the file too; an empty path is an empty file.
nlohmann::json ReadJsonFile(const std::string& path);
Scenario ReadScenario(const std::string& path, const Overrides& overrides);

const char* Name(Repeat repeat);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_
