#include "pipeline/outcome_handler.h"

#include <utility>

namespace sagetally {

void OutcomeHandler::OnCallResult(const CallResult& result) {
  Message* message = messages_.Find(result.number);
  if (message == nullptr || !message->is_in_flight) return;
  Message& m = *message;
  m.is_in_flight = false;
  if (MayHaveRun(result.outcome) && !m.first_uncertain_attempt) {
    m.first_uncertain_attempt = m.in_flight_since;
    m.first_uncertain_endpoint = m.in_flight_endpoint;
  }
  if (!m.history.empty()) {
    m.history.back().outcome = result.outcome;
    m.history.back().retry_after = result.retry_after;
  }
  if (dead_letters_ != nullptr) dead_letters_->OnCallCompleted(m, result);
  attempt_history_.Add({m.in_flight_since, clock_.Now(), m.deadline, m.request.destination,
                        m.request.message_class, m.attempts, m.in_flight_endpoint, result.outcome,
                        result.retry_after, result.load_report});
  AttemptCompleted e;
  e.id = PolicyMessageId(m.number);
  e.attempt = m.attempts - 1;
  e.outcome = result.outcome;
  e.latency = clock_.Now() - m.in_flight_since;
  e.retry_after = result.retry_after;
  e.load_report = result.load_report;
  if (m.final_status != FinalStatus::kPending) {  // ended while the call was out
    e.message_ended = true;
    router_.QueueEvent(std::move(e));
    return completion_handler_.PassToDeadLetters(m);
  }
  if (result.outcome == Outcome::kOk || result.completed) {
    e.message_ended = true;
    router_.QueueEvent(std::move(e));
    return completion_handler_.Complete(
        m, result.outcome == Outcome::kOk ? FinalStatus::kDelivered : FinalStatus::kExpired);
  }
  journal_.AppendOutcome(m, result.outcome);
  router_.QueueEvent(std::move(e));
}

}  // namespace sagetally
