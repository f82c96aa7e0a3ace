// The interface for notifying clients. Implemented by the notification clients; called by the pipeline on the
// event loop's thread.
#ifndef SAGETALLY_SRC_CORE_NOTIFIER_H_
#define SAGETALLY_SRC_CORE_NOTIFIER_H_

#include "core/message.h"

namespace sagetally {

// Notifies clients of the final status of their messages. The implementation repeats a notification until it
// is acknowledged, and then CompletionHandler::OnNotificationAcknowledged() is called.
class Notifier {
 public:
  virtual ~Notifier() = default;

  // Notifies the message's client of its final status. The message has completed, and its records are
  // durable.
  virtual void Notify(const Message& message) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_NOTIFIER_H_
