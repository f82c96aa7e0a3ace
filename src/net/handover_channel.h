// The channel between two processes of one node during an upgrade: a Unix socket of type SEQPACKET, reached
// by a name in the node's state folder.
#ifndef SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_
#define SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/file_descriptor.h"
#include "net/event_loop.h"

namespace sagetally {

// `kind` and `bytes` mean what the two processes have agreed on.
struct Packet {
  char kind = 0;
  std::string bytes = {};
  FileDescriptor fd = FileDescriptor();  // that came with it, if any
};

// Packets in order, in both directions. Used by one thread, and until OnReadable() without an event loop.
class HandoverChannel {
 public:
  HandoverChannel() = default;
  // Takes over a connected socket.
  explicit HandoverChannel(FileDescriptor socket);
  // Not is_open() if nobody listens there.
  static HandoverChannel Connect(const std::string& folder, const std::string& name);

  bool is_open() const { return socket_.get() >= 0; }
  // Sends a packet, and a copy of the descriptor `fd` unless it is -1. Blocks for half a second at most for
  // each part; false, and closed, if the other side is gone or reads nothing.
  bool Send(char kind, std::string_view bytes = {}, int fd = -1);
  // Blocks. None if no whole packet comes within that time, or the other side is gone (then no longer
  // is_open()).
  std::optional<Packet> Receive(Duration within);

  // From now on calls `on_packet` for each packet as it comes, and `on_ended` once the other side is gone.
  // This object must not be moved any more.
  void StartReceiving(EventLoop& loop, std::function<void(Packet)> on_packet, std::function<void()> on_ended);
  void Close();

 private:
  enum class PartResult { kMoreParts, kWholePacket, kNothing, kEnded };

  static void OnSocketReadable(evutil_socket_t, short, void* self);
  bool SendPart(char kind, bool has_more, std::string_view bytes, int fd);
  PartResult ReceivePart(Packet& packet);

  FileDescriptor socket_;
  EventPtr read_event_;
  Packet partial_packet_;
  std::function<void(Packet)> on_packet_;
  std::function<void()> on_ended_;
};

// Accepts channels of other processes of the same user. On the event loop's thread.
class HandoverListener {
 public:
  // Replaces a socket of that name. Throws ListenError.
  HandoverListener(EventLoop& loop, const std::string& folder, const std::string& name,
                   std::function<void(HandoverChannel)> on_accepted);
  HandoverListener(const HandoverListener&) = delete;
  HandoverListener& operator=(const HandoverListener&) = delete;

 private:
  static void OnAcceptable(evutil_socket_t, short, void* self);

  FileDescriptor socket_;
  std::function<void(HandoverChannel)> on_accepted_;
  EventPtr accept_event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_
