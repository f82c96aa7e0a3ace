// Follows the service discovery's list of endpoints.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_
#define SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "config/config.h"
#include "config/json_stream.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "time/backoff.h"

namespace sagetally {

// A watch request that is always open and, when it is lost, is made again after the last revision received.
// Whatever becomes of one request, a change that discovery has is received before it binds: it counts as
// announced 6 s after discovery has it, and an endpoint that drains then has a grace period. On the event
// loop's thread.
class EndpointListWatcher {
 public:
  // `known_revision`: of the list that the caller has already. `backoff_seed`: for the delays between two
  // requests. Calls `on_update` for each update, in the order of revisions. `site` must outlive this.
  EndpointListWatcher(EventLoop& loop, const Address& discovery, const SiteSettings& site,
                      std::int64_t known_revision, std::uint64_t backoff_seed,
                      std::function<void(const EndpointListUpdate&)> on_update, Logger& log);
  ~EndpointListWatcher();

  // Of the last update.
  std::int64_t revision() const { return revision_; }
  // Goes on at another address, after the revision received last.
  void ChangeAddress(const Address& discovery);

 private:
  void StartWatch();
  void OnWatchLost(const char* reason);
  void OnLineReceived();
  void OnListReceived(const std::string& text);
  void OnChunk(const std::string& text);
  static int OnHeaders(evhttp_request* request, void* self);
  static void OnChunkReceived(evhttp_request* request, void* self);
  static void OnRequestEnded(evhttp_request* request, void* self);

  EventLoop& loop_;
  Address discovery_;
  const SiteSettings& site_;
  std::int64_t revision_;
  std::function<void(const EndpointListUpdate&)> on_update_;
  Logger& log_;
  simdjson::dom::parser parser_;
  JsonStream stream_;
  ConnectionPtr connection_;
  bool is_lost_ = false;  // what this connection still brings is ignored
  // Discovery has begun to count its revisions anew.
  bool accepts_older_revision_ = false;
  Backoff backoff_;
  Timer silence_timer_;
  Timer retry_timer_;
  Timer older_revision_timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_
