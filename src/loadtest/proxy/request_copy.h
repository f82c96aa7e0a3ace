// A copy of a request that a fault proxy sends on a connection of its own. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_REQUEST_COPY_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_REQUEST_COPY_H_

#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally::loadtest {

// Connects, sends the request, and discards the response.
class RequestCopy {
 public:
  using ServerAddress = std::function<std::optional<Address>()>;

  // `server_address` is asked when the copy is sent. `on_finished` is called once, from the event loop, when
  // the server has closed the connection, has answered, or can't be reached. It may delete this object only
  // after it has returned.
  RequestCopy(EventLoop& loop, ServerAddress server_address, std::string request,
              std::function<void(RequestCopy&)> on_finished);
  RequestCopy(const RequestCopy&) = delete;
  RequestCopy& operator=(const RequestCopy&) = delete;

  void SendAfter(Duration delay);

 private:
  static void OnReadable(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);
  void Send();
  void Finish();

  EventLoop& loop_;
  const ServerAddress server_address_;
  const std::string request_;
  const std::function<void(RequestCopy&)> on_finished_;
  BufferEventPtr server_;  // null until Send()
  Timer send_timer_;
  Timer end_timer_;
  bool is_finished_ = false;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_REQUEST_COPY_H_
