// Notifies clients of messages that could not be delivered. Clients of the platform's protocol are notified
// by notices to the platform, clients of CloudEvents by result events to the event sink.
#ifndef SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_
#define SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/ports.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/notification_queue.h"

namespace sagetally {

// Posts notifications in batches until each is acknowledged (by a 2xx response to its batch).
// NotificationQueue says what is posted when. Each batch has a connection of its own: a response that comes
// twice, or after its batch was given up, would be taken for the response to the next batch on the same
// connection. Used on the event loop's thread.
class NotificationClient : public Notifier {
 public:
  // The HTTP form of a batch.
  struct Encoding {
    std::string path;
    std::string content_type;
    std::string prefix;                                         // precedes the first notification
    std::string separator;                                      // stands between two notifications
    std::string suffix;                                         // follows the last notification
    std::function<std::string(const Message&)> encode_message;  // returns one notification
  };
  // Returns the platform's encoding: JSON lines, posted to a fixed path.
  static Encoding PlatformEncoding();
  // Returns the encoding of a batch of CloudEvents. `encode_event` returns the event for one message.
  static Encoding BatchEncoding(std::string path, std::function<std::string(const Message&)> encode_event);

  // Posts to `address`. Calls `on_acknowledged` with the number of each message whose notification was
  // acknowledged. `loop` and `log` must outlive the client.
  NotificationClient(EventLoop& loop, const Address& address, Encoding encoding,
                     std::function<void(std::uint64_t)> on_acknowledged, Logger& log);
  ~NotificationClient() override;

  // Queues a notification of the message's final status.
  void Notify(const Message& message) override;
  // Returns whether all notifications were acknowledged.
  bool is_idle() const { return queue_.empty(); }
  // Posts the notifications that are still pending, and all later ones, to another address.
  void ChangeAddress(const Address& address);
  // Drops the pending notifications, which another process posts instead.
  void Shutdown();

  // Called when the receiver has rejected the content of a batch. May be empty.
  std::function<void()> on_rejected;

 private:
  using BatchKind = NotificationQueue::BatchKind;

  // Schedules the next batch of each kind for when it is due.
  void SchedulePosts();
  void Post(BatchKind kind);
  std::string EncodeBatch(const std::vector<std::string>& notifications) const;
  void OnResult(BatchKind kind, const HttpResult& result);
  void OnAcknowledged(BatchKind kind);
  // `reason` is empty if the receiver has rejected the content of the batch.
  void OnFailed(BatchKind kind, int status, const std::string& reason);

  EventLoop& loop_;
  Address address_;
  const Encoding encoding_;
  std::function<void(std::uint64_t)> on_acknowledged_;
  Logger& log_;
  NotificationQueue queue_;
  bool is_failing_ = false;                  // the receiver was unavailable for the last batch
  std::unique_ptr<HttpClient> http_client_;  // has the batches in flight
  Timer regular_timer_;
  Timer suspects_timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_
