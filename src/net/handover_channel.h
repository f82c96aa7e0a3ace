// The channel between two processes of one node during a handover: a Unix socket of type SEQPACKET whose file
// is in the node's state folder.
#ifndef SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_
#define SAGETALLY_SRC_NET_HANDOVER_CHANNEL_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/file_descriptor.h"
#include "net/event_loop.h"

namespace sagetally {

// One message on a handover channel. The two processes define what `kind` and `bytes` mean.
struct Packet {
  char kind = 0;
  std::string bytes = {};
  FileDescriptor fd = FileDescriptor();  // a file descriptor sent with the packet, if any
};

// Sends and receives packets, which arrive whole and in order. Used by one thread. Works without an event
// loop until StartReceiving() is called.
class HandoverChannel {
 public:
  // Creates a closed channel.
  HandoverChannel() = default;
  // Takes over a connected socket.
  explicit HandoverChannel(FileDescriptor socket);
  // Connects to the HandoverListener of that folder and name. Returns a closed channel if there is none.
  static HandoverChannel Connect(const std::string& folder, const std::string& name);

  bool is_open() const { return socket_.get() >= 0; }
  // Sends a packet, and a copy of the descriptor `fd` unless it is -1. Blocks for at most half a second for
  // each part of 32 KiB. Returns false and closes the channel if the peer is gone or does not read.
  bool Send(char kind, std::string_view bytes = {}, int fd = -1);
  // Waits for a packet for at most `timeout`. Returns nothing if no whole packet arrives in that time, or if
  // the peer is gone; the channel is closed in the latter case.
  std::optional<Packet> Receive(Duration timeout);

  // From now on calls `on_packet` for each packet that arrives, and `on_closed` once when the peer is gone.
  // This object must not be moved after this call.
  void StartReceiving(EventLoop& loop, std::function<void(Packet)> on_packet,
                      std::function<void()> on_closed);
  // Closes the channel without calling `on_closed`.
  void Close();

 private:
  enum class PartResult { kMoreParts, kWholePacket, kNothing, kClosed };

  static void OnSocketReadable(evutil_socket_t, short, void* self);
  bool SendPart(char kind, bool has_more, std::string_view bytes, int fd);
  PartResult ReceivePart(Packet& packet);

  FileDescriptor socket_;
  EventPtr read_event_;
  Packet partial_packet_;
  std::function<void(Packet)> on_packet_;
  std::function<void()> on_closed_;
};

// Accepts channels from other processes of the same user. Used on the event loop's thread.
class HandoverListener {
 public:
  // Listens on the socket `name` in `folder`, replacing a file of that name, and calls `on_accepted` for each
  // channel. Throws ListenError.
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
