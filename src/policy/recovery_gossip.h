// What dispatchers tell each other of recoveries: that an endpoint which was ejected has answered. It lets
// the others warm up from then on, where one with little traffic would not know for long. A message that is
// lost leaves its receiver at the cold budget, so the budget does not rest on gossip.
#ifndef SAGETALLY_SRC_POLICY_RECOVERY_GOSSIP_H_
#define SAGETALLY_SRC_POLICY_RECOVERY_GOSSIP_H_

#include <string_view>

#include "policy/policy_state.h"

namespace sagetally::policy {

constexpr double kPeerSuccessWeight = 0.6;  // of an answer to another dispatcher, in the failure score
constexpr std::string_view kRecoveredPrefix = "recovered ";  // then the id of the endpoint

inline void AnnounceRecovery(PolicyState& state, const Endpoint& endpoint) {
  state.Emit(WriteLogLine{"warming_up: " + endpoint.id + " has answered"});
  if (!state.settings.gossip_allowed) return;
  state.Emit(SendGossip{std::string(kRecoveredPrefix) + endpoint.id});
}

// Takes effect where this dispatcher saw the outage too, and has had no answer since.
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
