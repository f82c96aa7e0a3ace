// Handles the results of calls: updates the message, records the outcome in the journal and the attempt
// history, reports it to the dispatch policy, and completes the message if the result is final.
//
// Used on the event loop's thread only. Results come from the endpoint client, from AttemptSender (for calls
// that were never made) and, after a handover, from the predecessor process.
#ifndef SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_
#define SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_

#include "core/attempt_history.h"
#include "core/dead_letter_sink.h"
#include "core/journal.h"
#include "core/message_table.h"
#include "pipeline/completion_handler.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

class OutcomeHandler {
 public:
  // `dead_letters` may be null. All referenced objects must outlive this one.
  OutcomeHandler(MessageTable& messages, Journal& journal, Router& router,
                 CompletionHandler& completion_handler, const Clock& clock, DeadLetterSink* dead_letters,
                 AttemptHistory& attempt_history)
      : messages_(messages),
        journal_(journal),
        router_(router),
        completion_handler_(completion_handler),
        clock_(clock),
        dead_letters_(dead_letters),
        attempt_history_(attempt_history) {}

  // Handles the result of a call. Ignores results for a message that is unknown or has no call in flight.
  void OnCallResult(const CallResult& result);
  // Handles a result that is not certain yet; OnCallResult() follows. The message stays in flight, also in
  // the journal. A pause that the endpoint asks for is kept from now on, and the dispatch policy counts a
  // success as delivered.
  void OnProvisionalResult(const CallResult& result);
  // Completes all messages whose delivery is unconfirmed as delivered, to make room in the journal.
  void ConfirmDeliveries();

 private:
  void OnDeliveryConfirmed(Message& message, const CallResult& result);
  void OnDeliveryRevoked(Message& message, const CallResult& result);
  void UpdateMessage(Message& message, const CallResult& result) const;
  CompletedAttempt ToCompletedAttempt(const Message& message, const CallResult& result) const;
  AttemptCompleted ToPolicyEvent(const Message& message, const CallResult& result) const;

  MessageTable& messages_;
  Journal& journal_;
  Router& router_;
  CompletionHandler& completion_handler_;
  const Clock& clock_;
  DeadLetterSink* dead_letters_;
  AttemptHistory& attempt_history_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_OUTCOME_HANDLER_H_
