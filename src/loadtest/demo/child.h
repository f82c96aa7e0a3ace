// A child process. It is started without a shell, and killed and reaped at the latest when its object is
// destroyed. Used by the demonstration, the soak, the plots and tests of the dispatcher. Not thread-safe.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagetally::loadtest {

// Owns one child process.
class Child {
 public:
  // Starts the process. `arguments` holds the program, which is looked up in PATH unless it contains a slash,
  // and the program's arguments. `folder` is its working directory; if empty, that of this process. `log` is
  // the file for its standard output and standard error. If the program can't be executed, the child exits at
  // once with code 127. Throws std::runtime_error if `log` can't be written or no process can be started.
  Child(std::vector<std::string> arguments, const std::string& folder, const std::string& log);
  // Kills and reaps the process if it still runs.
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  // Whether the process still runs. Reaps it if it has exited.
  bool Running() const;
  // Sends a signal. Does nothing if the process has been reaped.
  void Signal(int number) const;
  // Waits for the exit. Returns the exit code, or 128 plus the number of the signal that ended the process.
  int Wait() const;
  // The process id; 0 once the exit has been noticed.
  pid_t pid() const { return pid_; }
  // The path of the file with the process's output.
  const std::string& log() const { return log_; }

 private:
  const std::string log_;
  // Set by the first call that notices the exit.
  mutable pid_t pid_ = 0;
  mutable int exit_code_ = 0;
};

// Reads a node's log and returns the port for clients that it names once the node is ready, which is 0 for a
// node that has none. Returns std::nullopt while the node is not ready.
std::optional<std::uint16_t> ReadyPort(const std::string& log);
// Returns the port for CloudEvents that a node's log names, or std::nullopt if it names none.
std::optional<std::uint16_t> CloudEventsPort(const std::string& log);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_
