#include "loadtest/soak/soak_client.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/soak/loopback_connection.h"

namespace sagetally::loadtest {
namespace {

using std::chrono::milliseconds;

// How long a client waits for a response.
constexpr std::int64_t kResponseTimeoutUs = 400'000;
constexpr auto kReconnectInterval = milliseconds(20);
constexpr int kMaxRequestPauseMs = 20;  // longest pause of a client between two requests
constexpr int kMessageDeadlineMs = 4000;
constexpr int kMaxRequestsPerConnection = 30;
constexpr std::size_t kReadBytes = 4096;
// Names of the demonstration's message classes, indexed by Idempotency.
constexpr std::array<const char*, 3> kClassNames = {"aviso", "pedido", "pagamento"};

// Whether `text` holds a complete response. The body's length is taken from Content-Length; without that
// header the response ends with its header section.
bool IsCompleteResponse(const std::string& text) {
  static constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  const std::size_t length = text.find(kLength);
  if (length == std::string::npos || length > head_end) return true;
  const auto body = static_cast<std::size_t>(std::atoi(text.c_str() + length + kLength.size()));
  return text.size() >= head_end + 4 + body;
}

}  // namespace

SoakClient::SoakClient(int node, const std::atomic<std::uint16_t>& port, std::uint64_t seed,
                       const Messages& messages, int number)
    : node_(node),
      port_(port),
      messages_(messages),
      number_(number),
      random_(Stream(seed, fmt::format("client {} {}", node, number))) {}

std::string ToString(const SoakRequestId& id) {
  return fmt::format("soak-{}-{}-{}-{}", id.node, id.client, id.number, static_cast<int>(id.idempotency));
}

std::optional<SoakRequestId> ParseSoakRequestId(const std::string& text) {
  SoakRequestId id;
  int idempotency = 0;
  if (std::sscanf(text.c_str(), "soak-%d-%d-%d-%d", &id.node, &id.client, &id.number, &idempotency) != 4) {
    return std::nullopt;
  }
  if (idempotency < 0 || idempotency >= static_cast<int>(kClassNames.size())) return std::nullopt;
  id.idempotency = static_cast<Idempotency>(idempotency);
  return id;
}

bool SoakClient::Connect() {
  if (socket_.get() >= 0) return true;
  const std::uint16_t port = port_;
  if (port != 0) socket_ = ConnectToLoopback(port);
  requests_on_connection_ = 0;
  return socket_.get() >= 0;
}

std::string SoakClient::RequestText(const std::string& id, Idempotency idempotency) {
  const int destination =
      boost::random::uniform_int_distribution<int>(0, messages_.destinations - 1)(random_);
  return fmt::format(
      "POST /{0} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {1}\r\nX-Class: {0}\r\nX-Deadline: {2}m\r\n"
      "Idempotency-Key: key-{1}\r\nX-Envelope: dest={3}\r\nContent-Length: {4}\r\n\r\n{5}",
      kClassNames.at(static_cast<std::size_t>(idempotency)), id, kMessageDeadlineMs, destination,
      messages_.body_bytes, std::string(messages_.body_bytes, 'b'));
}

void SoakClient::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    if (Connect()) {
      SendOne();
      const int pause = boost::random::uniform_int_distribution<int>(0, kMaxRequestPauseMs)(random_);
      std::this_thread::sleep_for(milliseconds(pause));
    } else {
      std::this_thread::sleep_for(kReconnectInterval);
    }
  }
}

void SoakClient::SendOne() {
  RequestRecord record;
  const int last_class = static_cast<int>(kClassNames.size()) - 1;
  const auto idempotency =
      static_cast<Idempotency>(boost::random::uniform_int_distribution<int>(0, last_class)(random_));
  record.id = ToString(SoakRequestId{node_, number_, next_request_++, idempotency});
  record.node = node_;
  const std::string text = RequestText(record.id, idempotency);
  if (!Send(text, record) || records_.back().outcome != RequestOutcome::kClosedOnLaterRequest) return;
  record.is_resend = true;
  if (Connect()) Send(text, record);
}

bool SoakClient::Send(const std::string& text, RequestRecord record) {
  const ssize_t sent = ::send(socket_.get(), text.data(), text.size(), MSG_NOSIGNAL);
  record.sent_us = NowUs();
  if (sent != static_cast<ssize_t>(text.size())) {  // not written in full, so the request is not recorded
    socket_ = FileDescriptor();
    return false;
  }
  record.is_first_on_connection = ++requests_on_connection_ == 1;
  AwaitResponse(record);
  record.ended_us = NowUs();
  records_.push_back(record);
  if (requests_on_connection_ >= kMaxRequestsPerConnection) socket_ = FileDescriptor();
  return true;
}

void SoakClient::AwaitResponse(RequestRecord& record) {
  std::string received;
  char bytes[kReadBytes];
  while (!IsCompleteResponse(received)) {
    const std::int64_t left_us = record.sent_us + kResponseTimeoutUs - NowUs();
    pollfd readable{socket_.get(), POLLIN, 0};
    const int ready = left_us > 0 ? ::poll(&readable, 1, static_cast<int>(left_us / 1000 + 1)) : 0;
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) {
      record.outcome = RequestOutcome::kTimedOut;
      socket_ = FileDescriptor();
      return;
    }
    const ssize_t size = ::recv(socket_.get(), bytes, sizeof bytes, 0);
    if (size <= 0) {
      record.outcome = requests_on_connection_ == 1 ? RequestOutcome::kClosedOnFirstRequest
                                                    : RequestOutcome::kClosedOnLaterRequest;
      socket_ = FileDescriptor();
      return;
    }
    received.append(bytes, static_cast<std::size_t>(size));
  }
  record.status = std::atoi(received.c_str() + std::string_view("HTTP/1.1 ").size());
  if (received.find("Connection: close") != std::string::npos) socket_ = FileDescriptor();
}

}  // namespace sagetally::loadtest
