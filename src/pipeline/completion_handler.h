// Book: the last stage. Each message's one end, on record before it is told.
#ifndef SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_
#define SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_

#include <set>

#include "core/message_table.h"
#include "core/ports.h"
#include "time/clock.h"

namespace sagetally {

class CompletionHandler {
 public:
  CompletionHandler(MessageTable& ledger, Journal& journal, Notifier& teller, const Clock& clock,
                    DeadLetterSink* keep, MetricsRecorder* tally)
      : messages_(ledger),
        journal_(journal),
        notifier_(teller),
        clock_(clock),
        dead_letters_(keep),
        metrics_(tally) {}

  void Complete(Message& message, enum FinalStatus end, Duration again = Duration(0));
  void NotifyClient(Message& message);                    // its end, if a notice is owed; then lets it go
  void OnNotificationAcknowledged(std::uint64_t number);  // a notice arrived
  void OnNoRecipient(std::uint64_t number);               // from within Tell: its end has no hearer
  void PassToDeadLetters(Message& message);   // to the store of kept messages, if it is; else lets it go
  void OnDeadLettered(std::uint64_t number);  // the store has it, or never will
  void ResumeNotifications();                 // after a restart: all that is owed
  void OnJournalProgress();                   // tells what waited for the journal

  bool is_settled() const { return awaiting_durability_.empty(); }

 private:
  MessageTable& messages_;
  Journal& journal_;
  Notifier& notifier_;
  const Clock& clock_;
  DeadLetterSink* dead_letters_;                 // may be null
  MetricsRecorder* metrics_;                     // may be null
  std::set<std::uint64_t> awaiting_durability_;  // ended and answered, and not yet safe on record
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_
