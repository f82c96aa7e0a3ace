// Observes when an HTTP request was written to the socket of an evhttp connection. Used on the event loop's
// thread.
#ifndef SAGETALLY_SRC_NET_WRITE_OBSERVER_H_
#define SAGETALLY_SRC_NET_WRITE_OBSERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <functional>
#include <utility>

#include "net/event_loop.h"

namespace sagetally {

// Determines whether the last byte of a request was written to the connection's socket. Must be destroyed
// before the connection.
class WriteObserver {
 public:
  // Calls `on_request_buffered` when a request is added to the connection's output buffer, which happens once
  // the connection is established.
  WriteObserver(evhttp_connection* connection, std::function<void()> on_request_buffered)
      : buffers_(evhttp_connection_get_bufferevent(connection)),
        on_request_buffered_(std::move(on_request_buffered)) {
    evbuffer_add_cb(bufferevent_get_output(buffers_), OnOutputChanged, this);
  }
  ~WriteObserver() { evbuffer_remove_cb(bufferevent_get_output(buffers_), OnOutputChanged, this); }
  WriteObserver(const WriteObserver&) = delete;
  WriteObserver& operator=(const WriteObserver&) = delete;

  // To be called before another request is made on the connection.
  void Start() { is_written_ = false; }
  // Returns whether the request was written completely.
  bool is_written() const { return is_written_; }

 private:
  static void OnOutputChanged(evbuffer* output, const evbuffer_cb_info* change, void* self) {
    auto* observer = static_cast<WriteObserver*>(self);
    if (change->n_added > 0) observer->on_request_buffered_();
    // libevent also empties the buffer of a failed connection, but has closed its socket by then.
    const bool has_socket = bufferevent_getfd(observer->buffers_) != -1;
    if (change->n_deleted > 0 && evbuffer_get_length(output) == 0 && has_socket) {
      observer->is_written_ = true;
    }
  }

  bufferevent* buffers_;
  std::function<void()> on_request_buffered_;
  bool is_written_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_WRITE_OBSERVER_H_
