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

// A change counts as announced 6 s after discovery has it, and a drain takes effect 2 s later, so a
// dispatcher must receive it within 8 s. Discovery sends a line at least every 2 s, so a watch that is silent
// for 3 s is taken for lost. The remaining time is enough for one request. Unless hundreds of dispatchers
// share discovery, it is also enough for a second request, which is needed if the first one is rejected late
// or never answered: 3 s of silence + 2.2 s for a request + 0.6 s of delay + 2.2 s for a request.
constexpr Duration kMaxSilence = milliseconds(3000);
// Where lists are pushed, an agent on this machine sends them, and it answers a request at once.
constexpr Duration kResponseTimeout = milliseconds(1000);
// Where lists are sent on request, discovery may take up to 2 s to reject a request.
constexpr Duration kOnRequestResponseTimeout = milliseconds(2200);
constexpr Duration kRetryDelay = milliseconds(200);
// Where lists are sent on request, discovery itself serves all dispatchers. In a larger fleet than this, the
// bound of the first delay grows with the number of dispatchers, so that all of them together make no more
// requests than this many with the bound kRetryDelay.
constexpr int kSmallFleetSize = 4;
// The longest delay between two requests, however many dispatchers there are and however often discovery has
// rejected requests. A dispatcher that has just begun this delay when discovery becomes available again still
// receives a drain before the drain takes effect.
constexpr Duration kMaxBackoff = milliseconds(5000);
constexpr int kMaxBackoffFactor = 3;  // the bound of the delay grows up to this multiple of its initial value
// An older revision than the known one may come from another discovery to which the watch was moved and which
// lags behind. If the revision is still older after this time, discovery has restarted its revision numbers.
// What discovery had at the time of the move counts as announced 4 s after the move.
constexpr Duration kOlderRevisionTimeout = milliseconds(4000);
constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxReadAheadBytes = 1024 * 1024;
constexpr int kOk = 200;

// Returns the bound of the delay after the first failure.
Duration InitialBackoff(int dispatcher_count) {
  return std::clamp<Duration>(kRetryDelay * dispatcher_count / kSmallFleetSize, kRetryDelay, kMaxBackoff);
}

Backoff NewBackoff(int dispatcher_count, std::uint64_t seed) {
  const Duration initial = InitialBackoff(dispatcher_count);
  return {initial, std::min(kMaxBackoffFactor * initial, kMaxBackoff), seed};
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
  // A discovery that serves many dispatchers queues their requests. A shorter timeout would lose the
  // request's place in the queue.
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

// Gives the watch up and schedules the next request. Only the first call for a connection has an effect.
void EndpointListWatcher::OnWatchLost(const char* reason) {
  if (std::exchange(is_lost_, true)) return;
  log_.Warn("discovery.lost", {{"reason", reason}, {"revision", revision_}});
  silence_timer_.Stop();
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_.get()), EV_READ);
  // Pushed lists come from an agent on this machine, which requests do not burden. A discovery that serves
  // hundreds of dispatchers would reject nearly all of their requests for as long as each of them sent five a
  // second.
  retry_timer_.Schedule(site_.policy.endpoint_list_on_request ? backoff_.NextDelay() : kRetryDelay);
}

int EndpointListWatcher::OnHeaders(evhttp_request* request, void* self) {
  // Headers count as a sign of life. If nothing has changed since the known revision, the first line comes
  // only later and may be empty.
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
  const bool is_ok = evhttp_request_get_response_code(request) == kOk;  // otherwise it is an error message
  if (is_ok && !watcher->is_lost_) watcher->OnChunk(text);
}

void EndpointListWatcher::OnChunk(const std::string& text) {
  const auto on_list = [this](const std::string& list) {
    if (!is_lost_) OnListReceived(list);
  };
  const bool is_valid = stream_.Add(text, on_list, [this] { OnLineReceived(); });
  if (is_valid || is_lost_) return;
  log_.Warn("discovery.unreadable", {{"reason", "not an endpoint list"}});
  OnWatchLost("unreadable");
}

// A line or the headers show that the watch is alive.
void EndpointListWatcher::OnLineReceived() {
  if (!is_lost_) silence_timer_.Schedule(kMaxSilence);
}

// A malformed list is not applied. Its changes count as announced all the same, so the watch is requested
// again from the known revision on.
void EndpointListWatcher::OnListReceived(const std::string& text) {
  EndpointListUpdate update;
  try {
    update = ReadEndpointList(json::ParseReplacingInvalidUtf8(parser_, text), site_);
  } catch (const std::exception& error) {
    log_.Warn("discovery.unreadable", {{"reason", error.what()}});
    return OnWatchLost("unreadable");
  }
  for (const std::string& error : update.entry_errors) {
    log_.Warn("discovery.entry_skipped", {{"reason", error}});
  }
  OnLineReceived();
  if (update.revision < revision_ && !accepts_older_revision_) {
    // An older list would put draining endpoints back into service. A discovery that lags behind sends the
    // changes up to the known revision without a further request, and one that has restarted its revision
    // numbers never does.
    if (older_revision_timer_.is_pending()) return;
    log_.Warn("discovery.behind", {{"revision", update.revision}, {"known_revision", revision_}});
    return older_revision_timer_.Schedule(kOlderRevisionTimeout);
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
