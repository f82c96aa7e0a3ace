#include "cli/admin_commands.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/file_descriptor.h"
#include "config/config.h"

namespace sagetally {
namespace {

constexpr timeval kAnswerTimeout{3, 0};
constexpr std::size_t kReadSize = 4096;

// No answer came, or not the whole of one.
struct AdminUnreachable : std::runtime_error {
  AdminUnreachable(const std::string& address, const std::string& reason)
      : std::runtime_error("--admin " + address + ": " + reason) {}
};

// As admin/admin_request.h reads it.
const char* RequestWord(AdminCommand command) {
  switch (command) {
    case AdminCommand::kStatus:
      return "STATUS";
    case AdminCommand::kMetrics:
      return "METRICS";
    case AdminCommand::kPause:
      return "PAUSE";
    case AdminCommand::kResume:
      return "RESUME";
    case AdminCommand::kNone:
      break;
  }
  return "";
}

bool Connect(const FileDescriptor& socket, const Address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
  return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
}

bool SendLine(const FileDescriptor& socket, const std::string& line) {
  return ::send(socket.get(), line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size());
}

std::string ReadToEnd(const FileDescriptor& socket) {
  std::string text;
  char chunk[kReadSize];
  ssize_t size = 0;
  while ((size = ::recv(socket.get(), chunk, sizeof chunk, 0)) > 0) text.append(chunk, size);
  return text;
}

bool IsComplete(AdminCommand command, const std::string& answer) {
  return answer.ends_with(command == AdminCommand::kMetrics ? "end\n" : "\n");
}

}  // namespace

int RunAdminCommand(AdminCommand command, const std::string& admin, std::ostream& out, std::ostream& errors) {
  const Address address = ParseAddress(admin, "--admin");
  const FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &kAnswerTimeout, sizeof kAnswerTimeout);
  ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &kAnswerTimeout, sizeof kAnswerTimeout);
  if (!Connect(socket, address) || !SendLine(socket, std::string(RequestWord(command)) + "\n")) {
    throw AdminUnreachable(admin, std::strerror(errno));
  }
  const std::string answer = ReadToEnd(socket);
  if (!IsComplete(command, answer)) throw AdminUnreachable(admin, "no whole answer");
  const bool is_error = answer.starts_with("error");
  (is_error ? errors : out) << answer;
  return is_error ? 1 : 0;
}

}  // namespace sagetally
