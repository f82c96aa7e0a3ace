// A child process: started without a shell, ended and waited for at the latest when its object goes.
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
  // `words`: the program, looked up in PATH unless it holds a slash, and its arguments. `folder`: where it is
  // started (empty: here). `log`: a file for what it writes. A program that can't be started ends at once
  // with 127.
  Child(std::vector<std::string> words, const std::string& folder, const std::string& log);
  ~Child();  // by SIGKILL, if it still runs
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  bool Running() const;
  void Signal(int number) const;
  int Wait() const;                   // exit code, or 128 and the signal that ended it
  pid_t pid() const { return pid_; }  // 0 once it has ended
  const std::string& log() const { return log_; }

 private:
  const std::string log_;
  mutable pid_t pid_ = 0;
  mutable int code_ = 0;
};

// The port for clients that a node's log names once it is ready (a planner has none: 0); nothing until then.
std::optional<std::uint16_t> ReadyPort(const std::string& log);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_CHILD_H_
