// Runs the program as a child process, for tests. Not thread-safe.
#ifndef SAGETALLY_TESTS_APP_PROCESS_H_
#define SAGETALLY_TESTS_APP_PROCESS_H_

#include <string>

#include "loadtest/demo/child.h"

namespace sagetally {

// A child process that runs the command "serve", and is killed at the end if it still runs.
struct Process {
  // `folder` holds the files `config` and node.json. The process writes its output to the file `log` there.
  Process(const std::string& program, const std::string& folder, const std::string& log = "output",
          const std::string& config = "config.json")
      : child({program, "serve", "--config", folder + "/" + config, "--node-file", folder + "/node.json"}, "",
              folder + "/" + log) {}
  // Returns the port on which it accepts clients, or 0 until it is ready.
  std::uint16_t Port() {
    if (port == 0) port = loadtest::ReadyPort(child.log()).value_or(0);
    return port;
  }
  // Sends it `signal`, and waits until it has exited. Returns its exit code, or 128 plus the number of the
  // signal that ended it.
  int End(int signal) {
    child.Signal(signal);
    return child.Wait();
  }
  loadtest::Child child;
  std::uint16_t port = 0;  // as read from the log; 0 until it is known
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_PROCESS_H_
