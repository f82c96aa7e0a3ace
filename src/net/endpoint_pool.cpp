#include "net/endpoint_pool.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace sagetally {
namespace {

namespace http = boost::beast::http;

// After a call is given up, its connection's end must reach the endpoint before its slot or the message is
// used again: else the next call counts as one too many, or as a second copy.
constexpr Duration kCloseSettles = std::chrono::milliseconds(10);
// An answer that was on its way then is still heard: for a round trip, as long as the connection took to come
// up.
constexpr Duration kLongestListen = std::chrono::milliseconds(100);
// Idle connections go this much before the endpoint's machine may close them.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1000);
// An answer is whole so soon after its first byte, or spoilt.
constexpr Duration kWholeAnswer = std::chrono::milliseconds(1000);
// Once its first line says 200 nothing in the rest matters but the connection, while the call holds its slot:
// the rest may take about as long as a new connection does.
constexpr Duration kWholeOk = std::chrono::milliseconds(100);
constexpr std::size_t kMostHead = 16 * 1024, kMostBody = 64 * 1024;
constexpr int kMostInterim = 16;  // 1xx answers in front of one

std::optional<double> Number(std::string_view text) {
  double value = 0;
  const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || at != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return {};
  return value;
}

std::string_view Find(const http::fields& fields, const char* name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

CallResult ReadAnswer(const http::response<http::string_body>& answer) {
  CallResult r;
  r.load_report = ReadLoad(Find(answer, "X-Load"));
  switch (const unsigned code = answer.result_int()) {
    case 429: {
      const double wait = Number(Find(answer, "X-Retry-In-Ms")).value_or(0);
      r.outcome = Outcome::kRejected;
      r.retry_after = Duration(std::llround(std::min(wait, 1e9) * 1000));
      break;
    }
    case 503:
      r.outcome = Find(answer, "X-No-Slot") == "1" ? Outcome::kNotSent : Outcome::kRejected;
      break;
    case 504:
      r.outcome = Outcome::kNotSent;
      break;
    case 410:
      r.outcome = Outcome::kNotSent;
      r.completed = true;
      break;
    default:
      r.outcome = code >= 200 && code < 300 ? Outcome::kOk : Outcome::kError;
  }
  return r;
}

}  // namespace

LoadReport ReadLoad(std::string_view text) {  // "x0=0.4,x1=25"
  LoadReport load;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (part.starts_with(' ')) part.remove_prefix(1);
    const std::size_t equals = part.find('=');
    if (equals == part.npos) return {};
    const auto value = Number(part.substr(equals + 1));
    if (!value) return {};
    if (part.starts_with("x0=")) load.quota_left = *value;
    if (part.starts_with("x1=")) load.rate_limit = *value;
  }
  return load;
}

std::string DeadlineText(Duration d) {
  return std::to_string(std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(d).count())) +
         "m";
}

