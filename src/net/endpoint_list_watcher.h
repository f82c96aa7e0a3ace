// Follows the endpoint list of the service discovery by a watch request. Used on the event loop's thread.
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

// Keeps a watch request open. When the watch is lost, requests a new one from the last received revision on.
// A change must be received before it takes effect even if one request fails: it counts as announced 6 s
// after discovery has it, and an endpoint that drains has a grace period after that.
class EndpointListWatcher {
 public:
  // Starts the watch at the address `discovery`. `known_revision` is the revision of the list that the caller
  // already has. `backoff_seed` seeds the random delays between requests. Calls `on_update` for each update
  // in the order of receipt. `loop`, `site` and `log` must outlive the watcher.
  EndpointListWatcher(EventLoop& loop, const Address& discovery, const SiteSettings& site,
                      std::int64_t known_revision, std::uint64_t backoff_seed,
                      std::function<void(const EndpointListUpdate&)> on_update, Logger& log);
  ~EndpointListWatcher();

  // The revision of the last update, or else the known revision.
  std::int64_t revision() const { return revision_; }
  // Continues the watch at another address, from the last received revision on.
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
  bool is_lost_ = false;  // the watch was lost; further bytes of its connection are ignored
  // Discovery has restarted its revision numbers, so the next list is accepted whatever its revision.
  bool accepts_older_revision_ = false;
  Backoff backoff_;
  Timer silence_timer_;
  Timer retry_timer_;
  Timer older_revision_timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_LIST_WATCHER_H_
