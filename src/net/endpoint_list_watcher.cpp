#include "net/endpoint_list_watcher.h"

#include <event2/buffer.h>

#include <algorithm>
#include <utility>

#include "net/http_connection.h"

namespace sagetally {
namespace {

// What discovery has counts as told after 6 s, and a drain binds 2 s later. A line comes every 2 s, so a
// silent watch is known after 3 s. From then on an ask has its place and, unless hundreds share discovery, a
// second one, as the first may be refused late or never be answered: 3 + 2.2 + 0.6 + 2.2 s.
constexpr Duration kSilent = std::chrono::milliseconds(3000);
constexpr Duration kUnheard = std::chrono::milliseconds(1000);       // the agent answers at once
constexpr Duration kUnheardAsked = std::chrono::milliseconds(2200);  // discovery refuses after up to 2 s
constexpr Duration kAgain = std::chrono::milliseconds(200);
// Where lists are asked for, discovery itself serves all senders: together they come again no sooner than so
// many of them would at kAgain.
constexpr int kFewSenders = 4;
// The longest wait between two asks, however many senders there are and however often discovery has refused:
// one that waits for as long when discovery comes back still hears of a drain before it binds.
constexpr Duration kLongestWait = std::chrono::milliseconds(5000);
constexpr int kMostTimes = 3;  // the first wait, after failures in a row
// Versions older than ours: another discovery, to which we were moved, may lag behind. What still is older
// after so long has begun to count anew; what it had at the move counts as told 4 s after it.
constexpr Duration kBehind = std::chrono::milliseconds(4000);
constexpr std::size_t kLongestList = 4 * 1024 * 1024, kMostReadAhead = 1024 * 1024;

Duration FirstWait(int senders) {
  return std::clamp<Duration>(kAgain * senders / kFewSenders, kAgain, kLongestWait);
}

}  // namespace

EndpointListWatcher::EndpointListWatcher(EventLoop& loop, const Address& discovery, const SiteSettings& site,
                                         std::int64_t known, std::uint64_t seed,
                                         std::function<void(const EndpointListUpdate&)> news, Logger& log)
    : loop_(loop),
      discovery_(discovery),
      site_(site),
      revision_(known),
      news_(std::move(news)),
      log_(log),
      stream_(kLongestList),
      back_off_(FirstWait(site.policy.dispatcher_count),
                std::min(kMostTimes * FirstWait(site.policy.dispatcher_count), kLongestWait), seed),
      silent_(loop, [this] { Lost("silent"); }),
      again_(loop, [this] { Ask(); }),
      behind_(loop, [this] {
        older_counts_ = true;
        Lost("behind");
      }) {
  Ask();
}
EndpointListWatcher::~EndpointListWatcher() = default;

void EndpointListWatcher::Ask() {
  stream_.Clear();
  lost_ = false;
  connection_ = OpenConnection(loop_, discovery_, kMostReadAhead, 0);
  evhttp_request* request = evhttp_request_new(Done, this);
  evhttp_request_set_header_cb(request, Head);
  evhttp_request_set_chunked_cb(request, Chunk);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", discovery_.host.c_str());
  // Guards against giving up what was about to be answered: discovery that serves many has a queue.
  silent_.Schedule(site_.policy.endpoint_list_on_request ? kUnheardAsked : kUnheard);
  const std::string target = "/v1/servers?watch=1&after=" + std::to_string(revision_);
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, target.c_str());
}

void EndpointListWatcher::ChangeAddress(const Address& discovery) {
  discovery_ = discovery;
  again_.Stop();
  behind_.Stop();
  older_counts_ = false;
  Ask();
}

void EndpointListWatcher::Lost(const char* how) {
  if (std::exchange(lost_, true)) return;  // once for each connection
  log_.Warn("discovery.lost", {{"how", how}, {"revision", revision_}});
  silent_.Stop();
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_.get()), EV_READ);
  // Pushed lists come from an agent on this machine, at no cost. Discovery that hundreds of senders ask five
  // times a second each refuses nearly all of them for as long as they go on.
  again_.Schedule(site_.policy.endpoint_list_on_request ? back_off_.NextDelay() : kAgain);
}

int EndpointListWatcher::Head(evhttp_request* request, void* self) {
  auto* w = static_cast<EndpointListWatcher*>(self);
  // Where nothing has changed since the version held, the first line may be an empty one.
  if (evhttp_request_get_response_code(request) == 200) w->Heard();
  return 0;
}

void EndpointListWatcher::Chunk(evhttp_request* request, void* self) {
  auto* w = static_cast<EndpointListWatcher*>(self);
  evbuffer* in = evhttp_request_get_input_buffer(request);
  std::string text(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, text.data(), text.size());
  // The text of a refusal is no list.
  if (w->lost_ || evhttp_request_get_response_code(request) != 200) return;
  const bool whole = w->stream_.Add(
      text,
      [w](const std::string& list) {
        if (!w->lost_) w->List(list);
      },
      [w] { w->Heard(); });
  if (whole || w->lost_) return;
  w->log_.Warn("discovery.unreadable", {{"why", "no list of endpoints"}});
  w->Lost("unreadable");
}

void EndpointListWatcher::Heard() {
  if (!lost_) silent_.Schedule(kSilent);
}

// Guards against a list that can't be read: one log line, and the list stays as it was. What it held counts
// as told all the same, so the watch is asked for anew after the version held.
void EndpointListWatcher::List(const std::string& text) {
  EndpointListUpdate news;
  try {
    json::Value value;
    if (parser_.parse(text).get(value) != simdjson::SUCCESS) json::Malformed("no JSON");
    news = ReadList(value, site_);
  } catch (const std::exception& e) {
    log_.Warn("discovery.unreadable", {{"why", e.what()}});
    return Lost("unreadable");
  }
  Heard();
  if (news.revision < revision_ && !older_counts_) {
    // It would bring back what has been told to drain. Its changes up to ours come here by themselves, or
    // never.
    if (behind_.pending()) return;
    log_.Warn("discovery.behind", {{"revision", news.revision}, {"held", revision_}});
    return behind_.Schedule(kBehind);
  }
  behind_.Stop();
  older_counts_ = false;
  revision_ = news.revision;
  back_off_.Reset();
  news_(news);
}

void EndpointListWatcher::Done(evhttp_request* request, void* self) {
  auto* w = static_cast<EndpointListWatcher*>(self);
  if (request != nullptr && evhttp_request_get_response_code(request) == 200) return w->Lost("ended");
  w->Lost("broke");
}

}  // namespace sagetally
