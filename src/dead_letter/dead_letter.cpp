#include "dead_letter/dead_letter.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sagetally::dead_letter {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 10> kReasons = {"none",
                                                       "attempts_used_up",
                                                       "out_of_time_unsent",
                                                       "out_of_time_after_calls",
                                                       "refused_to_the_end",
                                                       "may_not_be_repeated",
                                                       "repeat_window_over",
                                                       "restart",
                                                       "shed",
                                                       "forbidden_on_restart"};
constexpr std::array<std::string_view, kStates> kStateNames = {"kept",      "held",    "claimed",
                                                               "delivered", "dropped", "handed_in_again"};
constexpr std::array<std::string_view, 8> kOutcomes = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};

template <typename T, std::size_t N>
std::optional<T> Named(const std::array<std::string_view, N>& names, std::string_view name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<T>(at - names.begin());
}

template <std::size_t N>
std::vector<std::string> All(const std::array<std::string_view, N>& names) {
  return {names.begin(), names.end()};
}

constexpr Duration kNearDeadline = std::chrono::milliseconds(100);

std::string Base64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(bytes.size()), '\0');
  out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
  return out;
}

}  // namespace

std::string Print(const DeadLetterId& id) { return id.node + "/" + std::to_string(id.number); }

std::optional<DeadLetterId> ParseId(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == text.npos) return std::nullopt;
  DeadLetterId id{std::string(text.substr(0, slash)), 0};
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + slash + 1, end, id.number);
  if (error != std::errc() || at != end) return std::nullopt;
  return id;
}

Outcome DeadLetter::LastOutcome() const {
  if (history.empty()) return Outcome::kNotSent;
  return history.back().outcome.value_or(Outcome::kTimeout);
}

DeadLetter FromMessage(const Message& m, const std::string& node, const std::string& class_name,
                       double worth) {
  DeadLetter k;
  k.id =
      m.redrive_number != 0 ? DeadLetterId{m.redrive_node, m.redrive_number} : DeadLetterId{node, m.number};
  k.request = m.request;
  k.request.time_left = Duration(0);
  k.class_name = class_name;
  k.body_size = m.request.body.size();
  k.accepted_at = m.accepted_at;
  k.deadline = m.deadline;
  k.ended_at = m.ended_at;
  k.final_status = m.final_status;
  k.failure_reason = m.failure_reason;
  k.attempts = m.attempts;
  k.history = m.history;
  if (m.first_uncertain_attempt) {
    k.first_uncertain_attempt = Timestamp{*m.first_uncertain_attempt, Time(0), 0};
    for (const AttemptRecord& note : m.history) {
      if (note.sent_at.wall_time != *m.first_uncertain_attempt) continue;
      k.first_uncertain_attempt = note.sent_at;
      break;
    }
  }
  k.first_uncertain_endpoint = m.first_uncertain_endpoint;
  k.incarnation = m.redrive_incarnation;
  k.priority_weight = worth;
  return k;
}

Message ToMessage(const DeadLetter& k, Time deadline) {
  Message m;
  m.request = k.request;
  m.deadline = deadline;
  m.attempts = k.attempts;
  m.history = k.history;
  if (k.first_uncertain_attempt) m.first_uncertain_attempt = k.first_uncertain_attempt->wall_time;
  m.first_uncertain_endpoint = k.first_uncertain_endpoint;
  m.accepted_at = k.accepted_at;
  m.redrive_number = k.id.number;
  m.redrive_node = k.id.node;
  m.redrive_incarnation = k.incarnation;
  return m;
}

std::string_view Name(FailureReason reason) {
  const auto i = static_cast<std::size_t>(reason);
  return i < kReasons.size() ? kReasons[i] : "none";
}
std::string_view Name(DeadLetterState state) {
  const auto i = static_cast<std::size_t>(state);
  return i < kStateNames.size() ? kStateNames[i] : "held";
}
std::string_view Name(Outcome outcome) {
  const auto i = static_cast<std::size_t>(outcome);
  return i < kOutcomes.size() ? kOutcomes[i] : "timeout";
}
std::string_view Name(FinalStatus end) {
  switch (end) {
    case FinalStatus::kFailed:
      return "undeliverable";
    case FinalStatus::kRejected:
      return "deferred";
    case FinalStatus::kDelivered:
      return "delivered";
    case FinalStatus::kExpired:
      return "over";
    case FinalStatus::kPending:
      break;
  }
  return "none";
}
std::optional<FailureReason> ReasonNamed(std::string_view name) {
  return Named<FailureReason>(kReasons, name);
}
std::optional<DeadLetterState> StateNamed(std::string_view name) {
  return Named<DeadLetterState>(kStateNames, name);
}
std::optional<Outcome> OutcomeNamed(std::string_view name) { return Named<Outcome>(kOutcomes, name); }
std::vector<std::string> ReasonNames() { return All(kReasons); }
std::vector<std::string> StateNames() { return All(kStateNames); }
std::vector<std::string> OutcomeNames() { return All(kOutcomes); }

