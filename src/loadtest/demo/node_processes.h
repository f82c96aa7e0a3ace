// The sagetally nodes of a demonstration. Each is a child process, and the files and logs of all are in one
// folder. Not thread-safe.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_NODE_PROCESSES_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_NODE_PROCESSES_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/demo/child.h"

namespace sagetally::loadtest {

// Owns the nodes' processes. The destructor kills those that still run.
class NodeProcesses {
 public:
  // `program` is sagetally's path, `folder` the folder for all files.
  NodeProcesses(std::string program, std::string folder);

  // Writes the node's files and starts it. No node file is written if `node_file` is null. Doesn't wait until
  // the node is ready.
  void Start(const std::string& name, const nlohmann::json& platform_config, const nlohmann::json& node_file);

  // Waits until the node is ready, and returns its port for clients, or 0 if it has none. Throws
  // std::runtime_error with the end of the node's log if it isn't ready within 10 s.
  std::uint16_t WaitUntilReady(const std::string& name) const;

  // Sends SIGTERM to all nodes, waits until they exit, and returns a description of each node that had exited
  // before, didn't exit within 5 s, or exited with a code other than 0.
  std::vector<std::string> Stop();

 private:
  struct Node {
    std::string name;
    std::unique_ptr<Child> process;
  };
  // Throws std::runtime_error if there is no such node.
  const Node& Find(const std::string& name) const;

  const std::string program_;
  const std::string folder_;
  std::vector<Node> nodes_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_NODE_PROCESSES_H_
