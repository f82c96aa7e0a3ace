#include "frontend/cloudevents/cloudevents_frontend.h"

#include "config/json.h"
#include "frontend/http_response.h"

namespace sagetally {

void CloudEventsFrontend::Handle(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, readiness_.IsReady())) return;
  std::vector<Request> requests;
  try {
    for (const CloudEvent& event : ParseCloudEvents(exchange->headers(), exchange->body())) {
      requests.push_back(ToRequest(event, site_));
    }
  } catch (const std::exception& e) {
    exchange->Respond(400, std::string(e.what()) + "\n");
    return;
  }
  intake_.Submit(std::move(requests), MakeResponder(exchange));
}

std::string MakeResultEvent(const Message& message, const std::string& node) {
  const auto decoded = [&](const char* name) {
    const auto at = message.request.attributes.find(name);
    return json::Quote(at == message.request.attributes.end() ? "" : DecodeHeader(at->second));
  };
  const bool refused = message.final_status == FinalStatus::kRejected;
  const std::string status = refused ? "deferred" : "undeliverable";
  const auto again = std::chrono::duration_cast<std::chrono::milliseconds>(message.retry_after).count();
  std::string data = "{\"source\":" + decoded("ce-source") + ",\"id\":" + decoded("ce-id");
  data += ",\"status\":\"" + status + "\"";
  if (refused && again > 0) data += ",\"again_ms\":" + std::to_string(again);
  data += "}";
  return "{\"specversion\":\"1.0\",\"id\":\"" + std::to_string(message.number) + "-" +
         std::to_string(message.ended_at.count()) + "\",\"source\":" + json::Quote("/sagetally/" + node) +
         ",\"type\":\"sagetally." + status + "\",\"subject\":" + decoded("ce-id") +
         ",\"datacontenttype\":\"application/json\",\"data\":" + data + "}";
}

}  // namespace sagetally
