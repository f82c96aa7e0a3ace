// Short notes between dispatchers, over UDP. They may be lost.
#ifndef SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_
#define SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_

#include <functional>
#include <string>

#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

class GossipTransport {
 public:
  static constexpr std::size_t kMostBytes = 256;  // a longer note voids the run

  GossipTransport(EventLoop& loop, const Config& config, std::function<void(const GossipReceived&)> note,
                  FileDescriptor inherited = FileDescriptor());
  ~GossipTransport();
  int descriptor() const { return socket_.get(); }
  // To all; false if it was too long or there is nobody to tell.
  bool Broadcast(const std::string& body);

 private:
  static void Readable(evutil_socket_t, short, void* self);

  const Config& config_;
  std::function<void(const GossipReceived&)> note_;
  FileDescriptor socket_;
  EventPtr event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_GOSSIP_TRANSPORT_H_
