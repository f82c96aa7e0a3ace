// Completes messages: sets the final status exactly once and records it in the journal. Once the record is
// durable, notifies the client and passes the message to the dead-letter store.
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
  // `dead_letters` and `metrics` may be null. All referenced objects must outlive this one.
  CompletionHandler(MessageTable& messages, Journal& journal, Notifier& notifier, const Clock& clock,
                    DeadLetterSink* dead_letters, MetricsRecorder* metrics)
      : messages_(messages),
        journal_(journal),
        notifier_(notifier),
        clock_(clock),
        dead_letters_(dead_letters),
        metrics_(metrics) {}

  // Sets the final status of a pending message. Does nothing if the message has completed already. May remove
  // the message from the table. `retry_after` tells the client when it may submit a rejected message again;
  // 0: not stated.
  void Complete(Message& message, FinalStatus final_status, Duration retry_after = Duration(0));
  // Notifies the client of a completed message if a notification is pending, and then calls
  // PassToDeadLetters(). If the message's records are not durable yet, both are deferred until they are.
  void NotifyClient(Message& message);
  // Called when the client of message `number` has acknowledged its notification.
  void OnNotificationAcknowledged(std::uint64_t number);
  // Called from within Notifier::Notify() if there is nobody to notify of message `number`. Drops the
  // notification.
  void OnNoRecipient(std::uint64_t number);
  // Passes a completed message to the dead-letter store if its transfer is pending, its client has its
  // response and no call is in flight. Then removes the message from the table if nothing else is pending for
  // it.
  void PassToDeadLetters(Message& message);
  // Called when the dead-letter store has stored message `number`, or has given it up for good.
  void OnDeadLettered(std::uint64_t number);
  // Called after a restart. Resumes all pending notifications and pending transfers to the dead-letter store.
  void ResumeNotifications();
  // Called when more records have become durable. Notifies the clients whose notification waited for that.
  void OnJournalProgress();

  // The number of completed messages that wait until their records are durable.
  std::size_t waiting_completion_count() const { return awaiting_durability_.size(); }

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
