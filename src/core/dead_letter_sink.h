// The dead-letter store, as the core sees it. Implemented by the dead-letter manager; called on the event
// loop's thread. Where dead letters are not configured the core runs without one.
#ifndef SAGETALLY_SRC_CORE_DEAD_LETTER_SINK_H_
#define SAGETALLY_SRC_CORE_DEAD_LETTER_SINK_H_

#include "core/message.h"

namespace sagetally {

// Stores messages that ended undelivered and redrives them.
class DeadLetterSink {
 public:
  virtual ~DeadLetterSink() = default;

  // A client's message was accepted and recorded.
  virtual void OnAccepted(const Message& message) = 0;
  // Whether `request` is another copy of a dead letter whose redrive is under way.
  virtual bool IsBeingRedriven(const Request& request) const = 0;
  // A call's result has arrived, and the message's history holds it.
  virtual void OnCallCompleted(const Message& message, const CallResult& result) = 0;
  // The message is about to complete with `final_status`: sets its failure_reason and dead_letter_pending
  // before the completion is recorded.
  virtual void BeforeCompletion(Message& message, FinalStatus final_status) = 0;
  // The message has dead_letter_pending, has ended, has no call in flight, and its client has its answer. May
  // be called more than once for a message. Once stored, CompletionHandler::OnDeadLettered() is called.
  virtual void Store(const Message& message) = 0;
  // Whether a message that was pending when the process ended may still be sent.
  virtual bool MayContinueAfterRestart(const Message& message) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_DEAD_LETTER_SINK_H_
