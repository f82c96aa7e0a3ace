#include "frontend/cloudevents/cloudevents_frontend.h"

#include <fmt/format.h>

#include <chrono>

#include "config/json.h"

namespace sagetally {
namespace {

// Returns the attribute that `message` carries as the header `header`, as a quoted JSON string. An absent
// attribute is an empty string.
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
  std::string data =
      fmt::format(R"("source":{},"id":{},"status":"{}")", QuotedAttribute(message, "ce-source"), id, status);
  if (is_deferred && retry_after > 0) data += fmt::format(R"(,"again_ms":{})", retry_after);
  return fmt::format(
      R"({{"specversion":"1.0","id":"{number}-{ended_at}","source":{source},"type":"sagetally.{status}",)"
      R"("subject":{subject},"datacontenttype":"application/json","data":{{{data}}}}})",
      fmt::arg("number", message.number), fmt::arg("ended_at", message.completed_at.count()),
      fmt::arg("source", json::Quote("/sagetally/" + node)), fmt::arg("status", status),
      fmt::arg("subject", id), fmt::arg("data", data));
}

}  // namespace sagetally
