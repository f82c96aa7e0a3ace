#include "net/handover_channel.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>
#include <utility>
#include <vector>

#include "net/listen_error.h"
#include "net/socket_error.h"
#include "net/unix_socket.h"

namespace sagetally {
namespace {

// A packet is sent in parts. Each part has the packet's kind, a byte that is 1 if more parts follow, and up
// to kMaxPartBytes bytes of data.
constexpr std::size_t kPartHeadBytes = 2;
constexpr std::size_t kMaxPartBytes = 32 * 1024;  // well below the size of a socket's buffer
constexpr std::size_t kMaxPacketBytes = 64 * 1024 * 1024;
constexpr timeval kSendTimeout{0, 500'000};  // seconds, microseconds
constexpr int kBacklog = 4;
constexpr int kMaxSendAttempts = 20;  // of one part, after transient errors

// Returns the address of the socket `name` in `folder`. It names the folder by its descriptor, because the
// folder's path may be longer than the 107 bytes that a Unix socket's address can hold.
sockaddr_un AddressIn(const FileDescriptor& folder, const std::string& name) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = "/proc/self/fd/" + std::to_string(folder.get()) + "/" + name;
  std::memcpy(address.sun_path, path.data(), std::min(path.size(), sizeof address.sun_path - 1));
  return address;
}

FileDescriptor OpenFolder(const std::string& folder) {
  return FileDescriptor(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
}

FileDescriptor NewSocket(int flags) {
  return FileDescriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | flags, 0));
}

// Ancillary data that carries one descriptor.
struct DescriptorMessage {
  alignas(cmsghdr) char bytes[CMSG_SPACE(sizeof(int))] = {};
};

void AttachDescriptor(msghdr& message, DescriptorMessage& storage, int descriptor) {
  message.msg_control = storage.bytes;
  message.msg_controllen = sizeof storage.bytes;
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
}

// Stores the descriptor that came with a message in `descriptor`. If there are several, the last one is kept
// and the others are closed.
void ReceiveDescriptor(msghdr& message, FileDescriptor& descriptor) {
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    int received = -1;
    std::memcpy(&received, CMSG_DATA(header), sizeof received);
    descriptor = FileDescriptor(received);
  }
}

}  // namespace

HandoverChannel::HandoverChannel(FileDescriptor socket) : socket_(std::move(socket)) {
  ::setsockopt(socket_.get(), SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout, sizeof kSendTimeout);
}

HandoverChannel HandoverChannel::Connect(const std::string& folder, const std::string& name) {
  const FileDescriptor folder_descriptor = OpenFolder(folder);
  FileDescriptor socket = NewSocket(0);
  const sockaddr_un address = AddressIn(folder_descriptor, name);
  if (folder_descriptor.get() < 0 || socket.get() < 0 ||
      ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return HandoverChannel();
  }
  return HandoverChannel(std::move(socket));
}

bool HandoverChannel::Send(char kind, std::string_view bytes, int fd) {
  do {
    if (!is_open()) return false;
    const std::string_view part = bytes.substr(0, kMaxPartBytes);
    bytes.remove_prefix(part.size());
    const int part_descriptor = std::exchange(fd, -1);  // sent with the first part only
    if (!SendPart(kind, !bytes.empty(), part, part_descriptor)) {
      Close();
      return false;
    }
  } while (!bytes.empty());
  return true;
}

bool HandoverChannel::SendPart(char kind, bool has_more, std::string_view bytes, int fd) {
  char head[kPartHeadBytes] = {kind, static_cast<char>(has_more ? 1 : 0)};
  iovec pieces[2] = {{head, sizeof head}, {const_cast<char*>(bytes.data()), bytes.size()}};
  msghdr message{};
  message.msg_iov = pieces;
  message.msg_iovlen = std::size(pieces);
  DescriptorMessage control;
  if (fd >= 0) AttachDescriptor(message, control, fd);
  // EAGAIN means that kSendTimeout has passed because the other process does not read.
  for (int i = 0; i < kMaxSendAttempts; ++i) {
    if (::sendmsg(socket_.get(), &message, MSG_NOSIGNAL) >= 0) return true;
    const bool is_short_of_memory = errno == ENOBUFS || errno == ENOMEM;
    if (errno != EINTR && !is_short_of_memory) return false;
    if (is_short_of_memory) std::this_thread::sleep_for(kSocketRetryDelay);
  }
  return false;
}

