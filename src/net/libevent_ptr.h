// Owning pointers to objects of libevent and the C library.
#ifndef SAGETALLY_SRC_NET_LIBEVENT_PTR_H_
#define SAGETALLY_SRC_NET_LIBEVENT_PTR_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace sagetally {

// Deleter for std::unique_ptr that frees an object with the C function `kFree`.
template <auto kFree>
struct Free {
  template <typename T>
  void operator()(T* object) const {
    kFree(object);
  }
};

using EventPtr = std::unique_ptr<event, Free<event_free>>;
using BufferPtr = std::unique_ptr<evbuffer, Free<evbuffer_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, Free<bufferevent_free>>;
using EventListenerPtr = std::unique_ptr<evconnlistener, Free<evconnlistener_free>>;
using HttpPtr = std::unique_ptr<evhttp, Free<evhttp_free>>;
using ConnectionPtr = std::unique_ptr<evhttp_connection, Free<evhttp_connection_free>>;

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_LIBEVENT_PTR_H_
