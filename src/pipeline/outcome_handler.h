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

class Relay {
 public:
  Relay(Ledger& ledger, Journal& journal, Route& route, Book& book, const Clock& clock, Keep* keep,
        AttemptMemory& memory)
      : ledger_(ledger),
        journal_(journal),
        route_(route),
        book_(book),
        clock_(clock),
        keep_(keep),
        memory_(memory) {}

  void Back(const CallResult& result);

 private:
  Ledger& ledger_;
  Journal& journal_;
  Route& route_;
  Book& book_;
  const Clock& clock_;
  Keep* keep_;  // may be null
  AttemptMemory& memory_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_
