#include "loadtest/load/wire.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// All bodies are prefixes of the same bytes, so that a body costs the generator only a copy.
std::string_view Body(const PlannedMessage& message) {
  static const std::string kBytes = [] {
    std::string bytes(65536, ' ');
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<char>('a' + i % 26);
    return bytes;
  }();
  return std::string_view(kBytes).substr(0, static_cast<std::size_t>(message.body_bytes));
}

std::string IdempotencyKey(std::uint32_t run, const PlannedMessage& message) {
  return fmt::format("{:08x}{:024x}", run, message.number);
}

std::string SourceUri(const PlannedMessage& message) { return fmt::format("/lab/caller-{}", message.client); }

std::string PlatformRequest(std::uint32_t run, const std::string& id, const Submission& submission) {
  const PlannedMessage& message = *submission.message;
  std::string text = fmt::format(
      "POST /{0} HTTP/1.1\r\nHost: lab\r\nX-Request-Id: {1}\r\nX-Class: {0}\r\nX-Deadline: {2:.0f}m\r\n"
      "X-Envelope: dest={3}\r\nContent-Length: {4}\r\n",
      submission.message_class->name, id, submission.remaining_ms, message.destination, message.body_bytes);
  if (submission.message_class->idempotency == Idempotency::kIdempotentWithKey) {
    text += "Idempotency-Key: " + IdempotencyKey(run, message) + "\r\n";
  }
  if (submission.number > 0) text += submission.previous_unanswered ? "X-Retry: again\r\n" : "X-Retry: 1\r\n";
  text += "\r\n";
  text += Body(message);
  return text;
}

nlohmann::json EventJson(std::uint32_t run, const std::string& id, const Submission& submission) {
  nlohmann::json event = {{"specversion", "1.0"},
                          {"id", id},
                          {"source", SourceUri(*submission.message)},
                          {"type", "lab.message"},
                          {"messageclass", submission.message_class->name},
                          {"destination", submission.message->destination},
                          {"deadlinems", static_cast<std::int64_t>(submission.remaining_ms)},
                          {"datacontenttype", "text/plain"},
                          {"data", Body(*submission.message)}};
  if (submission.message_class->idempotency == Idempotency::kIdempotentWithKey) {
    event["idempotencykey"] = IdempotencyKey(run, *submission.message);
  }
  return event;
}

std::string BinaryEventRequest(std::uint32_t run, const std::string& id, const Submission& submission) {
  std::string text = fmt::format(
      "POST / HTTP/1.1\r\nHost: lab\r\nce-specversion: 1.0\r\nce-id: {}\r\nce-source: {}\r\nce-type: "
      "lab.message\r\n"
      "ce-messageclass: {}\r\nce-destination: {}\r\nce-deadlinems: {:.0f}\r\nContent-Type: text/plain\r\n"
      "Content-Length: {}\r\n",
      id, SourceUri(*submission.message), submission.message_class->name, submission.message->destination,
      submission.remaining_ms, submission.message->body_bytes);
  if (submission.message_class->idempotency == Idempotency::kIdempotentWithKey) {
    text += "ce-idempotencykey: " + IdempotencyKey(run, *submission.message) + "\r\n";
  }
  text += "\r\n";
  text += Body(*submission.message);
  return text;
}

}  // namespace

std::string SubmissionIdText(const Scenario& scenario, std::uint32_t run, const Submission& submission) {
  return ToText({run, submission.message->number,
                 scenario.protocol == TargetProtocol::kCloudEvents ? 0 : submission.number,
                 submission.message->destination, submission.message_class->idempotency});
}

std::string RequestText(const Scenario& scenario, std::uint32_t run,
                        std::span<const Submission> submissions) {
  const Submission& first = submissions.front();
  const std::string id = SubmissionIdText(scenario, run, first);
  if (scenario.protocol == TargetProtocol::kPlatform) return PlatformRequest(run, id, first);
  if (scenario.event_mode == CloudEventsMode::kBinary) return BinaryEventRequest(run, id, first);
  const bool is_batched = scenario.event_mode == CloudEventsMode::kBatched;
  std::string body;
  if (is_batched) {
    nlohmann::json batch = nlohmann::json::array();
    for (const Submission& submission : submissions) {
      batch.push_back(EventJson(run, SubmissionIdText(scenario, run, submission), submission));
    }
    body = batch.dump();
  } else {
    body = EventJson(run, id, first).dump();
  }
  return fmt::format(
      "POST / HTTP/1.1\r\nHost: lab\r\nContent-Type: application/cloudevents{}+json\r\nContent-Length: {}"
      "\r\n\r\n{}",
      is_batched ? "-batch" : "", body.size(), body);
}

}  // namespace sagetally::loadtest
