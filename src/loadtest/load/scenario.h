// The load scenario: which messages are offered, to which targets, and how the clients behave.
//
// `sagetally-loadtest load`, `limit` and `try` read one from a JSON file
// (deploy/schema/scenario.schema.json), with single settings overridden by flags and variables. The codec in
// scenario.cpp is the only place that knows the file's keys. Values are immutable after reading and shared by
// all threads of a run.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/schema.h"

namespace sagetally::loadtest {

// The protocol that the targets' frontend speaks.
enum class TargetProtocol { kPlatform, kCloudEvents };

// How CloudEvents are put into HTTP requests.
enum class CloudEventsMode { kBinary, kStructured, kBatched };

// Whether a message may take effect twice: yes; only if the deduplication window is over; never.
enum class Repeat { kFree, kKeyed, kNever };

// One class of messages in the mix.
struct MessageClass {
  std::string name;
  double weight = 1;                   // relative frequency
  double deadline_ms = 24000;          // delivery after this is useless
  double latency_objective_ms = 2000;  // delivery should take no longer than this
  Repeat idempotency = Repeat::kFree;
};

// A client that sends `fraction` of all messages for a while, to a few destinations.
struct HotClient {
  double fraction = 0;
  double from_s = 0;
  double for_s = 0;
  int destination_count = 1;
};

// Bursts that bring several seconds of one destination's work at once.
struct DestinationBursts {
  double every_s = 10;  // mean of the exponential intervals
  double min_work_s = 1;
  double max_work_s = 3.5;
  double destination_rate = 50;  // messages that one destination handles in a second
  double spread_ms = 300;        // over which a burst is spread evenly
};

// Limits beyond which the generator itself distorts the measurement, so that the run is marked invalid.
struct ValidityLimits {
  double lag_ms = 5;                // a send that is later than this counts as late
  double late_fraction = 0.01;      // of all sends
  double run_queue_fraction = 0.2;  // of a sending thread's time
};

struct Scenario {
  std::uint64_t seed = 1;  // of all random numbers
  double seconds = 10;     // how long messages are offered
  double drain_s = 1;      // further time to wait for responses
  std::vector<Address> targets;
  TargetProtocol protocol = TargetProtocol::kPlatform;
  CloudEventsMode event_mode = CloudEventsMode::kBinary;
  int batch_size = 10;
  double batch_wait_ms = 20;
  int threads = 1;
  int connections = 64;                        // of all threads together
  std::int64_t max_queued_messages = 100'000;  // per thread, waiting for a connection
  std::int64_t max_messages = 5'000'000;       // bounds memory: about 100 bytes each
  double response_timeout_ms = 400;            // 0: no timeout
  int max_resubmissions = 2;
  double resubmit_delay_ms = 200;  // unless the response's Retry-After is longer
  nlohmann::json arrivals;         // read by Plan: arrival process and rate curve
  std::vector<MessageClass> classes;
  int first_destination = 0;
  int destination_count = 1;
  double zipf_exponent = 0;   // of the destinations' popularity; 0: uniform
  nlohmann::json body_bytes;  // a distribution, see Distribution::FromJson
  int client_count = 1;
  std::optional<HotClient> hot_client;
  std::optional<DestinationBursts> destination_bursts;
  std::string trace;  // a recorded plan that replaces the random one; empty: none
  ValidityLimits validity;
};

nlohmann::json ScenarioSchema();

// Throws std::runtime_error that begins with the JSON pointer of the wrong value, and says what was expected.
Scenario ScenarioFromJson(const nlohmann::json& json);

// Reads a JSON file; an empty path is an empty object. Throws std::runtime_error that names the file.
nlohmann::json ReadJsonFile(const std::string& path);

// Reads `path` with `overrides` applied. Throws std::runtime_error that names the file and the JSON pointer.
Scenario ReadScenario(const std::string& path, const Overrides& overrides);

// The scenario file's name of the value: "free", "keyed" or "never".
const char* Name(Repeat idempotency);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_
