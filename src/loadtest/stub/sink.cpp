#include "loadtest/stub/sink.h"

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {

Sink::Sink(EventLoop& loop, const Address& listen_address)
    : listener_(loop, listen_address, [this](const std::shared_ptr<Call>& call) { OnRequest(*call); }) {}

void Sink::OnRequest(Call& call) {
  int status = 204;
  if (!status_codes.empty()) {
    status = status_codes.front();
    status_codes.pop_front();
  }
  const bool is_success = status >= 200 && status < 300;
  if (is_success && !ReadEvents(call.body)) status = 400;
  call.Answer(status);
}

bool Sink::ReadEvents(const std::string& body) {
  bool is_well_formed = true;
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto batch = json.is_array() ? json : nlohmann::json::array({json});
  for (const auto& event : batch) {
    if (!event.is_object() || !event.contains("type") || !event.contains("subject")) {
      ++malformed;
      is_well_formed = false;
      continue;
    }
    ++events;
    if (on_event) on_event(event["type"].get<std::string>(), event["subject"].get<std::string>());
  }
  return is_well_formed;
}

}  // namespace sagetally::loadtest
