#include "net/admin_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace sagetally {
namespace {

// A caller types one word; who holds on for longer than this wants something else.
constexpr Duration kLongestCall = std::chrono::seconds(6);
constexpr Duration kLinger = std::chrono::milliseconds(200);  // for the answer to be read
constexpr Duration kAcceptAgain = std::chrono::milliseconds(50);
constexpr int kFirst = 0;  // priority: before all that the loop has to do beside

}  // namespace

class AdminServer::Client {
 public:
  Client(AdminServer& door, int fd)
      : door_(door),
        buffers_(bufferevent_socket_new(door.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
        timer_(door.loop_, [this] { door_.Close(*this); }) {
    bufferevent_setcb(buffers_.get(), Readable, Written, Happened, this);
    bufferevent_setwatermark(buffers_.get(), EV_READ, 0, 2 * kMaxAdminLineBytes);
    bufferevent_priority_set(buffers_.get(), kFirst);
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
    timer_.Schedule(kLongestCall);
  }
  void Leave() {
    buffers_.reset();
    timer_.Stop();
  }
  bool answered() const { return answered_; }

 private:
  void Read() {
    evbuffer* in = bufferevent_get_input(buffers_.get());
    if (answered_) {  // guards against a reset that overtakes the answer: what comes behind is read away
      evbuffer_drain(in, evbuffer_get_length(in));
      return;
    }
    const std::size_t size = evbuffer_get_length(in);
    const AdminRequest call =
        ParseAdminRequest({reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), size});
    if (call.state == AdminRequest::State::kIncomplete) return;
    answered_ = true;
    evbuffer_drain(in, size);
    const std::string answer = HandleAdminRequest(call, door_.answers_);
    bufferevent_write(buffers_.get(), answer.data(), answer.size());
    timer_.Schedule(kLinger);
  }
  static void Readable(bufferevent*, void* self) { static_cast<Client*>(self)->Read(); }
  static void Written(bufferevent*, void* self) {
    auto* c = static_cast<Client*>(self);
    if (c->answered_) ::shutdown(bufferevent_getfd(c->buffers_.get()), SHUT_WR);
  }
  static void Happened(bufferevent* b, short, void* self) {
    auto* c = static_cast<Client*>(self);
    // One who has ended its sending may still read; the timer ends it.
    if (c->answered_ && evbuffer_get_length(bufferevent_get_output(b)) > 0) return;
    c->door_.Close(*c);
  }

  AdminServer& door_;
  std::unique_ptr<bufferevent, Free<bufferevent_free>> buffers_;
  Timer timer_;
  bool answered_ = false;
};

FileDescriptor AdminServer::Listen(const Address& at) {
  FileDescriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  const int on = 1;
  ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (inet_pton(AF_INET, at.host.c_str(), &address.sin_addr) != 1 ||
      ::bind(listener.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener.get(), SOMAXCONN) != 0) {
    throw std::runtime_error("admin: can't listen on " + at.host + ":" + std::to_string(at.port) + ": " +
                             std::strerror(errno));
  }
  return listener;
}

AdminServer::AdminServer(EventLoop& loop, FileDescriptor listener, std::size_t most_connections,
                         AdminHandlers answers)
    : loop_(loop),
      most_(std::max<std::size_t>(1, most_connections)),
      answers_(std::move(answers)),
      listener_(std::move(listener)),
      sweep_(loop, [this] { closed_.clear(); }),
      accept_again_(loop, [this] { event_add(accepts_.get(), nullptr); }) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  accepts_.reset(event_new(loop.base(), listener_.get(), EV_READ | EV_PERSIST, Acceptable, this));
  event_priority_set(accepts_.get(), kFirst);
  event_add(accepts_.get(), nullptr);
}

AdminServer::~AdminServer() = default;

void AdminServer::Acceptable(evutil_socket_t, short, void* self) {
  static_cast<AdminServer*>(self)->Accept();
}

void AdminServer::Accept() {
  // Not all at once: callers who come by the thousand must not keep the clients waiting.
  for (std::size_t i = 0; i < most_; ++i) {
    const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        event_del(accepts_.get());  // else the loop would turn round and round
        accept_again_.Schedule(kAcceptAgain);
      }
      return;
    }
    if (callers_.size() >= most_) {
      const auto answered = std::find_if(callers_.begin(), callers_.end(),
                                         [](const auto& caller) { return caller->answered(); });
      Close(answered == callers_.end() ? *callers_.front() : **answered);
    }
    callers_.push_back(std::make_unique<Client>(*this, fd));
  }
}

void AdminServer::Close(Client& caller) {
  const auto at = std::find_if(callers_.begin(), callers_.end(),
                               [&](const auto& owned) { return owned.get() == &caller; });
  if (at == callers_.end()) return;
  caller.Leave();
  closed_.splice(closed_.end(), callers_, at);
  sweep_.Schedule(Duration(0));
}

}  // namespace sagetally
