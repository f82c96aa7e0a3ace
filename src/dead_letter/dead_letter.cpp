#include "dead_letter/dead_letter.h"

#include <algorithm>
#include <charconv>

#include "dead_letter/text_hash.h"

namespace sagetally::dead_letter {
namespace {

// No further attempt is made when no more than this is left of the deduplication window.
constexpr Duration kDeduplicationMargin = std::chrono::milliseconds(100);

// Looks the attempt up in the history, which also has its steady-clock time. If the history no longer
// contains it, only the wall-clock time is known.
std::optional<Timestamp> FirstUncertainAttempt(const Message& message) {
  if (!message.first_uncertain_attempt) return std::nullopt;
  const Time sent_at = *message.first_uncertain_attempt;
  const auto attempt =
      std::find_if(message.history.begin(), message.history.end(),
                   [&](const AttemptRecord& record) { return record.sent_at.wall_time == sent_at; });
  if (attempt == message.history.end()) return Timestamp{sent_at, Time(0), 0};
  return attempt->sent_at;
}

bool WasRejectedByEveryAttempt(const Message& message) {
  return !message.history.empty() &&
         std::all_of(message.history.begin(), message.history.end(),
                     [](const AttemptRecord& record) { return record.outcome == Outcome::kRejected; });
}

bool WasCutOff(const Message& message) {
  return !message.history.empty() && !message.history.back().outcome && !message.is_in_flight;
}

}  // namespace

std::string ToString(const DeadLetterId& id) { return id.node + "/" + std::to_string(id.number); }

std::optional<DeadLetterId> ParseDeadLetterId(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  DeadLetterId id{std::string(text.substr(0, slash)), 0};
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data() + slash + 1, end, id.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return id;
}

Outcome DeadLetter::LastOutcome() const {
  if (history.empty()) return Outcome::kNotSent;
  return history.back().outcome.value_or(Outcome::kTimeout);
}

DeadLetter FromMessage(const Message& message, const std::string& node, const std::string& class_name,
                       double priority_weight) {
  const bool is_redrive = message.redrive_number != 0;
  DeadLetter dead_letter;
  dead_letter.id = is_redrive ? DeadLetterId{message.redrive_node, message.redrive_number}
                              : DeadLetterId{node, message.number};
  dead_letter.request = message.request;
  dead_letter.request.time_left = Duration(0);
  dead_letter.class_name = class_name;
  dead_letter.body_size = message.request.body.size();
  dead_letter.accepted_at = message.accepted_at;
  dead_letter.deadline = message.deadline;
  dead_letter.ended_at = message.completed_at;
  dead_letter.final_status = message.final_status;
  dead_letter.failure_reason = message.failure_reason;
  dead_letter.attempts = message.attempts;
  dead_letter.history = message.history;
  dead_letter.first_uncertain_attempt = FirstUncertainAttempt(message);
  dead_letter.first_uncertain_endpoint = message.first_uncertain_endpoint;
  dead_letter.incarnation = message.redrive_incarnation;
  dead_letter.priority_weight = priority_weight;
  return dead_letter;
}

Message ToMessage(const DeadLetter& dead_letter, Time deadline) {
  Message message;
  message.request = dead_letter.request;
  message.deadline = deadline;
  message.attempts = dead_letter.attempts;
  message.history = dead_letter.history;
  if (dead_letter.first_uncertain_attempt) {
    message.first_uncertain_attempt = dead_letter.first_uncertain_attempt->wall_time;
  }
  message.first_uncertain_endpoint = dead_letter.first_uncertain_endpoint;
  message.accepted_at = dead_letter.accepted_at;
  message.redrive_number = dead_letter.id.number;
  message.redrive_node = dead_letter.id.node;
  message.redrive_incarnation = dead_letter.incarnation;
  return message;
}

FailureReason DetermineFailureReason(const Message& message, const ClassSettings& settings, int max_attempts,
                                     Time now) {
  const std::optional<Time>& may_have_run_at = message.first_uncertain_attempt;
  if (may_have_run_at && settings.idempotency == Idempotency::kNotIdempotent) {
    return WasCutOff(message) ? FailureReason::kInterruptedByRestart : FailureReason::kNotRetryable;
  }
  if (message.attempts >= max_attempts) return FailureReason::kAttemptsExhausted;
  if (may_have_run_at && settings.idempotency == Idempotency::kIdempotentWithKey &&
      now + kDeduplicationMargin >= *may_have_run_at + settings.deduplication_window) {
    return FailureReason::kDeduplicationWindowExpired;
  }
  if (WasRejectedByEveryAttempt(message)) return FailureReason::kRejectedUntilDeadline;
  if (message.attempts > 0) return FailureReason::kExpiredAfterAttempts;
  // The dispatch policy gives up messages that can't be delivered in time. A message with more than half of
  // its time left was not given up for that reason, but shed in favour of others.
  const Duration whole_time = message.deadline - message.accepted_at;
  const Duration time_left = message.deadline - now;
  return time_left * 2 > whole_time ? FailureReason::kShed : FailureReason::kExpiredUnsent;
}

// The hashes are stored, so neither the hashed texts nor the hash function may change.
std::optional<std::uint64_t> IdentityOf(const Request& request) {
  if (request.protocol == IngressProtocol::kCloudEvents) return HashText("e" + request.id);
  if (request.idempotency_key.empty()) return std::nullopt;
  return HashText("k" + std::to_string(request.destination) + "/" + std::to_string(request.message_class) +
                  "/" + request.idempotency_key);
}

}  // namespace sagetally::dead_letter
