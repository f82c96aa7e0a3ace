// The interface to the dead-letter store. Implemented by the dead-letter manager; called by the pipeline on
// the event loop's thread. If dead letters are not configured, the pipeline runs without a sink.
#ifndef SAGETALLY_SRC_CORE_DEAD_LETTER_SINK_H_
#define SAGETALLY_SRC_CORE_DEAD_LETTER_SINK_H_

#include "core/message.h"

namespace sagetally {

// Stores messages that could not be delivered, and redrives them.
class DeadLetterSink {
 public:
  virtual ~DeadLetterSink() = default;

  // Called when a message of a client was accepted and appended to the journal.
  virtual void OnAccepted(const Message& message) = 0;
  // Whether `request` is another copy of a dead letter that is being redriven.
  virtual bool IsBeingRedriven(const Request& request) const = 0;
  // Called when the result of a call has arrived and was added to the message's history.
  virtual void OnCallCompleted(const Message& message, const CallResult& result) = 0;
  // Called when the message is about to complete with `final_status`. Sets its failure_reason and
  // dead_letter_pending before the completion is recorded.
  virtual void BeforeCompletion(Message& message, FinalStatus final_status) = 0;
  // Stores a completed message whose dead_letter_pending is set, that has no call in flight, and whose client
  // has its response. May be called more than once for a message. Once the message is stored, or was given up
  // for good, the implementation calls CompletionHandler::OnDeadLettered().
  virtual void Store(const Message& message) = 0;
  // Whether a message that was pending when the previous process ended may still be sent.
  virtual bool MayContinueAfterRestart(const Message& message) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_DEAD_LETTER_SINK_H_
