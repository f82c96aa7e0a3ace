// Observes when a request has left the process.
#ifndef SAGETALLY_SRC_NET_WRITE_OBSERVER_H_
#define SAGETALLY_SRC_NET_WRITE_OBSERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <functional>
#include <utility>

#include "net/event_loop.h"

namespace sagetally {

// Knows whether the last byte of a request has gone to the socket of an evhttp connection. Must be destroyed
// before the connection is. On the loop's thread.
class WriteObserver {
 public:
  // `on_request_buffered` is called when a request reaches the connection's buffer, which is once the
  // connection is up.
  WriteObserver(evhttp_connection* connection, std::function<void()> on_request_buffered)
      : buffers_(evhttp_connection_get_bufferevent(connection)),
        on_request_buffered_(std::move(on_request_buffered)) {
    evbuffer_add_cb(bufferevent_get_output(buffers_), OnOutputChanged, this);
  }
  ~WriteObserver() { evbuffer_remove_cb(bufferevent_get_output(buffers_), OnOutputChanged, this); }
  WriteObserver(const WriteObserver&) = delete;
  WriteObserver& operator=(const WriteObserver&) = delete;

  // A new request follows on the connection.
  void Start() { is_written_ = false; }
  bool is_written() const { return is_written_; }

 private:
  static void OnOutputChanged(evbuffer* output, const evbuffer_cb_info* change, void* self) {
    auto* observer = static_cast<WriteObserver*>(self);
    if (change->n_added > 0) observer->on_request_buffered_();
    // libevent empties the buffer of a failed connection too, but its socket is gone by then.
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
