#include "net/endpoint_pool.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

#include "net/written.h"

namespace sagetally {
namespace {

// After a call is given up, its connection's end must reach the endpoint before its slot or the message is
// used again: else the next call counts as one too many, or as a second copy.
constexpr Duration kCloseSettles = std::chrono::milliseconds(10);
// Idle connections go this much before the endpoint's machine may close them.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1000);

double Number(const char* text) {
  double value = 0;
  if (text != nullptr) std::from_chars(text, text + std::strlen(text), value);
  return std::isfinite(value) ? value : 0.0;
}

LoadReport ReadLoad(const char* text) {  // "x0=0.4,x1=25"
  LoadReport load;
  for (const char* at = text; at != nullptr && *at != 0;) {
    if (std::strncmp(at, "x0=", 3) == 0) load.allowance_left = Number(at + 3);
    if (std::strncmp(at, "x1=", 3) == 0) load.limit = Number(at + 3);
    at = std::strchr(at, ',');
    if (at != nullptr) at += std::strspn(at, ", ");
  }
  return load;
}

CallResult ReadAnswer(evhttp_request* answer) {
  evkeyvalq* headers = evhttp_request_get_input_headers(answer);
  CallResult r;
  r.load = ReadLoad(evhttp_find_header(headers, "X-Load"));
  const int code = evhttp_request_get_response_code(answer);
  switch (code) {
    case 429:
      r.outcome = Outcome::kFull;
      r.told_wait = Duration(
          std::llround(std::clamp(Number(evhttp_find_header(headers, "X-Retry-In-Ms")), 0.0, 1e9) * 1000));
      break;
    case 503: {
      const char* no_slot = evhttp_find_header(headers, "X-No-Slot");
      r.outcome = no_slot != nullptr && std::strcmp(no_slot, "1") == 0 ? Outcome::kMoot : Outcome::kFull;
      break;
    }
    case 504:
      r.outcome = Outcome::kMoot;
      break;
    case 410:
      r.outcome = Outcome::kMoot;
      r.over = true;
      break;
    default:
      r.outcome = code >= 200 && code < 300 ? Outcome::kOk : Outcome::kError;
  }
  return r;
}

}  // namespace

std::string DeadlineText(Duration d) {
  return std::to_string(std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(d).count())) +
         "m";
}

class EndpointPool::Connection {
 public:
  Connection(EndpointPool& pool, Endpoint& endpoint)
      : pool_(pool),
        endpoint_(endpoint),
        connection_(evhttp_connection_base_new(pool.loop_.base(), nullptr, endpoint.address.host.c_str(),
                                               endpoint.address.port)),
        watch_(connection_.get(),
               [this] {
                 connected_ = true;
                 connect_.Stop();
               }),
        connect_(pool.loop_, [this] { GiveUp(Outcome::kConnectFailed); }),
        time_out_(pool.loop_,
                  [this] { GiveUp(watch_.written() ? Outcome::kTimeout : Outcome::kConnectFailed); }),
        idle_(pool.loop_, [this] { pool_.Drop(*this); }) {
    evhttp_connection_set_retries(connection_.get(), 0);
    evhttp_connection_set_timeout(connection_.get(), 24 * 3600);  // the timers here decide
    evhttp_connection_set_closecb(connection_.get(), Closed, this);
  }
  ~Connection() { evhttp_connection_set_closecb(connection_.get(), nullptr, nullptr); }

  Endpoint& endpoint() { return endpoint_; }
  std::uint64_t number() const { return number_; }
  bool dead() const { return dead_; }
  void set_dead() { dead_ = true; }

