// Notifications of clients, as the core sees them. Implemented by the notification clients; called on the
// event loop's thread.
#ifndef SAGETALLY_SRC_CORE_NOTIFIER_H_
#define SAGETALLY_SRC_CORE_NOTIFIER_H_

#include "core/message.h"

namespace sagetally {

// Tells clients of final statuses. The implementation repeats a notification until it is acknowledged, and
// then calls CompletionHandler::OnNotificationAcknowledged().
class Notifier {
 public:
  virtual ~Notifier() = default;

  // Notifies the message's client of its final status. The message has ended and is durable.
  virtual void Notify(const Message& message) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_NOTIFIER_H_
