#include "estimators/settings_validation.h"

#include <stdexcept>

namespace sagetally {
namespace {

void Require(bool condition, const char* text) {
  if (!condition) throw std::invalid_argument(std::string("sagetally settings: ") + text);
}

}  // namespace

void ValidateSettings(const Settings& settings) {
  Require(!settings.classes.empty(), "grades is empty");
  Require(!settings.kinds.empty(), "flavors is empty");
  Require(settings.dispatcher_count > 0 && settings.max_concurrent_calls > 0 &&
              settings.max_pending_messages > 0 && settings.max_attempts > 0 &&
              settings.max_streams_per_connection > 0,
          "balancers, callsOut, mostHeld, maxAttempts and multiplex must be positive");
  Require(settings.cold_capacity_fraction > 0 && settings.overload_multiple > 0,
          "coldShare and fallMultiple must be positive");
  for (const ClassSettings& message_class : settings.classes) {
    Require(message_class.latency_objective > Duration(0) && message_class.deadline > Duration(0),
            "slo and deadline must be positive");
    Require(message_class.priority_weight >= 0, "credit must not be negative");
  }
  for (const DestinationKindSettings& kind : settings.kinds) {
    Require(kind.max_batch_size > 0, "bundleMax must be positive");
  }
}

void ValidateIndex(int index, std::size_t size, const char* description, const std::string& id) {
  if (index >= 0 && static_cast<std::size_t>(index) < size) return;
  throw std::invalid_argument("sagetally: " + std::string(description) + " '" + id + "' out of range");
}

}  // namespace sagetally
