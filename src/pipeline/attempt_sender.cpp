#include "pipeline/attempt_sender.h"

namespace sagetally {
namespace {

// What the module knew when it chose the endpoint holds for so long: waits and drains may have come since.
constexpr Duration kFresh = std::chrono::milliseconds(50);

}  // namespace

void AttemptSender::StartAttempt(std::uint64_t number, const std::string& endpoint, Duration time_out) {
  Message* message = messages_.Find(number);
  if (message == nullptr || message->final_status != FinalStatus::kPending || message->is_in_flight) return;
  message->is_in_flight = true;
  message->attempts += 1;
  const Timestamp now = clock_.CurrentTimestamp();
  message->in_flight_since = now.wall_time;
  message->in_flight_endpoint = endpoint;
  if (records_history_) message->history.push_back({now, endpoint, {}, Duration(0)});
  journal_.AppendAttempt(*message);
  if (journal_.IsDurable(*message)) {
    StartCall(*message, endpoint, time_out);
  } else {
    waiting_attempts_[number] = {endpoint, time_out, now.wall_time};
  }
}

// A connection may come up long after the module chose to send: whether the destination still drops a repeat
// is judged when the bytes leave, from the first attempt on record.
void AttemptSender::StartCall(const Message& message, const std::string& endpoint, Duration time_out) {
  CallRequest order{message.number, &message.request, endpoint, time_out};
  const ClassSettings& c = classes_.at(static_cast<std::size_t>(message.request.message_class));
  if (message.first_uncertain_attempt && c.idempotency == Idempotency::kIdempotentWithKey) {
    order.write_within = *message.first_uncertain_attempt + c.deduplication_window - clock_.Now();
  }
  endpoint_client_.StartCall(order);
}

void AttemptSender::OnJournalProgress() {
  const Time now = clock_.Now();
  std::vector<std::uint64_t> unsent = std::exchange(cancelled_unsent_, {});
  for (auto at = waiting_attempts_.begin(); at != waiting_attempts_.end();) {
    const Message* message = messages_.Find(at->first);
    if (message != nullptr && message->final_status == FinalStatus::kPending) {
      if (!journal_.IsDurable(*message)) {
        ++at;
        continue;
      }
      if (now - at->second.since <= kFresh) {
        StartCall(*message, at->second.endpoint, at->second.timeout);
        at = waiting_attempts_.erase(at);
        continue;
      }
    }
    unsent.push_back(at->first);
    at = waiting_attempts_.erase(at);
  }
  for (const std::uint64_t number : unsent) {
    CallResult never_left;
    never_left.number = number;
    never_left.outcome = Outcome::kNotSent;
    on_not_sent_(never_left);
  }
}

}  // namespace sagetally
