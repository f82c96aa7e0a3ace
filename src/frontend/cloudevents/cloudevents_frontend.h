// The frontend that accepts CloudEvents over HTTP, and the result events that report undelivered messages.
// Called on the event loop's thread.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUDEVENTS_FRONTEND_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUDEVENTS_FRONTEND_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/message.h"
#include "frontend/cloudevents/event_mapping.h"
#include "frontend/frontend.h"

namespace sagetally {

// Accepts events in all content modes. A batch is accepted as a whole or not at all.
class CloudEventsFrontend : public Frontend {
 public:
  // The limit of a request's head, which contains the attributes in binary mode.
  static constexpr std::size_t kMaxHeadBytes = 32 * 1024;

  using Frontend::Frontend;

 private:
  std::vector<Request> ParseRequests(const Exchange& exchange) const override;
};

// Returns the result event, as JSON in structured mode, that reports the final status of an undelivered
// message that came in as an event. `node` is the name of this process.
std::string MakeResultEvent(const Message& message, const std::string& node);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUDEVENTS_FRONTEND_H_
