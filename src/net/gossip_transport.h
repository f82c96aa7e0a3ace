// Sends and receives short gossip messages between dispatchers over UDP. Messages may be lost. Used on the
// event loop's thread.
#ifndef SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_
#define SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_

#include <functional>
#include <string>

#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

// Owns the UDP socket. Without a `peer_listen` address in the configuration there is no socket, and nothing
// is sent or received.
class GossipTransport {
 public:
  // The platform forbids longer messages.
  static constexpr std::size_t kMaxMessageBytes = 256;

  // Calls `on_message` for each message from a configured peer. `inherited` is the bound socket of another
  // process; if it is open it is used instead of a new one. `loop` and `config` must outlive the transport.
  // Throws ListenError, or std::runtime_error if an address is malformed.
  GossipTransport(EventLoop& loop, const Config& config,
                  std::function<void(const GossipReceived&)> on_message,
                  FileDescriptor inherited = FileDescriptor());
  ~GossipTransport();

  // The socket's file descriptor, which stays owned by this object; -1 without a socket.
  int descriptor() const { return socket_.get(); }
  // Sends a message to all dispatchers by the broadcast address. Returns false if the message is longer than
  // kMaxMessageBytes or could not be sent, or if no broadcast address or socket is configured.
  bool Broadcast(const std::string& body);

 private:
  static void OnReadable(evutil_socket_t, short, void* self);
  void ReceiveMessage();

  const Config& config_;
  std::function<void(const GossipReceived&)> on_message_;
  FileDescriptor socket_;
  EventPtr read_event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_
