// Which planner owns a destination, and the endpoint list that the partners' application in the registry
// makes. No I/O.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_

#include <string>
#include <vector>

#include "config/settings.h"
#include "core/message.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

// Returns the planner that owns a destination: the instance that is up with the highest weight for it
// (rendezvous hashing; Thaler and Ravishankar, 1998). Every forwarder with the same list selects the same
// one, and a planner that goes moves only its own destinations. Null if no planner is up.
const Instance* SelectPlanner(const InstancesById& planners, int destination);

// Returns the instances of the partners' application as a full snapshot of the endpoint list. Their metadata
// name the destination, the kind, the zone and the rate. An instance that can't be used is left out, and a
// line about it is appended to `problems`.
EndpointListUpdate MakePartnerList(const InstancesById& partners, const SiteSettings& site,
                                   std::vector<std::string>& problems);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_
