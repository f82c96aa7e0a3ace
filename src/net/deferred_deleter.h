// Deletes objects in a later callback of the event loop. Used on the loop's thread only.
#ifndef SAGETALLY_SRC_NET_DEFERRED_DELETER_H_
#define SAGETALLY_SRC_NET_DEFERRED_DELETER_H_

#include <memory>
#include <utility>
#include <vector>

#include "net/event_loop.h"

namespace sagetally {

// Owns objects, such as connections, that were closed within one of their own callbacks, and deletes them
// after that callback has returned. Its destructor deletes the objects that are left at once.
template <typename T>
class DeferredDeleter {
 public:
  explicit DeferredDeleter(EventLoop& loop) : timer_(loop, [this] { objects_.clear(); }) {}

  // Takes over `object` and deletes it in the next iteration of the loop.
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
