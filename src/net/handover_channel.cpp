#include "net/handover_channel.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>
#include <vector>

namespace sagetally {
namespace {

constexpr std::size_t kPart = 32 * 1024;  // bytes of one packet on the wire, well under a socket's buffer
constexpr std::size_t kMostWhole = 64 * 1024 * 1024;
constexpr timeval kSendPatience{0, 500'000};
constexpr int kBacklog = 4;

// A state folder's path may be longer than the 107 bytes of a Unix socket's name: it is reached by
// descriptor.
sockaddr_un NameIn(const FileDescriptor& folder, const std::string& name) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  const std::string path = "/proc/self/fd/" + std::to_string(folder.get()) + "/" + name;
  std::memcpy(at.sun_path, path.data(), std::min(path.size(), sizeof at.sun_path - 1));
  return at;
}
FileDescriptor OpenFolder(const std::string& folder) {
  return FileDescriptor(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
}
FileDescriptor NewSocket(int flags) {
  return FileDescriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | flags, 0));
}

}  // namespace

HandoverChannel::HandoverChannel(FileDescriptor fd) : fd_(std::move(fd)) {
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_SNDTIMEO, &kSendPatience, sizeof kSendPatience);
}

HandoverChannel HandoverChannel::Connect(const std::string& folder, const std::string& name) {
  const FileDescriptor there = OpenFolder(folder);
  FileDescriptor fd = NewSocket(0);
  const sockaddr_un at = NameIn(there, name);
  if (there.get() < 0 || fd.get() < 0 ||
      ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    return HandoverChannel();
  }
  return HandoverChannel(std::move(fd));
}

bool HandoverChannel::Send(char kind, std::string_view bytes, int fd) {
  do {
    if (!is_open()) return false;
    const std::string_view part = bytes.substr(0, kPart);
    bytes.remove_prefix(part.size());
    char head[2] = {kind, static_cast<char>(bytes.empty() ? 0 : 1)};
    iovec pieces[2] = {{head, sizeof head}, {const_cast<char*>(part.data()), part.size()}};
    msghdr message{};
    message.msg_iov = pieces;
    message.msg_iovlen = 2;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    if (fd >= 0) {
      message.msg_control = control;
      message.msg_controllen = sizeof control;
      cmsghdr* header = CMSG_FIRSTHDR(&message);
      header->cmsg_level = SOL_SOCKET;
      header->cmsg_type = SCM_RIGHTS;
      header->cmsg_len = CMSG_LEN(sizeof(int));
      std::memcpy(CMSG_DATA(header), &fd, sizeof fd);
      fd = -1;  // goes with the first part
    }
    ssize_t sent = -1;
    do {
      sent = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    } while (sent < 0 && errno == EINTR);
    if (sent < 0) {
      Close();
      return false;
    }
  } while (!bytes.empty());
  return true;
}

HandoverChannel::Got HandoverChannel::ReceivePart(Packet& packet, bool& more) {
  std::vector<char> buffer(2 + kPart);
  iovec piece{buffer.data(), buffer.size()};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t size = ::recvmsg(fd_.get(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return Got::kNothing;
  for (cmsghdr* h = size < 0 ? nullptr : CMSG_FIRSTHDR(&message); h != nullptr;
       h = CMSG_NXTHDR(&message, h)) {
    if (h->cmsg_level != SOL_SOCKET || h->cmsg_type != SCM_RIGHTS) continue;
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(h), sizeof fd);
    packet.fd = FileDescriptor(fd);
  }
  if (size < 2 || (message.msg_flags & MSG_TRUNC) != 0) return Got::kEnd;
  packet.kind = buffer[0];
  more = buffer[1] != 0;
  packet.bytes.append(buffer.data() + 2, static_cast<std::size_t>(size) - 2);
  return packet.bytes.size() > kMostWhole ? Got::kEnd : Got::kPart;
}

std::optional<Packet> HandoverChannel::Receive(Duration within) {
  const auto until = std::chrono::steady_clock::now() + within;
  while (is_open()) {
    bool more = false;
    switch (ReceivePart(partial_, more)) {
      case Got::kPart:
        if (!more) return std::exchange(partial_, Packet());
        continue;
      case Got::kEnd:
        Close();
        return {};
      case Got::kNothing:
        break;
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
    if (left <= 0) return {};
    pollfd waits{fd_.get(), POLLIN, 0};
    ::poll(&waits, 1, static_cast<int>(left));
  }
  return {};
}

void HandoverChannel::OnReadable(EventLoop& loop, std::function<void(Packet)> packet,
                                 std::function<void()> ended) {
  packet_ = std::move(packet);
  ended_ = std::move(ended);
  event_.reset(event_new(loop.base(), fd_.get(), EV_READ | EV_PERSIST, Readable, this));
  event_add(event_.get(), nullptr);
}

void HandoverChannel::Readable(evutil_socket_t, short, void* self) {
  auto* c = static_cast<HandoverChannel*>(self);
  bool more = false;
  const Got got = c->ReceivePart(c->partial_, more);
  if (got == Got::kEnd) {
    c->Close();
    c->ended_();
  } else if (got == Got::kPart && !more) {
    c->packet_(std::exchange(c->partial_, Packet()));
  }
}

void HandoverChannel::Close() {
  event_.reset();
  fd_ = FileDescriptor();
}

HandoverListener::HandoverListener(EventLoop& loop, const std::string& folder, const std::string& name,
                                   std::function<void(HandoverChannel)> came)
    : fd_(NewSocket(SOCK_NONBLOCK)), came_(std::move(came)) {
  const FileDescriptor there = OpenFolder(folder);
  const sockaddr_un at = NameIn(there, name);
  ::unlinkat(there.get(), name.c_str(), 0);
  const mode_t before = ::umask(0177);  // from the first moment nobody else may connect
  const bool bound = ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  const int error = errno;
  ::umask(before);
  if (!bound || ::listen(fd_.get(), kBacklog) != 0) {
    throw std::runtime_error(folder + "/" + name + ": " + std::strerror(bound ? errno : error));
  }
  event_.reset(event_new(loop.base(), fd_.get(), EV_READ | EV_PERSIST, Acceptable, this));
  event_add(event_.get(), nullptr);
}

void HandoverListener::Acceptable(evutil_socket_t, short, void* self) {
  auto* listener = static_cast<HandoverListener*>(self);
  FileDescriptor fd(::accept4(listener->fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  if (fd.get() >= 0) listener->came_(HandoverChannel(std::move(fd)));
}

}  // namespace sagetally
