#include "loadtest/soak/crowd.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <cerrno>
#include <chrono>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/soak/loopback_connection.h"

namespace sagetally::loadtest {
namespace {

constexpr auto kStepInterval = std::chrono::milliseconds(2);
constexpr std::int64_t kReconnectIntervalUs = 20'000;
constexpr std::size_t kSlowWriteBytes = 1600;
constexpr std::int64_t kSlowWriteIntervalUs = 50'000;
constexpr std::size_t kMaxBodyBytes = 64'000;
constexpr std::size_t kMinBodyBytes = 40'000;
constexpr int kManyFieldCount = 3'700;
constexpr std::size_t kLongLineBytes = 60'000;
constexpr int kTinyChunkCount = 60'000;
constexpr int kPipelinedRequestCount = 100;
constexpr std::size_t kReadBytes = 16 * 1024;

// Names in schedule files, indexed by CrowdBehavior.
constexpr std::array<const char*, 8> kNames = {"half_head",       "half_body",       "slow_body",
                                               "many_fields",     "long_line",       "tiny_chunks",
                                               "pipelined_heads", "unread_responses"};

std::string Repeat(const std::string& text, int count) {
  std::string repeated;
  repeated.reserve(text.size() * static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) repeated += text;
  return repeated;
}

std::string Head(const std::string& length_field) {
  return "POST /aviso HTTP/1.1\r\nHost: crowd\r\nX-Request-Id: crowd\r\nX-Class: aviso\r\nX-Deadline: "
         "4000m\r\n"
         "X-Envelope: dest=0\r\n" +
         length_field + "\r\n\r\n";
}

}  // namespace

std::string ToString(CrowdBehavior behavior) { return kNames.at(static_cast<std::size_t>(behavior)); }

std::optional<CrowdBehavior> CrowdBehaviorFromName(const std::string& name) {
  const auto* const found = std::ranges::find(kNames, name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<CrowdBehavior>(found - kNames.begin());
}

Crowd::Crowd(const std::atomic<std::uint16_t>& port, const CrowdSettings& settings, std::uint64_t seed)
    : port_(port), random_(Stream(seed, "crowd")) {
  connections_.resize(static_cast<std::size_t>(settings.connections));
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    connections_[i].behavior = settings.behaviors.at(i % settings.behaviors.size());
  }
}

void Crowd::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    for (Connection& connection : connections_) Step(connection);
    std::this_thread::sleep_for(kStepInterval);
  }
  for (Connection& connection : connections_) connection.socket = FileDescriptor();
}

void Crowd::Step(Connection& connection) {
  const std::int64_t now = NowUs();
  if (now < connection.next_write_us) return;
  if (connection.socket.get() < 0 || IsClosed(connection)) Open(connection);
  if (connection.socket.get() < 0) {
    connection.next_write_us = now + kReconnectIntervalUs;
    return;
  }
  if (connection.unsent.empty()) Refill(connection);
  const std::string& text = connection.unsent;
  const std::size_t size =
      connection.behavior == CrowdBehavior::kSlowBody ? std::min(text.size(), kSlowWriteBytes) : text.size();
  const ssize_t sent = ::send(connection.socket.get(), text.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) connection.unsent.erase(0, static_cast<std::size_t>(sent));
  if (connection.behavior == CrowdBehavior::kSlowBody) connection.next_write_us = now + kSlowWriteIntervalUs;
}

void Crowd::Open(Connection& connection) {
  connection.socket = port_ != 0 ? ConnectToLoopback(port_) : FileDescriptor();
  connection.unsent = FirstBytes(connection);
}

std::string Crowd::FirstBytes(Connection& connection) {
  switch (connection.behavior) {
    case CrowdBehavior::kHalfHead:
      return "POST /aviso HTTP/1.1\r\nHost: so";
    case CrowdBehavior::kHalfBody:
    case CrowdBehavior::kSlowBody: {
      boost::random::uniform_int_distribution<std::size_t> body_bytes(kMinBodyBytes, kMaxBodyBytes);
      return Head(fmt::format("Content-Length: {}", kMaxBodyBytes + 1)) +
             std::string(body_bytes(random_), 'b');
    }
    case CrowdBehavior::kManyFields:
      return "POST /aviso HTTP/1.1\r\n" + Repeat("a:\r\n", kManyFieldCount);
    case CrowdBehavior::kLongLine:
      return "GET /" + std::string(kLongLineBytes, 'a');
    case CrowdBehavior::kTinyChunks:
      return Head("Transfer-Encoding: chunked") + Repeat("1\r\nx\r\n", kTinyChunkCount);
    case CrowdBehavior::kPipelinedHeads:
    case CrowdBehavior::kUnreadResponses:
      return "";
  }
  return "";
}

// Gives a connection that sends whole requests its next ones. The others have sent all that they send.
void Crowd::Refill(Connection& connection) {
  const bool sends_whole_requests = connection.behavior == CrowdBehavior::kPipelinedHeads ||
                                    connection.behavior == CrowdBehavior::kUnreadResponses;
  if (sends_whole_requests) {
    connection.unsent = Repeat("GET /healthz HTTP/1.1\r\nHost: crowd\r\n\r\n", kPipelinedRequestCount);
  }
}

// Returns whether the server has ended the connection. Reads the responses, except for kUnreadResponses.
bool Crowd::IsClosed(const Connection& connection) {
  if (connection.behavior == CrowdBehavior::kUnreadResponses) {
    pollfd hang_up{connection.socket.get(), POLLRDHUP, 0};
    return ::poll(&hang_up, 1, 0) > 0;
  }
  std::array<char, kReadBytes> bytes;
  ssize_t received = 1;
  while (received > 0) received = ::recv(connection.socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  return received == 0 || (errno != EAGAIN && errno != EINTR);
}

}  // namespace sagetally::loadtest
