// A child process: started without a shell, ended and reaped at the latest when its object is destroyed. Also
// used by tests of the dispatcher. Not thread-safe.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sagetally::loadtest {

class Child {
 public:
  // `arguments`: the program, looked up in PATH unless it contains a slash, and its arguments. `folder`:
  // where it is started; empty: here. `log`: a file for its output. A program that can't be executed ends at
  // once with 127. Throws std::runtime_error if `log` can't be written or no process can be started.
  Child(std::vector<std::string> arguments, const std::string& folder, const std::string& log);
  // Kills it if it still runs.
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  bool Running() const;
  // Does nothing if it has ended.
  void Signal(int number) const;
  // Waits for its end. Returns the exit code, or 128 and the number of the signal that ended it.
  int Wait() const;
  pid_t pid() const { return pid_; }  // 0 once it has ended
  const std::string& log() const { return log_; }

 private:
  const std::string log_;
  // Changed by the first call that finds that it has ended.
  mutable pid_t pid_ = 0;
  mutable int exit_code_ = 0;
};

// The port for clients that a node's log names once it is ready; 0 for a node without one; none until then.
std::optional<std::uint16_t> ReadyPort(const std::string& log);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_
