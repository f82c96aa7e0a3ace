// Reports to their senders the messages that ended undelivered: to the platform as notices, to the event sink
// as result events.
#ifndef SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_
#define SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/ports.h"
#include "logging/logger.h"
#include "net/event_loop.h"

namespace sagetally {

// Posts notifications in batches, one batch at a time, and again until they were acknowledged (2xx). On the
// event loop's thread.
class NotificationClient : public Notifier {
 public:
  // How a batch is written.
  struct Encoding {
    std::string path;
    std::string content_type;
    std::string open;                                 // before the first notification
    std::string between;                              // between two
    std::string close;                                // after the last
    std::function<std::string(const Message&)> line;  // one notification
  };
  // JSON lines, to the platform's own address.
  static Encoding PlatformEncoding();
  // A batch of CloudEvents.
  static Encoding BatchEncoding(std::string path, std::function<std::string(const Message&)> event);

  // `on_acknowledged` is called with the number of each message whose notification was acknowledged.
  NotificationClient(EventLoop& loop, const Address& address, Encoding encoding,
                     std::function<void(std::uint64_t)> on_acknowledged, Logger& log);
  ~NotificationClient() override;

  void Notify(const Message& message) override;
  // Drops the notification of a message, if it is pending.
  void Forget(std::uint64_t number) { pending_.erase(number); }
  // Everything was acknowledged.
  bool is_idle() const { return pending_.empty(); }
  // What was not acknowledged yet goes to another address.
  void ChangeAddress(const Address& address);
  // Drops what is pending: another process sends it.
  void Shutdown();

 private:
  void PostBatch();
  std::string TakeBatch();
  void OnBatchFailed(const char* reason);
  static void OnResponse(evhttp_request* request, void* self);
  void OnStatus(int status);

  EventLoop& loop_;
  Address address_;
  const Encoding encoding_;
  std::function<void(std::uint64_t)> on_acknowledged_;
  Logger& log_;
  std::map<std::uint64_t, std::string> pending_;  // by number of the message, encoded
  std::vector<std::uint64_t> in_flight_;          // numbers in the batch that is being posted
  bool is_failing_ = false;                       // the last batch failed
  ConnectionPtr connection_;
  Timer post_timer_;
  Timer response_timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_
