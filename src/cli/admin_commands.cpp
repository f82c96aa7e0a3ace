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

constexpr timeval kPatience{3, 0};

[[noreturn]] void NoAnswer(const std::string& admin, const std::string& why) {
  throw std::runtime_error("--admin " + admin + ": " + why);
}

}  // namespace

int RunAdminCommand(const std::string& call, const std::string& admin, std::ostream& out, std::ostream& err) {
  const Address at = ParseAddress(admin, "--admin");
  const FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof kPatience);
  ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &kPatience, sizeof kPatience);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(at.port);
  inet_pton(AF_INET, at.host.c_str(), &to.sin_addr);
  const std::string line = call + "\n";
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
      ::send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    NoAnswer(admin, std::strerror(errno));
  }
  std::string answer;
  char some[4096];
  ssize_t size = 0;
  while ((size = ::recv(fd.get(), some, sizeof some, 0)) > 0) answer.append(some, size);
  const bool whole = call == "METRICS" ? answer.ends_with("end\n") : answer.ends_with("\n");
  if (!whole) NoAnswer(admin, "no whole answer");
  const bool error = answer.starts_with("error");
  (error ? err : out) << answer;
  return error ? 1 : 0;
}

}  // namespace sagetally
