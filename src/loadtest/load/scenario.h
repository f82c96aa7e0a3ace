// The load scenario: which messages are offered, to which targets, and how the clients behave.
//
// The commands `load`, `limit` and `try` read a scenario from a JSON file
// (deploy/schema/scenario.schema.json); command line flags and environment variables override single
// settings. Only scenario.cpp knows the keys of the file. A scenario is not changed after it was read, and
// all threads of a run share it.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/schema.h"

namespace sagetally::loadtest {

// The ingress protocol of the targets.
enum class TargetProtocol { kPlatform, kCloudEvents };

// The content mode of CloudEvents in HTTP requests.
enum class CloudEventsMode { kBinary, kStructured, kBatched };

// Whether a message may be called again after a call that may have run: always, only within the deduplication
// window of its idempotency key, or never.
enum class Idempotency { kIdempotent, kIdempotentWithKey, kNotIdempotent };

// A class of messages in the offered mix.
struct MessageClass {
  std::string name;
  double weight = 1;                   // relative frequency
  double deadline_ms = 24000;          // a later delivery is useless
  double latency_objective_ms = 2000;  // delivery should take no longer than this
  Idempotency idempotency = Idempotency::kIdempotent;
};

// A client that sends the `fraction` of all messages to a few destinations, from `from_s` on for `for_s`
// seconds.
struct HotClient {
  double fraction = 0;
  double from_s = 0;
  double for_s = 0;
  int destination_count = 1;
};

// Bursts of messages for one random destination. Each burst brings so many messages that the destination
// needs several seconds for them.
struct DestinationBursts {
  double every_s = 10;  // mean of the exponentially distributed intervals between bursts
  // The time that the destination needs for a burst is drawn uniformly between these bounds.
  double min_work_s = 1;
  double max_work_s = 3.5;
  double destination_rate = 50;  // messages that one destination handles per second
  double spread_ms = 300;        // time over which the messages of a burst are spread evenly
};

// Limits of the generator's own delays. Beyond them the generator distorts the measurement, and the run is
// marked invalid.
struct ValidityLimits {
  double lag_ms = 5;                // a send that is later than intended by more than this counts as late
  double late_fraction = 0.01;      // highest fraction of late sends
  double run_queue_fraction = 0.2;  // highest fraction of a sending thread's time spent waiting for a core
};

// All settings of a load.
struct Scenario {
  std::uint64_t seed = 1;  // seeds all random numbers of the plan
  double seconds = 10;     // how long messages are offered
  double drain_s = 1;      // how long to wait for responses afterwards
  std::vector<Address> targets;
  TargetProtocol protocol = TargetProtocol::kPlatform;
  CloudEventsMode event_mode = CloudEventsMode::kBinary;
  int batch_size = 10;        // most CloudEvents in one request of the batched mode
  double batch_wait_ms = 20;  // an incomplete batch is sent after this time
  int threads = 1;
  int connections = 64;  // of all threads together, spread evenly over them
  // Messages of one thread that wait for a connection. Further ones are not sent.
  std::int64_t max_queued_messages = 100'000;
  std::int64_t max_messages = 5'000'000;  // bounds the memory; a message takes about 100 bytes
  double response_timeout_ms = 400;       // 0 means no timeout
  int max_resubmissions = 2;
  double resubmit_delay_ms = 200;  // minimum; a longer Retry-After of the response is respected
  nlohmann::json arrivals;         // arrival process and rate curve, read by Plan
  std::vector<MessageClass> classes;
  int first_destination = 0;
  int destination_count = 1;
  // Exponent of Zipf's law for the frequencies of the destinations; 0 means uniform.
  double zipf_exponent = 0;
  nlohmann::json body_bytes;  // distribution of the body sizes, see Distribution::FromJson
  int client_count = 1;
  std::optional<HotClient> hot_client;
  std::optional<DestinationBursts> destination_bursts;
  std::string trace;  // file of a recorded plan that replaces the drawn one; empty if there is none
  ValidityLimits validity;
};

// Returns the JSON schema of the file.
nlohmann::json ScenarioSchema();

// Validates `json` against the schema and converts it. The message of a thrown std::runtime_error begins with
// the JSON pointer of the wrong value and says what was expected.
Scenario ScenarioFromJson(const nlohmann::json& json);

// Reads a JSON file. An empty path stands for an empty object. Throws std::runtime_error that names the file.
nlohmann::json ReadJsonFile(const std::string& path);

// Reads the file and applies `overrides`. Throws std::runtime_error that names the file and the JSON pointer.
Scenario ReadScenario(const std::string& path, const Overrides& overrides);

// Returns the value's name in scenario files: "free", "keyed" or "never".
const char* Name(Idempotency idempotency);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SCENARIO_H_
