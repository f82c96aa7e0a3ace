#include "pipeline/outcome_handler.h"

#include <utility>

namespace sagetally {

void Relay::Back(const CallResult& result) {
  Message* message = ledger_.Find(result.number);
  if (message == nullptr || !message->out) return;
  Message& m = *message;
  m.out = false;
  if (MayHaveRun(result.outcome) && !m.may_have_run) {
    m.may_have_run = m.out_since;
    m.may_have_run_at = m.out_at;
  }
  if (!m.history.empty()) {
    m.history.back().outcome = result.outcome;
    m.history.back().told_wait = result.told_wait;
  }
  if (keep_ != nullptr) keep_->CallEnded(m, result);
  memory_.Add({m.out_since, clock_.Now(), m.deadline, m.request.destination, m.request.message_class,
               m.attempts, m.out_at, result.outcome, result.told_wait, result.load});
  AttemptEnded e;
  e.id = ModuleId(m.number);
  e.attempt = m.attempts - 1;
  e.outcome = result.outcome;
  e.took = clock_.Now() - m.out_since;
  e.told_wait = result.told_wait;
  e.load = result.load;
  if (m.end != End::kNone) {  // ended while the call was out
    e.finished = true;
    route_.Add(std::move(e));
    return book_.Owe(m);
  }
  if (result.outcome == Outcome::kOk || result.over) {
    e.finished = true;
    route_.Add(std::move(e));
    return book_.End(m, result.outcome == Outcome::kOk ? End::kDelivered : End::kOver);
  }
  journal_.Outcame(m, result.outcome);
  route_.Add(std::move(e));
}

}  // namespace sagetally