class EndpointPool::Connection {
 public:
  Connection(EndpointPool& pool, Endpoint& endpoint)
      : pool_(pool),
        endpoint_(endpoint),
        address_(endpoint.text),
        buffers_(bufferevent_socket_new(pool.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
        connect_(pool.loop_, [this] { End(Outcome::kConnectFailed); }),
        time_out_(pool.loop_, [this] { GiveUp(Outcome::kTimeout); }),
        listen_(pool.loop_, [this] { End(*given_up_); }),
        answer_(pool.loop_, [this] { Spoilt(); }),
        idle_(pool.loop_, [this] { pool_.Drop(*this); }),
        late_(pool.loop_, [this] {
          if (!Written()) End(Outcome::kNotSent);
        }) {
    bufferevent_setcb(buffers_.get(), Readable, AllWritten, Happened, this);
    bufferevent_setwatermark(buffers_.get(), EV_READ, 0, 2 * kMostHead);
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(endpoint.address.port);
    inet_pton(AF_INET, endpoint.address.host.c_str(), &to.sin_addr);
    opened_ = std::chrono::steady_clock::now();
    connect_.Schedule(pool_.limits_.connect_timeout);
    if (bufferevent_socket_connect(buffers_.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      connect_.Schedule(Duration(0));
    }
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  Endpoint& endpoint() { return endpoint_; }
  std::uint64_t number() const { return number_; }
  // Whether it may be used again: still where the endpoint is, and nothing came that no call asked for.
  bool sound() const { return address_ == endpoint_.text && !endpoint_.gone && Silent(); }
  std::chrono::steady_clock::time_point rested() const { return rested_; }

  void Call(const CallRequest& order) {
    number_ = order.number;
    busy_ = true;
    says_ok_ = counted_ = early_ = false;
    interim_ = 0;
    idle_.Stop();
    const Request& r = *order.request;
    std::string text = "POST /hook HTTP/1.1\r\nHost: " + address_ + "\r\nX-Request-Id: " + r.id + "\r\n";
    if (!r.idempotency_key.empty()) text += "Idempotency-Key: " + r.idempotency_key + "\r\n";
    text += "X-Deadline: " + DeadlineText(order.timeout) + "\r\n";
    for (const auto& [name, value] : r.attributes) text += name + ": " + value + "\r\n";
    unwritten_ = text + "Content-Length: " + std::to_string(r.body.size()) + "\r\n\r\n" + r.body;
    time_out_.Schedule(order.timeout);
    write_until_ = std::chrono::steady_clock::time_point::max();
    if (order.write_within) {
      write_until_ = std::chrono::steady_clock::now() + *order.write_within;
      late_.Schedule(*order.write_within);
    }
    if (connected_) Write();
  }

  void Rest() {  // idle from now on
    rested_ = std::chrono::steady_clock::now();
    idle_.Schedule(std::max<Duration>(pool_.limits_.idle - kIdleMargin, pool_.limits_.idle / 2));
  }
  bool Written() const {
    return connected_ && unwritten_.empty() &&
           evbuffer_get_length(bufferevent_get_output(buffers_.get())) == 0;
  }
  // Ends our sending, and listens on for a moment: the endpoint may have answered already, with a wait that
  // binds.
  void GiveUp(Outcome outcome) {
    if (given_up_) return;
    if (!Written()) return End(Outcome::kConnectFailed);
    if (says_ok_) return End(outcome);  // delivered before
    given_up_ = outcome;
    time_out_.Stop();
    ::shutdown(bufferevent_getfd(buffers_.get()), SHUT_WR);
    listen_.Schedule(std::clamp(round_trip_, kCloseSettles, kLongestListen));
  }
  void End(Outcome outcome) {  // without a whole answer
    CallResult result;
    // A first line with 200 is true, whatever became of the rest.
    result.outcome = says_ok_ ? Outcome::kOk : outcome;
    Over(result, false, !given_up_);
  }
  void Leave() {
    busy_ = false;
    bufferevent_disable(buffers_.get(), EV_READ | EV_WRITE);  // libevent may still be amid it
    buffers_.reset();
    for (Timer* timer : {&connect_, &time_out_, &listen_, &answer_, &idle_, &late_}) timer->Stop();
  }

 private:
  using Parser = http::response_parser<http::string_body>;

  evbuffer* Input() const { return bufferevent_get_input(buffers_.get()); }

  // Nothing has come that was not read: no byte, no end, no reset.
  bool Silent() const {
    char byte = 0;
    return evbuffer_get_length(Input()) == 0 &&
           ::recv(bufferevent_getfd(buffers_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  // At once and not in the loop's next round: what was judged of the moment, and of the connection, holds.
  void Write() {
    if (std::chrono::steady_clock::now() >= write_until_) return End(Outcome::kNotSent);
    const std::string text = std::exchange(unwritten_, {});
    const ssize_t sent =
        ::send(bufferevent_getfd(buffers_.get()), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      unwritten_ = text;
      return End(Outcome::kConnectFailed);
    }
    const auto out = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    if (out < text.size()) bufferevent_write(buffers_.get(), text.data() + out, text.size() - out);
    CountWritten();
  }
  void CountWritten() {  // once for each call
    if (!busy_ || counted_ || !Written()) return;
    counted_ = true;
    if (pool_.on_written) pool_.on_written();
  }
  void Over(CallResult result, bool reusable, bool settle) {
    CountWritten();  // its answer may be heard before the loop tells that it was written
    busy_ = false;
    parser_.reset();
    time_out_.Stop();
    answer_.Stop();
    connect_.Stop();
    late_.Stop();
    listen_.Stop();
    if (early_ && result.outcome != Outcome::kRejected) result.outcome = Outcome::kConnectFailed;
    // Guards a message that is over for us alone: what is answered after a call was given up may count for
    // nothing at the other side. Only its wait is heard.
    if (given_up_) result.outcome = *given_up_;
    result.number = number_;
    pool_.Finish(*this, result, reusable, settle);
  }
  // An answer that can't be read: the call has run. The connection is of no further use.
  void Spoilt() { End(Outcome::kError); }

  void Read() {
    if (!busy_) return pool_.Drop(*this);  // what comes unasked is nobody's answer
    if (!connected_) return;               // read once the loop has told of the connect
    if (!Written()) {
      early_ = true;
      bufferevent_disable(buffers_.get(), EV_WRITE);
    }
    while (evbuffer_get_length(Input()) > 0) {
      if (!answer_.pending()) answer_.Schedule(kWholeAnswer);
      if (!parser_) {
        char first[13] = {};  // "HTTP/1.1 200 "
        if (evbuffer_copyout(Input(), first, sizeof first) < static_cast<ev_ssize_t>(sizeof first)) {
          if (std::string_view("HTTP/1.").substr(0, evbuffer_get_length(Input())) !=
              std::string_view(first).substr(0, 7)) {
            return Spoilt();
          }
          return;
        }
        const std::string_view line(first, sizeof first);
        says_ok_ = line.starts_with("HTTP/1.") && line.substr(8, 4) == " 200" && line[12] <= ' ';
        if (says_ok_) answer_.Schedule(kWholeOk);
        parser_.emplace();
        parser_->header_limit(kMostHead);
        parser_->body_limit(kMostBody);
      }
      const std::size_t size = evbuffer_get_length(Input());
      boost::system::error_code error;
      const std::size_t used =
          parser_->put(boost::asio::const_buffer(evbuffer_pullup(Input(), -1), size), error);
      if (error && error != http::error::need_more) return Spoilt();
      evbuffer_drain(Input(), used);
      if (parser_->is_header_done() && !parser_->eager()) {
        // Guards the memory: the parser makes room for all that an answer claims before it looks at its
        // limit.
        if (parser_->content_length().value_or(0) > kMostBody) return Spoilt();
        parser_->eager(true);
      }
      if (parser_->is_done()) {
        if (parser_->get().result_int() >= 200) return Answered();
        parser_.reset();  // a 1xx: the answer is still to come
        answer_.Stop();
        if (++interim_ > kMostInterim) return Spoilt();
      } else if (used == 0) {
        if (size >= 2 * kMostHead) return Spoilt();  // a line without end
        return;
      }
    }
  }
  void Answered() {
    const CallResult result = ReadAnswer(parser_->get());
    placed_ = placed_ || parser_->get().result_int() != 503;
    Over(result, parser_->keep_alive() && placed_ && !early_ && !given_up_, false);
  }

  static void Readable(bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }
  static void AllWritten(bufferevent*, void* self) { static_cast<Connection*>(self)->CountWritten(); }
  static void Happened(bufferevent*, short what, void* self) {
    auto* c = static_cast<Connection*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      c->connected_ = true;
      c->connect_.Stop();
      c->round_trip_ = std::chrono::ceil<Duration>(std::chrono::steady_clock::now() - c->opened_);
      const int on = 1;
      ::setsockopt(bufferevent_getfd(c->buffers_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (!c->busy_) return;
      c->early_ = !c->Silent();
      if (!c->early_) {
        c->Write();
      } else if (evbuffer_get_length(c->Input()) > 0) {
        c->Read();
      }
      return;
    }
    if (!c->busy_) return c->pool_.Drop(*c);
    if (c->parser_ && (what & BEV_EVENT_EOF) != 0) {  // the end may be what closes the answer's body
      boost::system::error_code error;
      c->parser_->put_eof(error);
      if (!error && c->parser_->is_done() && c->parser_->get().result_int() >= 200) return c->Answered();
    }
    c->End(c->Written() ? Outcome::kReset : Outcome::kConnectFailed);
  }

  EndpointPool& pool_;
  Endpoint& endpoint_;
  const std::string address_;
  std::unique_ptr<bufferevent, Free<bufferevent_free>> buffers_;
  Timer connect_, time_out_, listen_, answer_, idle_, late_;
  std::optional<Parser> parser_;
  std::uint64_t number_ = 0;
  bool busy_ = false, connected_ = false, counted_ = false;
  bool says_ok_ = false;  // the first line of the answer that is coming
  // It may have no place in the endpoint's table, and be refused for ever, until it brought another answer.
  bool placed_ = false;
  // The endpoint spoke before the call's last byte had left, and it never does then: it has not run. What was
  // said can only have turned it away.
  bool early_ = false;
  std::optional<Outcome> given_up_;  // as this; a wait in its answer is still heard
  int interim_ = 0;
  Duration round_trip_{0};
  std::string unwritten_;  // of the call, while the connection comes up
  std::chrono::steady_clock::time_point opened_, write_until_, rested_;
};

EndpointPool::EndpointPool(EventLoop& loop, Limits limits, std::function<void(const CallResult&)> back)
    : loop_(loop),
      limits_(limits),
      back_(std::move(back)),
      report_now_(loop, [this] { ReportNow(); }),
      report_later_(loop, [this] { ReportLater(); }),
      sweep_(loop, [this] { dropped_.clear(); }) {}
EndpointPool::~EndpointPool() = default;

void EndpointPool::UpdateEndpoint(const EndpointUpdate& news) {
  Endpoint& endpoint = endpoints_[news.record.endpoint];
  endpoint.gone = false;
  if (news.record.state != EndpointRecord::State::kUp) RecallFrom(endpoint);
  if (endpoint.text == news.address) return;
  CloseIdleConnections(news.record.endpoint);  // it has moved; calls that are out go on where they are
  endpoint.text = news.address;
  endpoint.address = ParseAddress(news.address, "endpoint");
}

void EndpointPool::RemoveEndpoint(const std::string& endpoint) {
  const auto at = endpoints_.find(endpoint);
  if (at == endpoints_.end()) return;
  CloseIdleConnections(endpoint);
  at->second.gone = true;
  if (at->second.open == 0) {
    endpoints_.erase(at);
  } else {
    RecallFrom(at->second);
  }
}

// Drains: a call that is still connecting would be written when the connection comes up, however late.
void EndpointPool::RecallFrom(const Endpoint& endpoint) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, connection] : calls_) {
    if (&connection->endpoint() == &endpoint) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) CancelCallIfUnsent(number);
}

EndpointPool::Connection* EndpointPool::Open(Endpoint& endpoint) {
  auto connection = std::make_unique<Connection>(*this, endpoint);
  endpoint.open += 1;
  Connection* raw = connection.get();
  connections_[raw] = std::move(connection);
  return raw;
}

void EndpointPool::StartCall(const CallRequest& order) {
  const auto at = endpoints_.find(order.endpoint);
  CallResult never;
  never.number = order.number;
  never.outcome = Outcome::kConnectFailed;
  if (at == endpoints_.end() || calls_.contains(order.number)) return Report(never, false);
  Endpoint& endpoint = at->second;
  Connection* connection = TakeIdle(endpoint);
  if (connection == nullptr) {
    if (endpoint.open >= limits_.most_connections || !MakeRoom()) return Report(never, false);
    connection = Open(endpoint);
  }
  calls_[order.number] = connection;
  connection->Call(order);
}

// The youngest idle connection that is still sound.
EndpointPool::Connection* EndpointPool::TakeIdle(Endpoint& endpoint) {
  while (!endpoint.idle.empty()) {
    Connection* connection = endpoint.idle.back();
    if (connection->sound()) {
      endpoint.idle.pop_back();
      return connection;
    }
    Drop(*connection);
  }
  return nullptr;
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

void EndpointPool::CancelCall(std::uint64_t number) {
  const auto at = calls_.find(number);
  if (at != calls_.end()) at->second->GiveUp(Outcome::kCancelled);
}

void EndpointPool::CancelCallIfUnsent(std::uint64_t number) {
  const auto at = calls_.find(number);
  if (at != calls_.end() && !at->second->Written()) at->second->End(Outcome::kNotSent);
}

void EndpointPool::CloseIdleConnections(const std::string& endpoint) {
  const auto at = endpoints_.find(endpoint);
  if (at == endpoints_.end()) return;
  const std::vector<Connection*> idle = at->second.idle;
  for (Connection* connection : idle) Drop(*connection);
}

void EndpointPool::Shutdown() {
  leaving_ = true;
  std::vector<Connection*> idle;
  for (const auto& [name, endpoint] : endpoints_) {
    idle.insert(idle.end(), endpoint.idle.begin(), endpoint.idle.end());
  }
  for (Connection* connection : idle) Drop(*connection);
}

void EndpointPool::Finish(Connection& connection, CallResult result, bool reusable, bool settle) {
  calls_.erase(connection.number());
  if (reusable && !leaving_ && connection.sound()) {
    connection.Rest();
    connection.endpoint().idle.push_back(&connection);
  } else {
    Drop(connection);
  }
  Report(result, settle);
}

// By a timer even when there is nothing to wait for: the caller may still be at work.
void EndpointPool::Report(CallResult result, bool settle) {
  if (settle) {
    later_.emplace_back(std::chrono::steady_clock::now() + kCloseSettles, result);
    if (!report_later_.pending()) report_later_.Schedule(kCloseSettles);
  } else {
    now_.push_back(result);
    report_now_.Schedule(Duration(0));
  }
}

void EndpointPool::ReportNow() {
  for (const CallResult& result : std::exchange(now_, {})) back_(result);
}

void EndpointPool::ReportLater() {
  while (!later_.empty()) {
    const auto wait = later_.front().first - std::chrono::steady_clock::now();
    if (wait > wait.zero()) return report_later_.Schedule(std::chrono::ceil<Duration>(wait));
    const CallResult result = later_.front().second;
    later_.pop_front();
    back_(result);
  }
}

void EndpointPool::Drop(Connection& connection) {
  const auto at = connections_.find(&connection);
  if (at == connections_.end()) return;
  connection.Leave();
  Endpoint& endpoint = connection.endpoint();
  std::erase(endpoint.idle, &connection);
  endpoint.open -= 1;
  dropped_.push_back(std::move(at->second));
  connections_.erase(at);
  sweep_.Schedule(Duration(0));
  if (endpoint.gone && endpoint.open == 0) {
    std::erase_if(endpoints_, [&](const auto& e) { return &e.second == &endpoint; });
  }
}

}  // namespace sagetally
