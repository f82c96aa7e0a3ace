// Translation between CloudEvents and core requests. No I/O.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_EVENT_MAPPING_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_EVENT_MAPPING_H_

#include "config/settings.h"
#include "core/message.h"
#include "frontend/cloudevents/cloud_event.h"

namespace sagetally {

// Returns the core request that an event asks for. Throws FormatError.
Request ToRequest(const CloudEvent& event, const SiteSettings& site);
// Returns the event that carries a core request to another process. A request in the platform's protocol gets
// context attributes of its own.
CloudEvent ToCloudEvent(const Request& request, const SiteSettings& site);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_EVENT_MAPPING_H_
