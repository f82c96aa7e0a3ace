// The durable record of every message, as the core sees it. Implemented by the segment journal; called on the
// event loop's thread.
#ifndef SAGETALLY_SRC_CORE_JOURNAL_H_
#define SAGETALLY_SRC_CORE_JOURNAL_H_

#include <span>

#include "core/message.h"

namespace sagetally {

// Appends a record for each change of a message. A message is passed in its state after the change.
//
// A record is not durable as soon as it is appended: nothing that others can see (an answer, a call, a
// notification) may follow from it before IsDurable() says so. The implementation tells its owner when it has
// made progress, and the owner then calls MessagePipeline::OnJournalProgress().
class Journal {
 public:
  virtual ~Journal() = default;

  // Appends all messages as one record. Returns false, and appends nothing, if the disk is full.
  virtual bool AppendAccepted(std::span<const Message* const> messages) = 0;
  // Appends the start of the message's latest attempt.
  virtual void AppendAttempt(const Message& message) = 0;
  // Appends the outcome of an attempt after which the message stays pending.
  virtual void AppendOutcome(const Message& message, Outcome outcome) = 0;
  // Appends the message's final status.
  virtual void AppendCompletion(const Message& message) = 0;
  // Appends that the client acknowledged the notification.
  virtual void AppendNotified(const Message& message) = 0;
  // Appends that the dead-letter store holds the message, or never will.
  virtual void AppendDeadLettered(const Message&) {}

  // Whether all records of the message are as durable as its class demands.
  virtual bool IsDurable(const Message&) const { return true; }
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_JOURNAL_H_
