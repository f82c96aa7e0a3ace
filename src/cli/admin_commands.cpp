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

constexpr timeval kSocketTimeout{3, 0};  // seconds and microseconds, for each send and receive
constexpr std::size_t kReadBytes = 4096;

// Thrown if the request can't be sent or no complete response arrives.
struct AdminRequestFailed : std::runtime_error {
  AdminRequestFailed(const std::string& address, const std::string& reason)
      : std::runtime_error("--admin " + address + ": " + reason) {}
};

// Returns the request line that ParseAdminRequest expects for the command, without its line end.
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

std::string ReadUntilClosed(const FileDescriptor& socket) {
  std::string text;
  char chunk[kReadBytes];
  ssize_t size = 0;
  while ((size = ::recv(socket.get(), chunk, sizeof chunk, 0)) > 0) text.append(chunk, size);
  return text;
}

bool IsComplete(AdminCommand command, const std::string& response) {
  return response.ends_with(command == AdminCommand::kMetrics ? "end\n" : "\n");
}

}  // namespace

int RunAdminCommand(AdminCommand command, const std::string& admin, std::ostream& out, std::ostream& errors) {
  const Address address = ParseAddress(admin, "--admin");
  const FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
  ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
  if (!Connect(socket, address) || !SendLine(socket, std::string(RequestWord(command)) + "\n")) {
    throw AdminRequestFailed(admin, std::strerror(errno));
  }
  const std::string response = ReadUntilClosed(socket);
  if (!IsComplete(command, response)) throw AdminRequestFailed(admin, "the response is incomplete");
  const bool is_error = response.starts_with("error");
  (is_error ? errors : out) << response;
  return is_error ? 1 : 0;
}

}  // namespace sagetally
