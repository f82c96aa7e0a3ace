// A process of the program, for tests; its log is a file in its folder.
#ifndef SAGETALLY_TESTS_APP_PROCESS_H_
#define SAGETALLY_TESTS_APP_PROCESS_H_

#include <string>

#include "loadtest/demo/child.h"

namespace sagetally {

struct Process {
  // `folder` holds config.json and node.json.
  Process(const std::string& program, const std::string& folder, const std::string& log = "output",
          const std::string& config = "config.json")
      : child({program, "serve", "--config", folder + "/" + config, "--node-file", folder + "/node.json"}, "",
              folder + "/" + log) {}
  // 0 until it is ready.
  std::uint16_t Port() {
    if (port == 0) port = loadtest::ReadyPort(child.log()).value_or(0);
    return port;
  }
  // Sends it `signal` and waits for its end. Returns the exit code, or 128 and the signal that ended it.
  int End(int signal) {
    child.Signal(signal);
    return child.Wait();
  }
  loadtest::Child child;
  std::uint16_t port = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_PROCESS_H_
