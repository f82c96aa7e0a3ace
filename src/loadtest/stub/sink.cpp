#include "loadtest/stub/sink.h"

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {

Sink::Sink(EventLoop& loop, const Address& at)
    : listener_(loop, at, [this](const std::shared_ptr<Call>& call) { Asked(*call); }) {}

void Sink::Asked(Call& call) {
  int code = 204;
  if (!script.empty()) {
    code = script.front();
    script.pop_front();
  }
  if (code >= 200 && code < 300) {
    const auto read = nlohmann::json::parse(call.body, nullptr, false);
    const auto all = read.is_array() ? read : nlohmann::json::array({read});
    for (const auto& event : all) {
      if (!event.is_object() || !event.contains("type") || !event.contains("subject")) {
        ++malformed;
        code = 400;
        continue;
      }
      ++events;
      if (on_event) on_event(event["type"].get<std::string>(), event["subject"].get<std::string>());
    }
  }
  call.Answer(code);
}

}  // namespace sagetally::loadtest
