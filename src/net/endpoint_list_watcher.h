// The watch on discovery's list of endpoints: always on, resumed after the last version heard. Whatever
// becomes of a call, what discovery has and could be asked for is heard before it binds: a change counts as
// told 6 s later, and a drain then leaves a grace of its own.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_
#define SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_

#include <functional>
#include <string>

#include "config/config.h"
#include "config/json_stream.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "time/backoff.h"

namespace sagetally {

class EndpointListWatcher {
 public:
  // `known`: the version of the list held already. `seed`: for the waits before it asks again.
  EndpointListWatcher(EventLoop& loop, const Address& discovery, const SiteSettings& site, std::int64_t known,
                      std::uint64_t seed, std::function<void(const EndpointListUpdate&)> news, Logger& log);
  ~EndpointListWatcher();

  std::int64_t revision() const { return revision_; }
  // Goes on at another address, after the version heard last.
  void ChangeAddress(const Address& discovery);

 private:
  void Ask();
  void Lost(const char* how);
  void List(const std::string& text);
  void Heard();  // a whole line: the watch is alive
  static int Head(evhttp_request* request, void* self);
  static void Chunk(evhttp_request* request, void* self);
  static void Done(evhttp_request* request, void* self);

  EventLoop& loop_;
  Address discovery_;
  const SiteSettings& site_;
  std::int64_t revision_;
  std::function<void(const EndpointListUpdate&)> news_;
  Logger& log_;
  simdjson::dom::parser parser_;
  JsonStream stream_;
  ConnectionPtr connection_;
  bool lost_ = false;          // what this connection still brings is nobody's
  bool older_counts_ = false;  // discovery has begun to count its versions anew
  Backoff back_off_;
  Timer silent_, again_, behind_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_