  void Call(const CallOrder& order) {
    number_ = order.number;
    busy_ = true;
    watch_.Start();
    idle_.Stop();
    evhttp_request* request = evhttp_request_new(Done, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", endpoint_.text.c_str());
    const Request& r = *order.request;
    evhttp_add_header(headers, "X-Request-Id", r.id.c_str());
    if (!r.key.empty()) evhttp_add_header(headers, "Idempotency-Key", r.key.c_str());
    evhttp_add_header(headers, "X-Deadline", DeadlineText(order.time_out).c_str());
    for (const auto& [name, value] : r.attributes) evhttp_add_header(headers, name.c_str(), value.c_str());
    evhttp_add_header(headers, "Content-Length", std::to_string(r.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), r.body.data(), r.body.size());
    if (!connected_) connect_.After(pool_.limits_.connect_timeout);
    time_out_.After(order.time_out);
    evhttp_make_request(connection_.get(), request, EVHTTP_REQ_POST, "/hook");
  }

  std::chrono::steady_clock::time_point rested() const { return rested_; }
  void Rest() {  // idle from now on
    busy_ = false;
    rested_ = std::chrono::steady_clock::now();
    time_out_.Stop();
    connect_.Stop();
    idle_.After(std::max<Duration>(pool_.limits_.idle - kIdleMargin, pool_.limits_.idle / 2));
  }
  void GiveUp(Outcome outcome) {
    CallResult result;
    result.number = number_;
    result.outcome = outcome;
    Stop();
    pool_.Finish(*this, result, false);
  }
  void Stop() {
    busy_ = false;
    time_out_.Stop();
    connect_.Stop();
    idle_.Stop();
  }

 private:
  static void Closed(evhttp_connection*, void* self) {
    auto* c = static_cast<Connection*>(self);
    if (!c->busy_ && !c->dead_) c->pool_.Drop(*c);
  }

  static void Done(evhttp_request* answer, void* self) {
    auto* c = static_cast<Connection*>(self);
    if (!c->busy_) return;
    CallResult result;
    bool reusable = false;
    if (answer == nullptr || evhttp_request_get_response_code(answer) == 0) {
      result.outcome = c->watch_.written() ? Outcome::kReset : Outcome::kConnectFailed;
    } else {
      result = ReadAnswer(answer);
      const char* keep = evhttp_find_header(evhttp_request_get_input_headers(answer), "Connection");
      reusable = keep == nullptr || evutil_ascii_strcasecmp(keep, "close") != 0;
    }
    result.number = c->number_;
    c->Stop();
    c->pool_.Finish(*c, result, reusable);
  }

  EndpointPool& pool_;
  Endpoint& endpoint_;
  ConnectionPtr connection_;
  WrittenWatch watch_;
  Timer connect_, time_out_, idle_;
  std::uint64_t number_ = 0;
  bool busy_ = false, connected_ = false, dead_ = false;
  std::chrono::steady_clock::time_point rested_;
};

EndpointPool::EndpointPool(Loop& loop, Limits limits, std::function<void(const CallResult&)> back)
    : loop_(loop),
      limits_(limits),
      back_(std::move(back)),
      report_now_(loop, [this] { ReportNow(); }),
      report_later_(loop, [this] { ReportLater(); }),
      sweep_(loop, [this] { dropped_.clear(); }) {}
EndpointPool::~EndpointPool() = default;

void EndpointPool::Learn(const EndpointNews& news) {
  Endpoint& endpoint = endpoints_[news.entry.endpoint];
  if (endpoint.text == news.address) return;
  CloseIdle(news.entry.endpoint);  // it has moved
  endpoint.text = news.address;
  endpoint.address = ParseAddress(news.address, "endpoint");
}

EndpointPool::Connection* EndpointPool::Open(Endpoint& endpoint) {
  auto connection = std::make_unique<Connection>(*this, endpoint);
  endpoint.open += 1;
  Connection* raw = connection.get();
  connections_[raw] = std::move(connection);
  return raw;
}

void EndpointPool::Call(const CallOrder& order) {
  const auto at = endpoints_.find(order.endpoint);
  CallResult never;
  never.number = order.number;
  never.outcome = Outcome::kConnectFailed;
  if (at == endpoints_.end() || calls_.contains(order.number)) return Report(never, false);
  Endpoint& endpoint = at->second;
  Connection* connection = nullptr;
  if (!endpoint.idle.empty()) {
    connection = endpoint.idle.back();
    endpoint.idle.pop_back();
  } else if (endpoint.open >= limits_.most_connections || !MakeRoom()) {
    return Report(never, false);
  } else {
    connection = Open(endpoint);
  }
  calls_[order.number] = connection;
  connection->Call(order);
}

// Guards the descriptors: the connection that is idle for longest, anywhere, gives way to a new one.
bool EndpointPool::MakeRoom() {
  if (connections_.size() < limits_.most_in_all) return true;
  Connection* oldest = nullptr;
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.idle.empty()) continue;
    Connection* first = endpoint.idle.front();
    if (oldest == nullptr || first->rested() < oldest->rested()) oldest = first;
  }
  if (oldest != nullptr) Drop(*oldest);
  return oldest != nullptr;
}

void EndpointPool::Cancel(std::uint64_t number) {
  const auto at = calls_.find(number);
  if (at != calls_.end()) at->second->GiveUp(Outcome::kCancelled);
}

void EndpointPool::CloseIdle(const std::string& endpoint) {
  const auto at = endpoints_.find(endpoint);
  if (at == endpoints_.end()) return;
  const std::vector<Connection*> idle = at->second.idle;
  for (Connection* connection : idle) Drop(*connection);
}

void EndpointPool::Finish(Connection& connection, CallResult result, bool reusable) {
  calls_.erase(connection.number());
  const bool given_up = result.outcome == Outcome::kTimeout || result.outcome == Outcome::kCancelled ||
                        result.outcome == Outcome::kConnectFailed;
  if (reusable && !connection.dead()) {
    connection.Rest();
    connection.endpoint().idle.push_back(&connection);
  } else {
    Drop(connection);
  }
  Report(result, given_up);
}

// By a timer even when there is nothing to wait for: the caller may still be at work.
void EndpointPool::Report(CallResult result, bool settle) {
  if (settle) {
    later_.emplace_back(std::chrono::steady_clock::now() + kCloseSettles, result);
    if (!report_later_.pending()) report_later_.After(kCloseSettles);
  } else {
    now_.push_back(result);
    report_now_.After(Duration(0));
  }
}

void EndpointPool::ReportNow() {
  for (const CallResult& result : std::exchange(now_, {})) back_(result);
}

void EndpointPool::ReportLater() {
  while (!later_.empty()) {
    const auto wait = later_.front().first - std::chrono::steady_clock::now();
    if (wait > wait.zero()) return report_later_.After(std::chrono::ceil<Duration>(wait));
    const CallResult result = later_.front().second;
    later_.pop_front();
    back_(result);
  }
}

void EndpointPool::Drop(Connection& connection) {
  const auto at = connections_.find(&connection);
  if (at == connections_.end()) return;
  connection.set_dead();
  connection.Stop();
  Endpoint& endpoint = connection.endpoint();
  std::erase(endpoint.idle, &connection);
  endpoint.open -= 1;
  dropped_.push_back(std::move(at->second));
  connections_.erase(at);
  sweep_.After(Duration(0));
}

}  // namespace sagetally
