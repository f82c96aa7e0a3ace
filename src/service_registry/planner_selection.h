// Which planner a destination belongs to, and the partner endpoints that a registry lists.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_

#include <string>
#include <vector>

#include "config/settings.h"
#include "core/message.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

// Rendezvous hashing: the instance that is UP with the highest weight for the destination; every forwarder
// with the same list picks the same one, and a planner that goes moves only its own destinations.
const Instance* SelectPlanner(const std::map<std::string, Instance>& planners, int destination);

// The instances of the partners' application as a whole list. Metadata: destination, kind, zone, rate.
// What can't be read is left out and named in `problems`.
EndpointListUpdate MakePartnerList(const std::map<std::string, Instance>& partners, const SiteSettings& site,
                                   std::vector<std::string>& problems);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_PLANNER_SELECTION_H_
