// Gossip between dispatchers about recoveries: a dispatcher announces that an endpoint which it had ejected
// has answered. The others let the endpoint's scope warm up from then on; a dispatcher with little traffic
// would not notice the recovery for a long time. A receiver that misses the message keeps the budget of a
// cold destination, so the recovery budget does not depend on gossip.
#ifndef SAGETALLY_SRC_POLICY_RECOVERY_GOSSIP_H_
#define SAGETALLY_SRC_POLICY_RECOVERY_GOSSIP_H_

#include <string_view>

#include "policy/policy_state.h"

namespace sagetally::policy {

// How far an answer to another dispatcher moves the failure score to 0, as a fraction of the distance.
constexpr double kPeerSuccessWeight = 0.6;
// A gossip body is this prefix and the id of the endpoint.
constexpr std::string_view kRecoveredPrefix = "recovered ";

// Logs that the endpoint has answered and announces it to the other dispatchers.
inline void AnnounceRecovery(PolicyState& state, const Endpoint& endpoint) {
  state.Emit(WriteLogLine{"warming_up: " + endpoint.id + " has answered"});
  if (!state.settings.gossip_allowed) return;
  state.Emit(SendGossip{std::string(kRecoveredPrefix) + endpoint.id});
}

// Takes in the gossip of another dispatcher. It starts the warm-up of a scope that this dispatcher has seen
// fail too and that has not answered it since.
inline void OnRecoveryGossip(PolicyState& state, std::string_view body) {
  if (!body.starts_with(kRecoveredPrefix)) return;
  const auto entry = state.endpoints.find(std::string(body.substr(kRecoveredPrefix.size())));
  if (entry == state.endpoints.end()) return;
  RateLimitScope& scope = *entry->second.scope;
  scope.peer_recovered_at = state.now;
  if (!scope.recovering_since || scope.recovered_at) return;
  scope.recovered_at = state.now;
  state.Emit(WriteLogLine{"warming_up: " + entry->first + " has answered another dispatcher"});
  entry->second.failure_score.MoveToward(0, kPeerSuccessWeight, state.now);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RECOVERY_GOSSIP_H_
