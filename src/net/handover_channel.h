// A local channel between two processes of one node: packets in order, each with a kind, bytes and perhaps a
// descriptor. A Unix socket of type SEQPACKET, reached by a name in the node's state folder.
#ifndef SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_
#define SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/file_descriptor.h"
#include "net/event_loop.h"

namespace sagetally {

struct Packet {
  char kind = 0;
  std::string bytes = {};
  FileDescriptor fd = FileDescriptor();
};

class HandoverChannel {
 public:
  HandoverChannel() = default;
  explicit HandoverChannel(FileDescriptor fd);
  // Not open() if nobody listens there.
  static HandoverChannel Connect(const std::string& folder, const std::string& name);

  bool is_open() const { return fd_.get() >= 0; }
  // Blocks for half a second at most; false, and closed, if the other side is gone or takes nothing.
  bool Send(char kind, std::string_view bytes = {}, int fd = -1);
  // Blocks. None if nothing whole comes in time, or the other side is gone (then no longer open()).
  std::optional<Packet> Receive(Duration within);

  // From now on packets are handed over as they come; `ended` once the other side is gone.
  void OnReadable(EventLoop& loop, std::function<void(Packet)> packet, std::function<void()> ended);
  void Close();

 private:
  static void Readable(evutil_socket_t, short, void* self);
  enum class Got { kPart, kNothing, kEnd };
  Got ReceivePart(Packet& packet, bool& more);

  FileDescriptor fd_;
  EventPtr event_;
  Packet partial_;
  std::function<void(Packet)> packet_;
  std::function<void()> ended_;
};

class HandoverListener {
 public:
  // Replaces a socket of that name. Throws std::runtime_error.
  HandoverListener(EventLoop& loop, const std::string& folder, const std::string& name,
                   std::function<void(HandoverChannel)> came);

 private:
  static void Acceptable(evutil_socket_t, short, void* self);
  FileDescriptor fd_;
  EventPtr event_;
  std::function<void(HandoverChannel)> came_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_
