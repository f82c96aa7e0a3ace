#include "net/gossip_transport.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include "net/listen_error.h"
#include "net/socket_address.h"

namespace sagetally {
namespace {

constexpr std::size_t kReceiveBufferBytes = 2048;

// Parses an address such as "10.0.0.4:8443". Throws std::runtime_error if it is malformed.
sockaddr_in ParseSocketAddress(const std::string& text) {
  const std::optional<sockaddr_in> address = ToSocketAddress(ParseAddress(text, "peers"));
  if (!address) json::Malformed("peers: not an IPv4 address");
  return *address;
}

}  // namespace

GossipTransport::GossipTransport(EventLoop& loop, const Config& config,
                                 std::function<void(const GossipReceived&)> on_message,
                                 FileDescriptor inherited)
    : config_(config), on_message_(std::move(on_message)) {
  if (config.peer_listen.empty()) return;
  socket_ = std::move(inherited);
  const bool is_inherited = socket_.get() >= 0;
  if (!is_inherited) {
    socket_ = FileDescriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  }
  const sockaddr_in own = ParseSocketAddress(config.peer_listen);
  if (!is_inherited && ::bind(socket_.get(), reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
    throw ListenError("can't listen on peer_listen " + config.peer_listen, config.peer_listen, errno);
  }
  read_event_ = StartReadEvent(loop, socket_.get(), OnReadable, this);
}

GossipTransport::~GossipTransport() = default;

bool GossipTransport::Broadcast(const std::string& body) {
  if (body.size() > kMaxMessageBytes || config_.broadcast_peer.empty() || socket_.get() < 0) return false;
  const sockaddr_in address = ParseSocketAddress(config_.broadcast_peer);
  const ssize_t sent = ::sendto(socket_.get(), body.data(), body.size(), 0,
                                reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return sent >= 0;
}

void GossipTransport::OnReadable(evutil_socket_t, short, void* self) {
  static_cast<GossipTransport*>(self)->ReceiveMessage();
}

void GossipTransport::ReceiveMessage() {
  char body[kReceiveBufferBytes];
  sockaddr_in sender{};
  socklen_t sender_size = sizeof sender;
  const ssize_t size =
      ::recvfrom(socket_.get(), body, sizeof body, 0, reinterpret_cast<sockaddr*>(&sender), &sender_size);
  if (size < 0) return;
  const std::vector<std::string>& peers = config_.peers;
  const auto peer = std::find(peers.begin(), peers.end(), FormatSocketAddress(sender));
  if (peer == peers.end()) return;
  const auto dispatcher_index = static_cast<int>(peer - peers.begin());
  on_message_({dispatcher_index, std::string(body, static_cast<std::size_t>(size))});
}

}  // namespace sagetally
