// Ends messages: sets the final status once, records it, and then notifies the client and hands the message
// to the dead-letter store, each only when the record is durable.
//
// Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_
#define SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_

#include <cstdint>
#include <set>

#include "core/dead_letter_sink.h"
#include "core/journal.h"
#include "core/message_table.h"
#include "core/metrics_recorder.h"
#include "core/notifier.h"
#include "time/clock.h"

namespace sagetally {

class CompletionHandler {
 public:
  // `dead_letters` and `metrics` may be null. All of them outlive this object.
  CompletionHandler(MessageTable& messages, Journal& journal, Notifier& notifier, const Clock& clock,
                    DeadLetterSink* dead_letters, MetricsRecorder* metrics)
      : messages_(messages),
        journal_(journal),
        notifier_(notifier),
        clock_(clock),
        dead_letters_(dead_letters),
        metrics_(metrics) {}

  // Ends a pending message; does nothing to one that has ended. May remove it from the table.
  void Complete(Message& message, FinalStatus final_status, Duration retry_after = Duration(0));
  // Notifies the client of an ended message if a notification is pending, then passes the message on as
  // PassToDeadLetters() does. Waits with both until the message's records are durable.
  void NotifyClient(Message& message);
  // The client of message `number` acknowledged its notification.
  void OnNotificationAcknowledged(std::uint64_t number);
  // Message `number` has nobody to notify. Called from within Notifier::Notify().
  void OnNoRecipient(std::uint64_t number);
  // Hands the message to the dead-letter store if it is due there, and removes it if nothing is owed for it.
  void PassToDeadLetters(Message& message);
  // The dead-letter store holds message `number`, or never will.
  void OnDeadLettered(std::uint64_t number);
  // After a restart: takes up all notifications and transfers to the dead-letter store that are pending.
  void ResumeNotifications();
  // Notifies the clients that waited for durable records.
  void OnJournalProgress();

  // Whether ended messages wait until their records are durable.
  bool has_waiting_completions() const { return !awaiting_durability_.empty(); }

 private:
  MessageTable& messages_;
  Journal& journal_;
  Notifier& notifier_;
  const Clock& clock_;
  DeadLetterSink* dead_letters_;
  MetricsRecorder* metrics_;
  std::set<std::uint64_t> awaiting_durability_;  // message numbers
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_
