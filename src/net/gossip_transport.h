// Short messages between dispatchers, over UDP.
#ifndef SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_
#define SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_

#include <functional>
#include <string>

#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

// Does nothing if the configuration names no address to listen at. Messages may be lost. On the event loop's
// thread.
class GossipTransport {
 public:
  static constexpr std::size_t kMaxMessageBytes = 256;  // of a message; the platform forbids longer ones

  // `inherited`: the bound socket of another process, used if there is one. `config` must outlive this.
  // Throws ListenError, or std::runtime_error if an address is malformed.
  GossipTransport(EventLoop& loop, const Config& config,
                  std::function<void(const GossipReceived&)> on_message,
                  FileDescriptor inherited = FileDescriptor());
  ~GossipTransport();

  // Of the socket; -1 without one. Stays this object's.
  int descriptor() const { return socket_.get(); }
  // Sends to all dispatchers. False if the message is too long, could not be sent or there is nobody to send
  // it to.
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
