#include "net/endpoint_list_watcher.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "net/http_connection.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// What discovery has counts as announced after 6 s, and a drain binds 2 s later. A line comes every 2 s, so
// silence is noticed after 3 s. Until then there is time for one request and, unless hundreds of dispatchers
// share discovery, for a second one, as the first may be rejected late or never be answered:
// 3 + 2.2 + 0.6 + 2.2 s.
constexpr Duration kMaxSilence = milliseconds(3000);
constexpr Duration kResponseTimeout = milliseconds(1000);           // the agent answers at once
constexpr Duration kOnRequestResponseTimeout = milliseconds(2200);  // discovery rejects after up to 2 s
constexpr Duration kRetryDelay = milliseconds(200);
// Where lists are sent on request, discovery itself serves all dispatchers: together they come again no
// sooner than so many of them would after kRetryDelay.
constexpr int kSmallFleetSize = 4;
// The longest delay between two requests, however many dispatchers there are and however often discovery has
// rejected: one that waits for as long when discovery comes back still receives a drain before it binds.
constexpr Duration kMaxBackoff = milliseconds(5000);
constexpr int kMaxBackoffFactor = 3;  // of the first delay, after failures in a row
// A revision older than ours may come from another discovery, to which we were moved and which lags behind.
// If it is still older after this time, discovery has begun to count anew; what it had at the move counts as
// announced 4 s after it.
constexpr Duration kOlderRevisionPatience = milliseconds(4000);
constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxReadAheadBytes = 1024 * 1024;
constexpr int kOk = 200;

Duration FirstBackoff(int dispatcher_count) {
  return std::clamp<Duration>(kRetryDelay * dispatcher_count / kSmallFleetSize, kRetryDelay, kMaxBackoff);
}

Backoff NewBackoff(int dispatcher_count, std::uint64_t seed) {
  const Duration first = FirstBackoff(dispatcher_count);
  return {first, std::min(kMaxBackoffFactor * first, kMaxBackoff), seed};
}

}  // namespace

EndpointListWatcher::EndpointListWatcher(EventLoop& loop, const Address& discovery, const SiteSettings& site,
                                         std::int64_t known_revision, std::uint64_t backoff_seed,
                                         std::function<void(const EndpointListUpdate&)> on_update,
                                         Logger& log)
    : loop_(loop),
      discovery_(discovery),
      site_(site),
      revision_(known_revision),
      on_update_(std::move(on_update)),
      log_(log),
      stream_(kMaxListBytes),
      backoff_(NewBackoff(site.policy.dispatcher_count, backoff_seed)),
      silence_timer_(loop, [this] { OnWatchLost("silent"); }),
      retry_timer_(loop, [this] { StartWatch(); }),
      older_revision_timer_(loop, [this] {
        accepts_older_revision_ = true;
        OnWatchLost("behind");
      }) {
  StartWatch();
}

EndpointListWatcher::~EndpointListWatcher() = default;

void EndpointListWatcher::StartWatch() {
  stream_.Clear();
  is_lost_ = false;
  connection_ = OpenHttpConnection(loop_, discovery_, {kMaxReadAheadBytes, 0});
  evhttp_request* request = evhttp_request_new(OnRequestEnded, this);
  evhttp_request_set_header_cb(request, OnHeaders);
  evhttp_request_set_chunked_cb(request, OnChunkReceived);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", discovery_.host.c_str());
  // Discovery that serves many dispatchers has a queue: giving up sooner would lose the place in it.
  silence_timer_.Schedule(site_.policy.endpoint_list_on_request ? kOnRequestResponseTimeout
                                                                : kResponseTimeout);
  const std::string target = "/v1/servers?watch=1&after=" + std::to_string(revision_);
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, target.c_str());
}

void EndpointListWatcher::ChangeAddress(const Address& discovery) {
  discovery_ = discovery;
  retry_timer_.Stop();
  older_revision_timer_.Stop();
  accepts_older_revision_ = false;
  StartWatch();
}

// Once for each connection.
void EndpointListWatcher::OnWatchLost(const char* reason) {
  if (std::exchange(is_lost_, true)) return;
  log_.Warn("discovery.lost", {{"reason", reason}, {"revision", revision_}});
  silence_timer_.Stop();
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_.get()), EV_READ);
  // Pushed lists come from an agent on this machine, at no cost. Discovery that hundreds of dispatchers ask
  // five times a second each rejects nearly all of them for as long as they go on.
  retry_timer_.Schedule(site_.policy.endpoint_list_on_request ? backoff_.NextDelay() : kRetryDelay);
}

int EndpointListWatcher::OnHeaders(evhttp_request* request, void* self) {
  // Where nothing has changed since our revision, the first line may be an empty one, later.
  if (evhttp_request_get_response_code(request) == kOk) {
    static_cast<EndpointListWatcher*>(self)->OnLineReceived();
  }
  return 0;
}

void EndpointListWatcher::OnChunkReceived(evhttp_request* request, void* self) {
  auto* watcher = static_cast<EndpointListWatcher*>(self);
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, text.data(), text.size());
  const bool is_ok = evhttp_request_get_response_code(request) == kOk;  // else it is the text of an error
  if (is_ok && !watcher->is_lost_) watcher->OnChunk(text);
}

void EndpointListWatcher::OnChunk(const std::string& text) {
  const auto on_list = [this](const std::string& list) {
    if (!is_lost_) OnListReceived(list);
  };
  const bool is_valid = stream_.Add(text, on_list, [this] { OnLineReceived(); });
  if (is_valid || is_lost_) return;
  log_.Warn("discovery.unreadable", {{"reason", "no list of endpoints"}});
  OnWatchLost("unreadable");
}

// The watch is alive.
void EndpointListWatcher::OnLineReceived() {
  if (!is_lost_) silence_timer_.Schedule(kMaxSilence);
}

// A list that can't be read changes nothing. What it had counts as announced all the same, so the watch is
// made again after the revision that we have.
void EndpointListWatcher::OnListReceived(const std::string& text) {
  EndpointListUpdate update;
  try {
    json::Value value;
    if (parser_.parse(text).get(value) != simdjson::SUCCESS) json::Malformed("no JSON");
    update = ReadEndpointList(value, site_);
  } catch (const std::exception& error) {
    log_.Warn("discovery.unreadable", {{"reason", error.what()}});
    return OnWatchLost("unreadable");
  }
  OnLineReceived();
  if (update.revision < revision_ && !accepts_older_revision_) {
    // It would bring back endpoints that are draining. Its changes up to our revision come by
    // themselves, or never.
    if (older_revision_timer_.is_pending()) return;
    log_.Warn("discovery.behind", {{"revision", update.revision}, {"known_revision", revision_}});
    return older_revision_timer_.Schedule(kOlderRevisionPatience);
  }
  older_revision_timer_.Stop();
  accepts_older_revision_ = false;
  revision_ = update.revision;
  backoff_.Reset();
  on_update_(update);
}

void EndpointListWatcher::OnRequestEnded(evhttp_request* request, void* self) {
  auto* watcher = static_cast<EndpointListWatcher*>(self);
  const bool is_ok = request != nullptr && evhttp_request_get_response_code(request) == kOk;
  watcher->OnWatchLost(is_ok ? "ended" : "broke");
}

}  // namespace sagetally
