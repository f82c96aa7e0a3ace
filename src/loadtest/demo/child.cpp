#include "loadtest/demo/child.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <string_view>

namespace sagetally::loadtest {
namespace {

// Exit codes as in shells: 128 plus the signal's number, and 127 for a program that can't be executed.
constexpr int kSignalExitCodeBase = 128;
constexpr int kCannotExecuteExitCode = 127;

// The exit code for a status of waitpid().
int ExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitCodeBase + WTERMSIG(status);
}

// Returns the field "port" of the first whole line of the file that contains `event`.
std::optional<std::uint16_t> FindPort(const std::string& log, std::string_view event) {
  constexpr std::string_view kPortField = " port=";
  std::ifstream file(log);
  for (std::string line; std::getline(file, line);) {
    const std::size_t port = line.find(kPortField);
    const bool is_complete = !file.eof();
    if (line.find(event) != std::string::npos && port != std::string::npos && is_complete) {
      return static_cast<std::uint16_t>(std::stoi(line.substr(port + kPortField.size())));
    }
  }
  return std::nullopt;
}

}  // namespace

Child::Child(std::vector<std::string> arguments, const std::string& folder, const std::string& log)
    : log_(log) {
  std::vector<char*> argv;
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (out < 0) throw std::runtime_error(log + ": can't be written");
  pid_ = ::fork();
  if (pid_ == 0) {  // the child makes only calls that are safe after fork() in a program with threads
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::setpgid(0, 0);  // a terminal's Ctrl-C reaches only the parent, which stops its children itself
    sigset_t none{};
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (folder.empty() || ::chdir(folder.c_str()) == 0) ::execvp(argv[0], argv.data());
    ::_exit(kCannotExecuteExitCode);
  }
  ::close(out);
  if (pid_ < 0) throw std::runtime_error("can't start a child process");
}

Child::~Child() {
  if (!Running()) return;
  Signal(SIGKILL);
  Wait();
}

bool Child::Running() const {
  int status = 0;
  if (pid_ <= 0) return false;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_code_ = ExitCode(status);
  pid_ = 0;
  return false;
}

void Child::Signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

std::optional<std::uint16_t> ReadyPort(const std::string& log) { return FindPort(log, " ready name="); }

std::optional<std::uint16_t> CloudEventsPort(const std::string& log) {
  return FindPort(log, " cloudevents.ready ");
}

int Child::Wait() const {
  int status = 0;
  if (pid_ <= 0) return exit_code_;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  pid_ = 0;
  exit_code_ = ExitCode(status);
  return exit_code_;
}

}  // namespace sagetally::loadtest
