// Selects the planner that owns a destination, and converts the partners' application in the registry to an
// endpoint list. Does no I/O and keeps no state.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_

#include <string>
#include <vector>

#include "config/settings.h"
#include "core/message.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

// Returns the planner that owns `destination`, or null if no planner is up and has a usable address. It is
// the one of these with the highest weight for the destination (rendezvous hashing; Thaler and Ravishankar,
// 1998). Forwarders with the same list select the same planner, and when a planner goes down, only its own
// destinations move.
const Instance* SelectPlanner(const InstancesById& planners, int destination);

// Returns the instances of the partners' application as a full snapshot of the endpoint list. Destination,
// kind, zone and rate come from an instance's metadata. An instance without a usable address or destination
// is left out, and a line of text about it is appended to `problems`.
EndpointListUpdate MakePartnerList(const InstancesById& partners, const SiteSettings& site,
                                   std::vector<std::string>& problems);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_
