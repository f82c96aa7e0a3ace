#include "dead_letter/dead_letter.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sagetally::kept {
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

std::string Print(const Id& id) { return id.node + "/" + std::to_string(id.number); }

std::optional<Id> ParseId(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == text.npos) return std::nullopt;
  Id id{std::string(text.substr(0, slash)), 0};
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + slash + 1, end, id.number);
  if (error != std::errc() || at != end) return std::nullopt;
  return id;
}

Outcome KeptMessage::LastOutcome() const {
  if (history.empty()) return Outcome::kMoot;
  return history.back().outcome.value_or(Outcome::kTimeout);
}

KeptMessage FromMessage(const Message& m, const std::string& node, const std::string& class_name,
                        double worth) {
  KeptMessage k;
  k.id = m.kept_as != 0 ? Id{m.kept_node, m.kept_as} : Id{node, m.number};
  k.request = m.request;
  k.request.time_left = Duration(0);
  k.class_name = class_name;
  k.body_size = m.request.body.size();
  k.taken_at = m.taken_at;
  k.deadline = m.deadline;
  k.ended_at = m.ended_at;
  k.end = m.end;
  k.reason = m.reason;
  k.attempts = m.attempts;
  k.history = m.history;
  if (m.may_have_run) {
    k.may_have_run = Moment{*m.may_have_run, Time(0), 0};
    for (const AttemptNote& note : m.history) {
      if (note.sent.wall != *m.may_have_run) continue;
      k.may_have_run = note.sent;
      break;
    }
  }
  k.may_have_run_at = m.may_have_run_at;
  k.life = m.kept_life;
  k.worth = worth;
  return k;
}

Message ToMessage(const KeptMessage& k, Time deadline) {
  Message m;
  m.request = k.request;
  m.deadline = deadline;
  m.attempts = k.attempts;
  m.history = k.history;
  if (k.may_have_run) m.may_have_run = k.may_have_run->wall;
  m.may_have_run_at = k.may_have_run_at;
  m.taken_at = k.taken_at;
  m.kept_as = k.id.number;
  m.kept_node = k.id.node;
  m.kept_life = k.life;
  return m;
}

std::string_view Name(Reason reason) {
  const auto i = static_cast<std::size_t>(reason);
  return i < kReasons.size() ? kReasons[i] : "none";
}
std::string_view Name(State state) {
  const auto i = static_cast<std::size_t>(state);
  return i < kStateNames.size() ? kStateNames[i] : "held";
}
std::string_view Name(Outcome outcome) {
  const auto i = static_cast<std::size_t>(outcome);
  return i < kOutcomes.size() ? kOutcomes[i] : "timeout";
}
std::string_view Name(End end) {
  switch (end) {
    case End::kFailed:
      return "undeliverable";
    case End::kRefused:
      return "deferred";
    case End::kDelivered:
      return "delivered";
    case End::kOver:
      return "over";
    case End::kNone:
      break;
  }
  return "none";
}
std::optional<Reason> ReasonNamed(std::string_view name) { return Named<Reason>(kReasons, name); }
std::optional<State> StateNamed(std::string_view name) { return Named<State>(kStateNames, name); }
std::optional<Outcome> OutcomeNamed(std::string_view name) { return Named<Outcome>(kOutcomes, name); }
std::vector<std::string> ReasonNames() { return All(kReasons); }
std::vector<std::string> StateNames() { return All(kStateNames); }
std::vector<std::string> OutcomeNames() { return All(kOutcomes); }

Reason ReasonOf(const Message& m, const ClassSettings& c, int max_attempts, Time now) {
  if (m.may_have_run && c.effect == Effect::kUnsafe) {
    const bool cut_off = !m.history.empty() && !m.history.back().outcome && !m.out;
    return cut_off ? Reason::kRestart : Reason::kMayNotBeRepeated;
  }
  if (m.attempts >= max_attempts) return Reason::kAttemptsUsedUp;
  if (m.may_have_run && c.effect == Effect::kKeyed &&
      now + kNearDeadline >= *m.may_have_run + c.repeat_window) {
    return Reason::kRepeatWindowOver;
  }
  const bool all_refused =
      !m.history.empty() && std::all_of(m.history.begin(), m.history.end(), [](const AttemptNote& note) {
        return note.outcome == Outcome::kFull;
      });
  if (all_refused) return Reason::kRefusedToTheEnd;
  if (m.attempts > 0) return Reason::kOutOfTimeAfterCalls;
  // The module gives up what can't arrive any more; with most of its time left it made room for others.
  const Duration all = m.deadline - m.taken_at, left = m.deadline - now;
  return left * 2 > all ? Reason::kShed : Reason::kOutOfTimeUnsent;
}

std::string HistoryToJson(const std::vector<AttemptNote>& history) {
  Json list = Json::array();
  for (const AttemptNote& note : history) {
    list.push_back(
        {{"at_us", note.sent.wall.count()},
         {"steady_us", note.sent.steady.count()},
         {"boot", note.sent.boot},
         {"endpoint", note.endpoint},
         {"outcome", note.outcome ? Json(Name(*note.outcome)) : Json(nullptr)},
         {"may_have_run", !note.outcome || *note.outcome == Outcome::kOk || MayHaveRun(*note.outcome)},
         {"told_wait_ms", note.told_wait.count() / 1000}});
  }
  return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<AttemptNote> HistoryFromJson(const std::string& text) {
  std::vector<AttemptNote> history;
  const Json list = Json::parse(text, nullptr, false);
  if (!list.is_array()) return history;
  try {
    for (const Json& item : list) {
      AttemptNote note;
      note.sent.wall = Time(item.at("at_us").get<std::int64_t>());
      note.sent.steady = Time(item.at("steady_us").get<std::int64_t>());
      note.sent.boot = item.at("boot").get<std::uint64_t>();
      note.endpoint = item.at("endpoint").get<std::string>();
      if (item.at("outcome").is_string()) note.outcome = OutcomeNamed(item["outcome"].get<std::string>());
      note.told_wait = std::chrono::milliseconds(item.at("told_wait_ms").get<std::int64_t>());
      history.push_back(std::move(note));
    }
  } catch (const Json::exception&) {
    history.clear();
  }
  return history;
}

std::string ToJson(const KeptMessage& k, bool with_body) {
  Json j = {{"kept", Print(k.id)},
            {"id", k.request.id},
            {"key", k.request.key},
            {"class", k.class_name},
            {"destination", k.request.destination},
            {"form", k.request.form == Form::kEvent ? "event" : "plain"},
            {"attributes", k.request.attributes},
            {"body_size", k.body_size},
            {"taken_us", k.taken_at.count()},
            {"deadline_us", k.deadline.count()},
            {"ended_us", k.ended_at.count()},
            {"end", Name(k.end)},
            {"reason", Name(k.reason)},
            {"state", Name(k.state)},
            {"attempts", k.attempts},
            {"resends", k.resends},
            {"may_have_run", k.may_have_run.has_value()},
            {"rule", k.rule},
            {"ground", k.ground},
            {"history", Json::parse(HistoryToJson(k.history))}};
  if (with_body) j["body_base64"] = Base64(k.request.body);
  return j.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace sagetally::kept
