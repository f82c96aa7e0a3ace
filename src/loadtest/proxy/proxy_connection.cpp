#include "loadtest/proxy/proxy_connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace sagetally::loadtest {
namespace {

using std::chrono::milliseconds;

// The time between the two halves of a copy.
constexpr Duration kSecondHalfDelay = milliseconds(30);
// The pieces of a message that is split, and the time between two of them.
constexpr std::size_t kSplitPieceBytes = 16;
constexpr std::size_t kMaxSplitPieces = 12;
constexpr Duration kSplitInterval = milliseconds(1);
// The client is reset after this time even if the server has not ended its side.
constexpr Duration kMaxResetDelay = milliseconds(300);
constexpr const char* kUnaskedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

std::string TakeInput(bufferevent* buffers) {
  evbuffer* input = bufferevent_get_input(buffers);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

void WriteInPieces(DelayedWriter& writer, const std::string& bytes) {
  std::size_t begin = 0;
  for (std::size_t piece = 1; piece < kMaxSplitPieces && begin < bytes.size(); ++piece) {
    writer.Write(bytes.substr(begin, kSplitPieceBytes), begin == 0 ? Duration(0) : kSplitInterval);
    begin += kSplitPieceBytes;
  }
  if (begin < bytes.size()) writer.Write(bytes.substr(begin), kSplitInterval);
}

void DisableNagle(evutil_socket_t socket) {
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace

ProxyConnection::ProxyConnection(FaultProxy& proxy, evutil_socket_t client_socket)
    : proxy_(proxy),
      client_(bufferevent_socket_new(proxy.loop_.base(), client_socket, BEV_OPT_CLOSE_ON_FREE)),
      server_(bufferevent_socket_new(proxy.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      to_client_(proxy.loop_, client_.get()),
      to_server_(proxy.loop_, server_.get()),
      connect_timer_(proxy.loop_, [this] { ConnectToServer(); }),
      reset_timer_(proxy.loop_, [this] { SendReset(); }) {
  DisableNagle(client_socket);
  bufferevent_setcb(client_.get(), OnClientReadable, OnWritten, OnClientEvent, this);
  bufferevent_setcb(server_.get(), OnServerReadable, nullptr, OnServerEvent, this);
}

void ProxyConnection::Start() {
  bufferevent_enable(client_.get(), EV_READ | EV_WRITE);
  if (proxy_.Draw(PathFault::kForgottenConnection)) return;
  const std::optional<Duration> delay = proxy_.Draw(PathFault::kLateConnection);
  connect_timer_.Schedule(delay.value_or(Duration(0)));
}

void ProxyConnection::ConnectToServer() {
  const std::optional<Address> server = proxy_.server_address_();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server ? server->port : 0);
  const bool is_known = server && ::inet_pton(AF_INET, server->host.c_str(), &address.sin_addr) == 1;
  if (!is_known || bufferevent_socket_connect(server_.get(), reinterpret_cast<const sockaddr*>(&address),
                                              sizeof address) != 0) {
    return ResetClient();
  }
  is_connecting_to_server_ = true;
  bufferevent_enable(server_.get(), EV_READ | EV_WRITE);
}

void ProxyConnection::Close() {
  connect_timer_.Stop();
  reset_timer_.Stop();
  to_client_.Stop();
  to_server_.Stop();
  for (BufferEventPtr* buffers : {&client_, &server_}) {
    if (!*buffers) continue;
    bufferevent_disable(buffers->get(), EV_READ | EV_WRITE);
    buffers->reset();
  }
}

void ProxyConnection::ForwardRequests(const std::string& bytes) {
  const std::vector<std::string> requests = requests_.Add(bytes);
  for (const std::string& request : requests) {
    proxy_.record_.requests += 1;
    last_request_id_ = HeaderValue(request, "X-Request-Id");
    if (answer_count_ < request_count_) {
      proxy_.record_.requests_before_answer.push_back(last_request_id_);
    }
    ++request_count_;
  }
  if (const auto delay = proxy_.Draw(PathFault::kDelayedRequest)) {
    to_server_.Write(bytes, *delay);
  } else if (proxy_.Draw(PathFault::kSplitRequest)) {
    WriteInPieces(to_server_, bytes);
  } else {
    to_server_.Write(bytes);
  }
  if (!requests.empty()) FollowRequest(requests.back());
}

// Repeats a request that was passed on.
void ProxyConnection::FollowRequest(const std::string& request) {
  const std::size_t half = request.size() / 2;
  if (const auto repeat = proxy_.Draw(PathFault::kRepeatedRequest)) {
    to_server_.WriteAside(request, *repeat);
  } else if (const auto halves = proxy_.Draw(PathFault::kRequestRepeatedInHalves)) {
    to_server_.WriteAside(request.substr(0, half), *halves);
    to_server_.WriteAside(request.substr(half), *halves + kSecondHalfDelay);
  } else if (const auto truncated = proxy_.Draw(PathFault::kTruncatedRequestRepeat)) {
    to_server_.WriteAside(request.substr(0, half), *truncated);
  } else if (const auto elsewhere = proxy_.Draw(PathFault::kRequestRepeatedElsewhere)) {
    proxy_.record_.repeated_elsewhere.push_back(last_request_id_);
    proxy_.RepeatElsewhere(request, *elsewhere);
  }
}

void ProxyConnection::RecordAnswers(std::int64_t count) {
  server_answer_count_ += count;
  // A client that has sent no whole request may get an error.
  if (request_count_ > 0 && server_answer_count_ > request_count_) {
    proxy_.record_.answers_without_request.push_back(last_request_id_);
  }
}

void ProxyConnection::ForwardAnswers(const std::string& bytes) {
  const std::vector<std::string> answers = answers_.Add(bytes);
  if (answers.empty()) return to_client_.Write(bytes);
  RecordAnswers(static_cast<std::int64_t>(answers.size()));
  if (!WriteAnswer(bytes, answers.back())) return;
  to_client_.Run([this, count = static_cast<std::int64_t>(answers.size())] { answer_count_ += count; });
  FollowAnswer(answers.back());
}

// Writes `bytes`, the end of `answer`, possibly with a fault. Returns false if the connection is reset
// instead.
bool ProxyConnection::WriteAnswer(const std::string& bytes, const std::string& answer) {
  if (proxy_.Draw(PathFault::kResetBeforeAnswer)) {
    to_client_.Run([this] { ResetClient(); });
    return false;
  }
  const std::size_t half = bytes.size() / 2;
  if (proxy_.Draw(PathFault::kResetAmidAnswer)) {
    to_client_.Write(bytes.substr(0, half));
    to_client_.Run([this] { ResetClient(); }, kSplitInterval);
    return false;
  }
  if (const auto delay = proxy_.Draw(PathFault::kDelayedAnswer)) {
    to_client_.Write(bytes, *delay);
  } else if (const auto stall = proxy_.Draw(PathFault::kStalledAnswer)) {
    to_client_.Write(bytes.substr(0, half));
    to_client_.Write(bytes.substr(half), *stall);
  } else if (proxy_.Draw(PathFault::kSplitAnswer)) {
    WriteInPieces(to_client_, bytes);
  } else {
    const auto repeat_delay = proxy_.Draw(PathFault::kRepeatedAnswer);
    const bool is_same_write = repeat_delay && *repeat_delay <= Duration(0);
    to_client_.Write(is_same_write ? bytes + answer : bytes);
    if (repeat_delay && !is_same_write) to_client_.WriteAside(answer, *repeat_delay);
  }
  return true;
}

// Injects a fault that comes after an answer.
void ProxyConnection::FollowAnswer(const std::string& answer) {
  const std::size_t half = answer.size() / 2;
  if (const auto halves = proxy_.Draw(PathFault::kAnswerRepeatedInHalves)) {
    to_client_.WriteAside(answer.substr(0, half), *halves);
    to_client_.WriteAside(answer.substr(half), *halves + kSecondHalfDelay);
  } else if (const auto truncated = proxy_.Draw(PathFault::kTruncatedRepeat)) {
    to_client_.WriteAside(answer.substr(0, half), *truncated);
  } else if (const auto unasked = proxy_.Draw(PathFault::kUnaskedAnswer)) {
    to_client_.RunAside(
        [this] {
          if (answer_count_ == request_count_) to_client_.Write(kUnaskedAnswer);
        },
        *unasked);
  } else if (const auto reset = proxy_.Draw(PathFault::kResetAfterAnswer)) {
    to_client_.RunAside([this] { ResetClient(); }, *reset);
  } else if (const auto end = proxy_.Draw(PathFault::kEndAfterAnswer)) {
    to_client_.RunAside([this] { ::shutdown(bufferevent_getfd(client_.get()), SHUT_WR); }, *end);
  }
}

void ProxyConnection::EndClientOnceWritten() {
  closes_once_written_ = true;
  if (evbuffer_get_length(bufferevent_get_output(client_.get())) == 0) RemoveSoon();
}

// The server must have ended its side before the client hears of the end, as the client then repeats its
// request.
void ProxyConnection::ResetClient() {
  to_client_.Stop();
  to_server_.Stop();
  bufferevent_disable(client_.get(), EV_READ | EV_WRITE);
  if (!is_connecting_to_server_) return SendReset();
  is_resetting_ = true;
  EndServer();
  reset_timer_.Schedule(kMaxResetDelay);
}

// Drops what is not forwarded yet, and ends the sending side.
void ProxyConnection::EndServer() {
  evbuffer* unsent = bufferevent_get_output(server_.get());
  evbuffer_drain(unsent, evbuffer_get_length(unsent));
  ::shutdown(bufferevent_getfd(server_.get()), SHUT_WR);
}

void ProxyConnection::SendReset() {
  const linger zero_linger{1, 0};  // makes the close send a TCP RST
  ::setsockopt(bufferevent_getfd(client_.get()), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
  RemoveSoon();
}

// This object is deleted only after libevent's callback has returned.
void ProxyConnection::RemoveSoon() { proxy_.Remove(*this); }

void ProxyConnection::OnClientReadable(bufferevent* buffers, void* self) {
  static_cast<ProxyConnection*>(self)->ForwardRequests(TakeInput(buffers));
}

void ProxyConnection::OnServerReadable(bufferevent* buffers, void* self) {
  const std::string bytes = TakeInput(buffers);
  auto* connection = static_cast<ProxyConnection*>(self);
  if (!connection->is_resetting_) connection->ForwardAnswers(bytes);
}

void ProxyConnection::OnWritten(bufferevent*, void* self) {
  auto* connection = static_cast<ProxyConnection*>(self);
  if (connection->closes_once_written_) connection->RemoveSoon();
}

// A client that ends its side has given its request up, so what is not forwarded yet must never run.
void ProxyConnection::OnClientEvent(bufferevent*, short events, void* self) {
  auto* connection = static_cast<ProxyConnection*>(self);
  const bool is_end = (events & BEV_EVENT_EOF) != 0;
  if (!is_end || !connection->is_connecting_to_server_) return connection->RemoveSoon();
  connection->to_server_.Stop();
  connection->EndServer();
}

void ProxyConnection::OnServerEvent(bufferevent*, short events, void* self) {
  auto* connection = static_cast<ProxyConnection*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    return DisableNagle(bufferevent_getfd(connection->server_.get()));
  }
  if (connection->is_resetting_) return connection->SendReset();
  const bool is_end = (events & BEV_EVENT_EOF) != 0;
  connection->to_client_.Run([connection, is_end] {
    if (is_end) {
      connection->EndClientOnceWritten();
    } else {
      connection->ResetClient();
    }
  });
}

}  // namespace sagetally::loadtest
