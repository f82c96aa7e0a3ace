// Relay: takes what came back from a call, puts it on record and passes it on.
#ifndef SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_
#define SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_

#include "core/message_table.h"
#include "core/ports.h"
#include "handover/handover_state.h"
#include "pipeline/completion_handler.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

class OutcomeHandler {
 public:
  OutcomeHandler(MessageTable& ledger, Journal& journal, Router& route, CompletionHandler& book,
                 const Clock& clock, DeadLetterSink* keep, AttemptHistory& memory)
      : messages_(ledger),
        journal_(journal),
        router_(route),
        completion_handler_(book),
        clock_(clock),
        dead_letters_(keep),
        attempt_history_(memory) {}

  void OnCallResult(const CallResult& result);

 private:
  MessageTable& messages_;
  Journal& journal_;
  Router& router_;
  CompletionHandler& completion_handler_;
  const Clock& clock_;
  DeadLetterSink* dead_letters_;  // may be null
  AttemptHistory& attempt_history_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_
