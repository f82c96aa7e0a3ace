#include "loadtest/load/wire.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// The same for each message, so that a body costs the generator a copy and no more.
std::string_view Body(const Planned& message) {
  static const std::string kBytes = [] {
    std::string bytes(65536, ' ');
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<char>('a' + i % 26);
    return bytes;
  }();
  return std::string_view(kBytes).substr(0, static_cast<std::size_t>(message.body_bytes));
}

std::string KeyOf(std::uint32_t run, const Planned& message) {
  return fmt::format("{:08x}{:024x}", run, message.number);
}

std::string Source(const Planned& message) { return fmt::format("/lab/caller-{}", message.caller); }

std::string Platform(std::uint32_t run, const std::string& id, const HandIn& h) {
  const Planned& m = *h.message;
  std::string text = fmt::format(
      "POST /{0} HTTP/1.1\r\nHost: lab\r\nX-Request-Id: {1}\r\nX-Class: {0}\r\nX-Deadline: {2:.0f}m\r\n"
      "X-Envelope: dest={3}\r\nContent-Length: {4}\r\n",
      h.message_class->name, id, h.left_ms, m.destination, m.body_bytes);
  if (h.message_class->repeat == Repeat::kKeyed) text += "Idempotency-Key: " + KeyOf(run, m) + "\r\n";
  if (h.number > 0) text += h.unanswered ? "X-Retry: again\r\n" : "X-Retry: 1\r\n";
  return text += "\r\n", text += Body(m);
}

nlohmann::json Event(std::uint32_t run, const std::string& id, const HandIn& h) {
  nlohmann::json event = {{"specversion", "1.0"},
                          {"id", id},
                          {"source", Source(*h.message)},
                          {"type", "lab.message"},
                          {"messageclass", h.message_class->name},
                          {"destination", h.message->destination},
                          {"deadlinems", static_cast<std::int64_t>(h.left_ms)},
                          {"datacontenttype", "text/plain"},
                          {"data", Body(*h.message)}};
  if (h.message_class->repeat == Repeat::kKeyed) event["idempotencykey"] = KeyOf(run, *h.message);
  return event;
}

std::string Binary(std::uint32_t run, const std::string& id, const HandIn& h) {
  std::string text = fmt::format(
      "POST / HTTP/1.1\r\nHost: lab\r\nce-specversion: 1.0\r\nce-id: {}\r\nce-source: {}\r\nce-type: "
      "lab.message\r\n"
      "ce-messageclass: {}\r\nce-destination: {}\r\nce-deadlinems: {:.0f}\r\nContent-Type: text/plain\r\n"
      "Content-Length: {}\r\n",
      id, Source(*h.message), h.message_class->name, h.message->destination, h.left_ms,
      h.message->body_bytes);
  if (h.message_class->repeat == Repeat::kKeyed)
    text += "ce-idempotencykey: " + KeyOf(run, *h.message) + "\r\n";
  return text += "\r\n", text += Body(*h.message);
}

}  // namespace

std::string IdOf(const Scenario& scenario, std::uint32_t run, const HandIn& h) {
  return ToText({run, h.message->number, scenario.front == Front::kEvents ? 0 : h.number,
                 h.message->destination, h.message_class->repeat});
}

std::string RequestText(const Scenario& scenario, std::uint32_t run, std::span<const HandIn> hand_ins) {
  const HandIn& first = hand_ins.front();
  const std::string id = IdOf(scenario, run, first);
  if (scenario.front == Front::kPlatform) return Platform(run, id, first);
  if (scenario.mode == EventMode::kBinary) return Binary(run, id, first);
  std::string body;
  const bool batched = scenario.mode == EventMode::kBatched;
  if (batched) {
    nlohmann::json all = nlohmann::json::array();
    for (const HandIn& h : hand_ins) all.push_back(Event(run, IdOf(scenario, run, h), h));
    body = all.dump();
  } else {
    body = Event(run, id, first).dump();
  }
  return fmt::format(
      "POST / HTTP/1.1\r\nHost: lab\r\nContent-Type: application/cloudevents{}+json\r\nContent-Length: {}"
      "\r\n\r\n{}",
      batched ? "-batch" : "", body.size(), body);
}

}  // namespace sagetally::loadtest
