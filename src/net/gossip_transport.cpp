#include "net/gossip_transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace sagetally {
namespace {

sockaddr_in Socket(const std::string& text) {
  const Address at = ParseAddress(text, "peers");
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  if (inet_pton(AF_INET, at.host.c_str(), &address.sin_addr) != 1) json::Malformed("peers: no address");
  return address;
}

std::string Text(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

GossipTransport::GossipTransport(EventLoop& loop, const Config& config,
                                 std::function<void(const GossipReceived&)> note, FileDescriptor inherited)
    : config_(config), note_(std::move(note)) {
  if (config.peer_listen.empty()) return;
  socket_ = std::move(inherited);
  const bool bound = socket_.get() >= 0;
  if (!bound) socket_ = FileDescriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in own = Socket(config.peer_listen);
  if (!bound && ::bind(socket_.get(), reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
    throw std::runtime_error("can't listen on peer_listen " + config.peer_listen);
  }
  event_.reset(event_new(loop.base(), socket_.get(), EV_READ | EV_PERSIST, Readable, this));
  event_add(event_.get(), nullptr);
}
GossipTransport::~GossipTransport() = default;

bool GossipTransport::Broadcast(const std::string& body) {
  if (body.size() > kMostBytes || config_.broadcast_peer.empty() || socket_.get() < 0) return false;
  const sockaddr_in to = Socket(config_.broadcast_peer);
  return ::sendto(socket_.get(), body.data(), body.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                  sizeof to) >= 0;
}

void GossipTransport::Readable(evutil_socket_t, short, void* self) {
  auto* p = static_cast<GossipTransport*>(self);
  char body[2048];
  sockaddr_in from{};
  socklen_t size = sizeof from;
  const ssize_t n =
      ::recvfrom(p->socket_.get(), body, sizeof body, 0, reinterpret_cast<sockaddr*>(&from), &size);
  if (n < 0) return;
  const auto& peers = p->config_.peers;
  const auto at = std::find(peers.begin(), peers.end(), Text(from));
  if (at == peers.end()) return;  // a stranger's
  p->note_({static_cast<int>(at - peers.begin()), std::string(body, static_cast<std::size_t>(n))});
}

}  // namespace sagetally
