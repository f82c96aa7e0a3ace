// Tells when a request's last byte has gone to the socket of an evhttp connection.
#ifndef SAGETALLY_SRC_NET_WRITE_OBSERVER_H_
#define SAGETALLY_SRC_NET_WRITE_OBSERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <functional>
#include <utility>

#include "net/event_loop.h"

namespace sagetally {

class WriteObserver {
 public:
  // `connected` is called when a request reaches the connection's buffer: once the connection is up.
  WriteObserver(evhttp_connection* connection, std::function<void()> connected)
      : buffers_(evhttp_connection_get_bufferevent(connection)), connected_(std::move(connected)) {
    evbuffer_add_cb(bufferevent_get_output(buffers_), Moved, this);
  }
  ~WriteObserver() { evbuffer_remove_cb(bufferevent_get_output(buffers_), Moved, this); }
  WriteObserver(const WriteObserver&) = delete;
  WriteObserver& operator=(const WriteObserver&) = delete;

  void Start() { written_ = false; }  // a new request follows
  bool written() const { return written_; }

 private:
  static void Moved(evbuffer* buffer, const evbuffer_cb_info* info, void* self) {
    auto* w = static_cast<WriteObserver*>(self);
    if (info->n_added > 0) w->connected_();
    // libevent empties the buffer of a failed connection too, once its socket is gone.
    if (info->n_deleted > 0 && evbuffer_get_length(buffer) == 0 && bufferevent_getfd(w->buffers_) != -1) {
      w->written_ = true;
    }
  }

  bufferevent* buffers_;
  std::function<void()> connected_;
  bool written_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_WRITE_OBSERVER_H_
