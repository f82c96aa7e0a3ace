// Tells the ends of messages taken on and not delivered, again until they were heard: to the platform as
// notices, to the sink of events as result events.
#ifndef SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_
#define SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/ports.h"
#include "logging/logger.h"
#include "net/event_loop.h"

namespace sagetally {

class NotificationClient : public Notifier {
 public:
  struct Encoding {  // of a post
    std::string path, content_type, open, between, close;
    std::function<std::string(const Message&)> line;
  };
  static Encoding PlatformEncoding();  // JSON lines at the platform's own address
  static Encoding BatchEncoding(std::string path,
                                std::function<std::string(const Message&)> event);  // of CloudEvents

  // `heard` is called for each message whose notice was answered with success.
  NotificationClient(EventLoop& loop, const Address& to, Encoding form,
                     std::function<void(std::uint64_t)> heard, Logger& log);
  ~NotificationClient() override;

  void Notify(const Message& message) override;
  void Forget(std::uint64_t number) { waiting_.erase(number); }
  bool idle() const { return waiting_.empty(); }
  // What was not heard yet is told at another address.
  void ChangeAddress(const Address& to);
  void Shutdown();  // another process tells what is waiting

 private:
  void Post();
  void Failed(const char* how);
  static void Done(evhttp_request* request, void* self);

  EventLoop& loop_;
  Address to_;
  const Encoding form_;
  std::function<void(std::uint64_t)> heard_;
  Logger& log_;
  std::map<std::uint64_t, std::string> waiting_;  // as posted
  std::vector<std::uint64_t> out_;                // in the post that is out
  bool failing_ = false;
  ConnectionPtr connection_;
  Timer post_, unheard_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_NOTIFICATION_CLIENT_H_
