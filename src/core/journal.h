// The interface to the journal, which durably records every message. Implemented by the segment journal;
// called by the pipeline on the event loop's thread.
#ifndef SAGETALLY_SRC_CORE_JOURNAL_H_
#define SAGETALLY_SRC_CORE_JOURNAL_H_

#include <cstdint>
#include <span>

#include "core/message.h"

namespace sagetally {

// Appends a record for each change of a message. The message is passed in its state after the change.
//
// An appended record is not durable immediately. Until IsDurable() returns true for the message, the change
// must have no effect that is visible outside of the process: no response, no call and no notification. The
// implementation notifies its owner when more records have become durable, and the owner then calls
// MessagePipeline::OnJournalProgress().
class Journal {
 public:
  virtual ~Journal() = default;

  // Records that all `messages` were accepted, in a single journal record. Returns false, and appends
  // nothing, if the journal can't take them, for example because the disk is full.
  virtual bool AppendAccepted(std::span<const Message* const> messages) = 0;
  // Returns by how many bytes the space for messages that are kept would be exceeded with `messages`; 0: they
  // have room.
  virtual std::uint64_t MissingSpace(std::span<const Message* const>) const { return 0; }
  // Returns the bytes of that space that a recorded message takes up.
  virtual std::uint64_t SpaceOf(const Message&) const { return 0; }
  // Records the start of the message's latest attempt.
  virtual void AppendAttempt(const Message& message) = 0;
  // Records the outcome of an attempt after which the message is still pending.
  virtual void AppendOutcome(const Message& message, Outcome outcome) = 0;
  // Records the message's final status.
  virtual void AppendCompletion(const Message& message) = 0;
  // Records that the client acknowledged the notification.
  virtual void AppendNotified(const Message& message) = 0;
  // Records that the dead-letter store has stored the message, or has given it up for good.
  virtual void AppendDeadLettered(const Message&) {}

  // Saves the ids that the table's id history has remembered since the last call. An id whose message has a
  // record of its end needs no call.
  virtual void SaveRememberedIds() {}

  // Whether all records of the message are as durable as its class requires.
  virtual bool IsDurable(const Message&) const { return true; }
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_JOURNAL_H_
