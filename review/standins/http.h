// A small blocking HTTP/1.1 server and client for the stand-ins of the review. One thread a connection;
// loopback only.
#ifndef SAGETALLY_REVIEW_STANDINS_HTTP_H_
#define SAGETALLY_REVIEW_STANDINS_HTTP_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace review {

inline std::int64_t NowMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Binds a TCP socket to a free port, or to `port`. Returns -1 if that fails.
inline int Bind(int port, int& bound_port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  bound_port = ntohs(address.sin_port);
  return fd;
}

// Returns a port that is free now, another one with each call.
inline int FreePort() {
  static std::set<int> given;
  int port = 0;
  do {
    const int fd = Bind(0, port);
    if (fd >= 0) ::close(fd);
  } while (!given.insert(port).second);
  return port;
}

// One side of a connection, with a buffer for what was received.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool is_open() const { return fd_ >= 0; }

  bool Write(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Returns 1 if bytes were received, 0 at the end of the stream or after an error, and -1 at `deadline_ms`.
  int Fill(std::int64_t deadline_ms) {
    while (true) {
      const std::int64_t left = deadline_ms - NowMs();
      if (left <= 0) return -1;
      pollfd readable{fd_, POLLIN, 0};
      const int ready = ::poll(&readable, 1, static_cast<int>(left));
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) return -1;
      char bytes[16384];
      const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return 0;
      buffer.append(bytes, static_cast<std::size_t>(n));
      return 1;
    }
  }

  std::string buffer;

 private:
  int fd_;
};

struct Message {
  std::string first_line;
  std::string method;  // of a request
  std::string target;
  int status = 0;                              // of an answer
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

enum class ReadResult { kMessage, kClosed, kTimeout };

// Reads one request or answer whose body has a Content-Length (or none).
inline ReadResult ReadMessage(Connection& connection, Message& message, std::int64_t deadline_ms) {
  std::size_t head_end = 0;
  while ((head_end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
    const int filled = connection.Fill(deadline_ms);
    if (filled <= 0) return filled == 0 ? ReadResult::kClosed : ReadResult::kTimeout;
  }
  message = Message();
  const std::string head = connection.buffer.substr(0, head_end);
  connection.buffer.erase(0, head_end + 4);
  std::size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  if (message.first_line.starts_with("HTTP/")) {
    message.status = std::atoi(message.first_line.c_str() + 9);
  } else {
    const std::size_t space = message.first_line.find(' ');
    message.method = message.first_line.substr(0, space);
    if (space != std::string::npos) {
      message.target = message.first_line.substr(space + 1, message.first_line.rfind(' ') - space - 1);
    }
  }
  const std::size_t length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  while (connection.buffer.size() < length) {
    const int filled = connection.Fill(deadline_ms);
    if (filled <= 0) return filled == 0 ? ReadResult::kClosed : ReadResult::kTimeout;
  }
  message.body = connection.buffer.substr(0, length);
  connection.buffer.erase(0, length);
  return ReadResult::kMessage;
}

inline std::string Answer(int status, const std::string& body = "", const std::string& more_headers = "") {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + more_headers;
  if (status != 204) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Accepts connections on loopback and calls `serve` for each request, on a thread of the connection. `serve`
// writes the answer itself, and returns false to close the connection. Lives until the process ends.
class Server {
 public:
  using Serve = std::function<bool(const Message&, Connection&)>;

  explicit Server(Serve serve, int port = 0) : serve_(std::move(serve)) {
    listener_ = Bind(port, port_);
    if (listener_ < 0 || ::listen(listener_, 512) != 0) {
      std::perror("a stand-in can't listen");
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(1);
        continue;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        Message request;
        while (ReadMessage(connection, request, NowMs() + 600'000) == ReadResult::kMessage) {
          if (!serve_(request, connection)) return;
        }
      }).detach();
    }
  }

  Serve serve_;
  int listener_ = -1;
  int port_ = 0;
};

// Returns -1 if no connection could be made within a second.
inline int Connect(int port) {
  static constexpr int kTimeoutMs = 1000;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd writable{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&writable, 1, kTimeoutMs) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

}  // namespace review

#endif  // SAGETALLY_REVIEW_STANDINS_HTTP_H_
