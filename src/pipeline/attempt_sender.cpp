#include "pipeline/attempt_sender.h"

#include <chrono>

namespace sagetally {
namespace {

// The longest time between a decision of the policy and the start of the call. An older decision may be
// obsolete, because rejections and draining endpoints may have become known since.
constexpr Duration kMaxDecisionAge = std::chrono::milliseconds(50);

}  // namespace

void AttemptSender::StartAttempt(std::uint64_t number, const std::string& endpoint, Duration timeout) {
  Message* message = messages_.Find(number);
  if (message == nullptr || message->final_status != FinalStatus::kPending || message->is_in_flight) return;
  const Timestamp now = clock_.CurrentTimestamp();
  message->attempts += 1;
  message->is_in_flight = true;
  message->in_flight_since = now.wall_time;
  message->in_flight_endpoint = endpoint;
  if (records_history_) message->history.push_back({now, endpoint, {}, Duration(0)});
  journal_.AppendAttempt(*message);
  if (MayStartCall(*message)) {
    StartCall(*message, endpoint, timeout);
  } else {
    waiting_attempts_[number] = {endpoint, timeout, now.wall_time};
  }
}

bool AttemptSender::CancelIfWaiting(std::uint64_t number) {
  if (waiting_attempts_.erase(number) == 0) return false;
  cancelled_attempts_.push_back(number);
  return true;
}

// The connection may be established long after the policy's decision. The write timeout ensures that a retry
// with an idempotency key is written only while the destination still drops a repeated key. This
// deduplication window is counted from the first attempt on record that may have run.
void AttemptSender::StartCall(const Message& message, const std::string& endpoint, Duration timeout) {
  CallRequest call{message.number, &message.request, endpoint, timeout};
  const ClassSettings& settings = classes_.at(static_cast<std::size_t>(message.request.message_class));
  if (message.first_uncertain_attempt && settings.idempotency == Idempotency::kIdempotentWithKey) {
    call.write_timeout = *message.first_uncertain_attempt + settings.deduplication_window - clock_.Now();
  }
  endpoint_client_.StartCall(call);
}

// A client that has gone before its response submits its message again, so nothing is forwarded before that.
bool AttemptSender::MayStartCall(const Message& message) const {
  return message.is_response_sent && journal_.IsDurable(message);
}

void AttemptSender::StartDueCalls() {
  const Time now = clock_.Now();
  std::vector<std::uint64_t> not_sent = std::exchange(cancelled_attempts_, {});
  for (auto waiting = waiting_attempts_.begin(); waiting != waiting_attempts_.end();) {
    const auto& [number, attempt] = *waiting;
    const Message* message = messages_.Find(number);
    const bool is_pending = message != nullptr && message->final_status == FinalStatus::kPending;
    if (is_pending && !MayStartCall(*message)) {
      ++waiting;
      continue;
    }
    if (is_pending && now - attempt.decided_at <= kMaxDecisionAge) {
      StartCall(*message, attempt.endpoint, attempt.timeout);
    } else {
      not_sent.push_back(number);
    }
    waiting = waiting_attempts_.erase(waiting);
  }
  for (const std::uint64_t number : not_sent) ReportNotSent(number);
}

void AttemptSender::ReportNotSent(std::uint64_t number) {
  CallResult result;
  result.message_number = number;
  result.outcome = Outcome::kNotSent;
  on_not_sent_(result);
}

}  // namespace sagetally
