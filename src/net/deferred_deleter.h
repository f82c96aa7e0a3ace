// Deletes objects in a later callback of the event loop.
#ifndef SAGETALLY_SRC_NET_DEFERRED_DELETER_H_
#define SAGETALLY_SRC_NET_DEFERRED_DELETER_H_

#include <memory>
#include <utility>
#include <vector>

#include "net/event_loop.h"

namespace sagetally {

// Holds connections that were closed from within one of their own callbacks until that callback has returned.
// Its destructor deletes at once.
template <typename T>
class DeferredDeleter {
 public:
  explicit DeferredDeleter(EventLoop& loop) : timer_(loop, [this] { objects_.clear(); }) {}

  void Delete(std::unique_ptr<T> object) {
    objects_.push_back(std::move(object));
    timer_.Schedule(Duration(0));
  }

 private:
  std::vector<std::unique_ptr<T>> objects_;
  Timer timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_DEFERRED_DELETER_H_