FailureReason ReasonOf(const Message& m, const ClassSettings& c, int max_attempts, Time now) {
  if (m.first_uncertain_attempt && c.idempotency == Idempotency::kNotIdempotent) {
    const bool cut_off = !m.history.empty() && !m.history.back().outcome && !m.is_in_flight;
    return cut_off ? FailureReason::kInterruptedByRestart : FailureReason::kNotRetryable;
  }
  if (m.attempts >= max_attempts) return FailureReason::kAttemptsExhausted;
  if (m.first_uncertain_attempt && c.idempotency == Idempotency::kIdempotentWithKey &&
      now + kNearDeadline >= *m.first_uncertain_attempt + c.deduplication_window) {
    return FailureReason::kDeduplicationWindowExpired;
  }
  const bool all_refused =
      !m.history.empty() && std::all_of(m.history.begin(), m.history.end(), [](const AttemptRecord& note) {
        return note.outcome == Outcome::kRejected;
      });
  if (all_refused) return FailureReason::kRejectedUntilDeadline;
  if (m.attempts > 0) return FailureReason::kExpiredAfterAttempts;
  // The module gives up what can't arrive any more; with most of its time left it made room for others.
  const Duration all = m.deadline - m.accepted_at, left = m.deadline - now;
  return left * 2 > all ? FailureReason::kShed : FailureReason::kExpiredUnsent;
}

std::string HistoryToJson(const std::vector<AttemptRecord>& history) {
  Json list = Json::array();
  for (const AttemptRecord& note : history) {
    list.push_back(
        {{"at_us", note.sent_at.wall_time.count()},
         {"steady_us", note.sent_at.steady_time.count()},
         {"boot", note.sent_at.boot_id},
         {"endpoint", note.endpoint},
         {"outcome", note.outcome ? Json(Name(*note.outcome)) : Json(nullptr)},
         {"may_have_run", !note.outcome || *note.outcome == Outcome::kOk || MayHaveRun(*note.outcome)},
         {"told_wait_ms", note.retry_after.count() / 1000}});
  }
  return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<AttemptRecord> HistoryFromJson(const std::string& text) {
  std::vector<AttemptRecord> history;
  const Json list = Json::parse(text, nullptr, false);
  if (!list.is_array()) return history;
  try {
    for (const Json& item : list) {
      AttemptRecord note;
      note.sent_at.wall_time = Time(item.at("at_us").get<std::int64_t>());
      note.sent_at.steady_time = Time(item.at("steady_us").get<std::int64_t>());
      note.sent_at.boot_id = item.at("boot").get<std::uint64_t>();
      note.endpoint = item.at("endpoint").get<std::string>();
      if (item.at("outcome").is_string()) note.outcome = OutcomeNamed(item["outcome"].get<std::string>());
      note.retry_after = std::chrono::milliseconds(item.at("told_wait_ms").get<std::int64_t>());
      history.push_back(std::move(note));
    }
  } catch (const Json::exception&) {
    history.clear();
  }
  return history;
}

std::string ToJson(const DeadLetter& k, bool with_body) {
  Json j = {{"kept", Print(k.id)},
            {"id", k.request.id},
            {"key", k.request.idempotency_key},
            {"class", k.class_name},
            {"destination", k.request.destination},
            {"form", k.request.protocol == IngressProtocol::kCloudEvents ? "event" : "plain"},
            {"attributes", k.request.attributes},
            {"body_size", k.body_size},
            {"taken_us", k.accepted_at.count()},
            {"deadline_us", k.deadline.count()},
            {"ended_us", k.ended_at.count()},
            {"end", Name(k.final_status)},
            {"reason", Name(k.failure_reason)},
            {"state", Name(k.state)},
            {"attempts", k.attempts},
            {"resends", k.redrives},
            {"may_have_run", k.first_uncertain_attempt.has_value()},
            {"rule", k.rule},
            {"ground", k.decision_reason},
            {"history", Json::parse(HistoryToJson(k.history))}};
  if (with_body) j["body_base64"] = Base64(k.request.body);
  return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace sagetally::dead_letter
