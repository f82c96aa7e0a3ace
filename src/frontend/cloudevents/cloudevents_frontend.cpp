#include "frontend/cloudevents/cloudevents_frontend.h"

#include <chrono>

#include "config/json.h"

namespace sagetally {
namespace {

// The JSON string of an attribute that travels as a header; an absent one is empty.
std::string QuotedAttribute(const Message& message, const char* header) {
  const auto attribute = message.request.attributes.find(header);
  if (attribute == message.request.attributes.end()) return json::Quote("");
  return json::Quote(DecodeHeader(attribute->second));
}

}  // namespace

std::vector<Request> CloudEventsFrontend::ParseRequests(const Exchange& exchange) const {
  std::vector<Request> requests;
  for (const CloudEvent& event : ParseCloudEvents(exchange.headers(), exchange.body())) {
    requests.push_back(ToRequest(event, site()));
  }
  return requests;
}

std::string MakeResultEvent(const Message& message, const std::string& node) {
  const bool is_deferred = message.final_status == FinalStatus::kRejected;
  const std::string status = is_deferred ? "deferred" : "undeliverable";
  const auto retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(message.retry_after).count();
  const std::string id = QuotedAttribute(message, "ce-id");
  std::string data = "{\"source\":" + QuotedAttribute(message, "ce-source") + ",\"id\":" + id;
  data += ",\"status\":\"" + status + "\"";
  if (is_deferred && retry_after > 0) data += ",\"again_ms\":" + std::to_string(retry_after);
  data += "}";
  return "{\"specversion\":\"1.0\",\"id\":\"" + std::to_string(message.number) + "-" +
         std::to_string(message.ended_at.count()) + "\",\"source\":" + json::Quote("/sagetally/" + node) +
         ",\"type\":\"sagetally." + status + "\",\"subject\":" + id +
         ",\"datacontenttype\":\"application/json\",\"data\":" + data + "}";
}

}  // namespace sagetally