// Appends the next part to `packet` if one has arrived. Does not block.
HandoverChannel::PartResult HandoverChannel::ReceivePart(Packet& packet) {
  std::vector<char> buffer(kPartHeadBytes + kMaxPartBytes);
  iovec piece{buffer.data(), buffer.size()};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  DescriptorMessage control;
  message.msg_control = control.bytes;
  message.msg_controllen = sizeof control.bytes;
  const ssize_t size = ::recvmsg(socket_.get(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  if (size < 0 && IsTransientSocketError(errno)) return PartResult::kNothing;
  if (size >= 0) ReceiveDescriptor(message, packet.fd);
  const auto part_bytes = static_cast<std::size_t>(std::max<ssize_t>(size, 0));
  if (part_bytes < kPartHeadBytes || (message.msg_flags & MSG_TRUNC) != 0) return PartResult::kClosed;
  packet.kind = buffer[0];
  const bool has_more = buffer[1] != 0;
  packet.bytes.append(buffer.data() + kPartHeadBytes, part_bytes - kPartHeadBytes);
  if (packet.bytes.size() > kMaxPacketBytes) return PartResult::kClosed;
  return has_more ? PartResult::kMoreParts : PartResult::kWholePacket;
}

std::optional<Packet> HandoverChannel::Receive(Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (is_open()) {
    switch (ReceivePart(partial_packet_)) {
      case PartResult::kWholePacket:
        return std::exchange(partial_packet_, Packet());
      case PartResult::kMoreParts:
        continue;
      case PartResult::kClosed:
        Close();
        return std::nullopt;
      case PartResult::kNothing:
        break;
    }
    const auto time_left = deadline - std::chrono::steady_clock::now();
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(time_left).count();
    if (milliseconds <= 0) return std::nullopt;
    pollfd readable{socket_.get(), POLLIN, 0};
    ::poll(&readable, 1, static_cast<int>(milliseconds));
  }
  return std::nullopt;
}

void HandoverChannel::StartReceiving(EventLoop& loop, std::function<void(Packet)> on_packet,
                                     std::function<void()> on_closed) {
  on_packet_ = std::move(on_packet);
  on_closed_ = std::move(on_closed);
  read_event_ = StartReadEvent(loop, socket_.get(), OnSocketReadable, this);
}

void HandoverChannel::OnSocketReadable(evutil_socket_t, short, void* self) {
  auto* channel = static_cast<HandoverChannel*>(self);
  const PartResult result = channel->ReceivePart(channel->partial_packet_);
  if (result == PartResult::kClosed) {
    channel->Close();
    channel->on_closed_();
  } else if (result == PartResult::kWholePacket) {
    channel->on_packet_(std::exchange(channel->partial_packet_, Packet()));
  }
}

void HandoverChannel::Close() {
  read_event_.reset();
  socket_ = FileDescriptor();
}

HandoverListener::HandoverListener(EventLoop& loop, const std::string& folder, const std::string& name,
                                   std::function<void(HandoverChannel)> on_accepted)
    : socket_(NewSocket(SOCK_NONBLOCK)), on_accepted_(std::move(on_accepted)) {
  const FileDescriptor folder_descriptor = OpenFolder(folder);
  const sockaddr_un address = AddressIn(folder_descriptor, name);
  ::unlinkat(folder_descriptor.get(), name.c_str(), 0);
  int error_number = BindForOwnerOnly(socket_, address);
  if (error_number == 0 && ::listen(socket_.get(), kBacklog) != 0) error_number = errno;
  if (error_number != 0) {
    const std::string path = folder + "/" + name;
    throw ListenError(path + ": " + std::strerror(error_number), path, error_number);
  }
  accept_event_ = StartReadEvent(loop, socket_.get(), OnAcceptable, this);
}

void HandoverListener::OnAcceptable(evutil_socket_t, short, void* self) {
  auto* listener = static_cast<HandoverListener*>(self);
  FileDescriptor socket(::accept4(listener->socket_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  if (socket.get() >= 0) listener->on_accepted_(HandoverChannel(std::move(socket)));
}

}  // namespace sagetally
