#include "dead_letter/dead_letter_json.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Keys of an attempt in a stored history. They must not change.
constexpr const char* kSentAtKey = "at_us";
constexpr const char* kSteadyTimeKey = "steady_us";
constexpr const char* kBootIdKey = "boot";
constexpr const char* kEndpointKey = "endpoint";
constexpr const char* kOutcomeKey = "outcome";
constexpr const char* kMayHaveRunKey = "may_have_run";
constexpr const char* kRetryAfterKey = "told_wait_ms";

// Prints on one line; replaces bytes that are not UTF-8.
std::string Dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string ToBase64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

Json ToJsonArray(const std::vector<AttemptRecord>& history) {
  Json attempts = Json::array();
  for (const AttemptRecord& record : history) {
    const bool may_have_run =
        !record.outcome || *record.outcome == Outcome::kOk || MayHaveRun(*record.outcome);
    attempts.push_back({{kSentAtKey, record.sent_at.wall_time.count()},
                        {kSteadyTimeKey, record.sent_at.steady_time.count()},
                        {kBootIdKey, record.sent_at.boot_id},
                        {kEndpointKey, record.endpoint},
                        {kOutcomeKey, record.outcome ? Json(Name(*record.outcome)) : Json(nullptr)},
                        {kMayHaveRunKey, may_have_run},
                        {kRetryAfterKey, record.retry_after / milliseconds(1)}});
  }
  return attempts;
}

// Throws Json::exception if a value is missing or of another type.
AttemptRecord ParseAttempt(const Json& attempt) {
  AttemptRecord record;
  record.sent_at.wall_time = Time(attempt.at(kSentAtKey).get<std::int64_t>());
  record.sent_at.steady_time = Time(attempt.at(kSteadyTimeKey).get<std::int64_t>());
  record.sent_at.boot_id = attempt.at(kBootIdKey).get<std::uint64_t>();
  record.endpoint = attempt.at(kEndpointKey).get<std::string>();
  const Json& outcome = attempt.at(kOutcomeKey);
  if (outcome.is_string()) record.outcome = ParseOutcome(outcome.get<std::string>());
  record.retry_after = milliseconds(attempt.at(kRetryAfterKey).get<std::int64_t>());
  return record;
}

}  // namespace

std::string HistoryToJson(const std::vector<AttemptRecord>& history) { return Dump(ToJsonArray(history)); }

std::optional<std::vector<AttemptRecord>> ParseHistory(const std::string& text) {
  const Json attempts = Json::parse(text, nullptr, false);
  if (!attempts.is_array()) return std::nullopt;
  std::vector<AttemptRecord> history;
  try {
    for (const Json& attempt : attempts) history.push_back(ParseAttempt(attempt));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return history;
}

std::string AttributesToJson(const std::map<std::string, std::string>& attributes) {
  return Dump(Json(attributes));
}

std::map<std::string, std::string> ParseAttributes(const std::string& text) {
  std::map<std::string, std::string> attributes;
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return attributes;
  for (const auto& [name, value] : object.items()) {
    if (value.is_string()) attributes[name] = value.get<std::string>();
  }
  return attributes;
}

std::string ToJson(const DeadLetter& dead_letter, bool with_body) {
  const Request& request = dead_letter.request;
  const bool is_event = request.protocol == IngressProtocol::kCloudEvents;
  Json json = {{"kept", ToString(dead_letter.id)},
               {"id", request.id},
               {"key", request.idempotency_key},
               {"class", dead_letter.class_name},
               {"destination", request.destination},
               {"form", is_event ? "event" : "plain"},
               {"attributes", request.attributes},
               {"body_size", dead_letter.body_size},
               {"taken_us", dead_letter.accepted_at.count()},
               {"deadline_us", dead_letter.deadline.count()},
               {"ended_us", dead_letter.ended_at.count()},
               {"end", Name(dead_letter.final_status)},
               {"reason", Name(dead_letter.failure_reason)},
               {"state", Name(dead_letter.state)},
               {"attempts", dead_letter.attempts},
               {"resends", dead_letter.redrives},
               {"may_have_run", dead_letter.first_uncertain_attempt.has_value()},
               {"rule", dead_letter.rule},
               {"ground", dead_letter.decision_reason},
               {"history", ToJsonArray(dead_letter.history)}};
  if (with_body) json["body_base64"] = ToBase64(request.body);
  return Dump(json);
}

}  // namespace sagetally::dead_letter
