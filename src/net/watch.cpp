#include "net/watch.h"

#include <event2/buffer.h>

#include <utility>

namespace sagetally {
namespace {

constexpr Duration kSilent = std::chrono::milliseconds(4500);   // a line comes every 2 s
constexpr Duration kUnheard = std::chrono::milliseconds(1500);  // the agent answers at once
constexpr Duration kAgain = std::chrono::milliseconds(200);
// Where lists are asked for, discovery itself serves all senders: together they come again no sooner than so
// many of them would at kAgain.
constexpr int kFewSenders = 4;
constexpr std::size_t kLongestLine = 4 * 1024 * 1024;

}  // namespace

Watch::Watch(Loop& loop, const Address& discovery, const SiteSettings& site, std::int64_t known,
             std::uint64_t seed, std::function<void(const ListNews&)> news, Logger& log)
    : loop_(loop),
      discovery_(discovery),
      site_(site),
      revision_(known),
      news_(std::move(news)),
      log_(log),
      back_off_(std::max(kAgain, kAgain * site.module.senders / kFewSenders), site.module.ask_every, seed),
      silent_(loop, [this] { Lost("silent"); }),
      again_(loop, [this] { Ask(); }) {
  Ask();
}
Watch::~Watch() = default;

void Watch::Ask() {
  partial_.clear();
  connection_.reset(
      evhttp_connection_base_new(loop_.base(), nullptr, discovery_.host.c_str(), discovery_.port));
  evhttp_connection_set_retries(connection_.get(), 0);
  evhttp_connection_set_timeout(connection_.get(), 24 * 3600);
  evhttp_request* request = evhttp_request_new(Done, this);
  evhttp_request_set_chunked_cb(request, Chunk);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", discovery_.host.c_str());
  // Guards against giving up what was about to be answered: discovery that serves many has a queue.
  silent_.After(site_.module.list_on_request ? kSilent : kUnheard);
  const std::string target = "/v1/servers?watch=1&after=" + std::to_string(revision_);
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, target.c_str());
}

void Watch::Move(const Address& discovery) {
  discovery_ = discovery;
  again_.Stop();
  Ask();
}

void Watch::Lost(const char* how) {
  log_.Warn("discovery.lost", {{"how", how}, {"revision", revision_}});
  silent_.Stop();
  // Pushed lists come from an agent on this machine, at no cost. Discovery that hundreds of senders ask five
  // times a second each refuses nearly all of them for as long as they go on.
  again_.After(site_.module.list_on_request ? back_off_.Next() : kAgain);
}

void Watch::Chunk(evhttp_request* request, void* self) {
  auto* w = static_cast<Watch*>(self);
  w->silent_.After(kSilent);
  evbuffer* in = evhttp_request_get_input_buffer(request);
  std::string text(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, text.data(), text.size());
  w->partial_ += text;
  std::size_t at = 0;
  for (std::size_t end; (end = w->partial_.find('\n', at)) != std::string::npos; at = end + 1) {
    w->Line(w->partial_.substr(at, end - at));
  }
  w->partial_.erase(0, at);
  if (w->partial_.size() > kLongestLine) w->partial_.clear();
}

void Watch::Line(const std::string& line) {
  if (line.find_first_not_of(" \r\t") == std::string::npos) return;
  try {  // guards against a line that can't be read: one log line, and the list stays as it was
    json::Value value;
    if (parser_.parse(line).get(value) != simdjson::SUCCESS) json::Malformed("no JSON");
    const ListNews news = ReadList(value, site_);
    revision_ = news.revision;
    back_off_.Succeeded();
    news_(news);
  } catch (const std::exception& e) {
    log_.Warn("discovery.unreadable", {{"why", e.what()}});
  }
}

void Watch::Done(evhttp_request* request, void* self) {
  auto* w = static_cast<Watch*>(self);
  if (request != nullptr && evhttp_request_get_response_code(request) == 200) return w->Lost("ended");
  w->Lost("broke");
}

}  // namespace sagetally
