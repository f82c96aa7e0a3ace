// Converts between CloudEvents and core requests. Does no I/O and keeps no state.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_EVENT_MAPPING_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_EVENT_MAPPING_H_

#include "config/settings.h"
#include "core/message.h"
#include "frontend/cloudevents/cloud_event.h"

namespace sagetally {

// Returns the core request that an event describes. Throws FormatError if an extension attribute is missing
// or invalid, or if an attribute contains a control character.
Request ToRequest(const CloudEvent& event, const SiteSettings& site);
// Returns the event by which a core request is passed to another process. For a request that came in by the
// platform's protocol, the context attributes are generated.
CloudEvent ToCloudEvent(const Request& request, const SiteSettings& site);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_EVENT_MAPPING_H_
