// The sagetally nodes of a demonstration, each a child process with its files and log in one folder.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_NODE_PROCESSES_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_NODE_PROCESSES_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/demo/child.h"

namespace sagetally::loadtest {

// Nodes that still run are killed at the end.
class NodeProcesses {
 public:
  // `program`: sagetally's path. `folder`: for all files.
  NodeProcesses(std::string program, std::string folder);

  // Writes the node's files and starts it. `node_file`: null for none.
  void Start(const std::string& name, const nlohmann::json& platform_config, const nlohmann::json& node_file);

  // Waits until the node is ready, and returns its port for clients (0: it has none). Throws
  // std::runtime_error with the end of its log if it isn't ready in time.
  std::uint16_t WaitUntilReady(const std::string& name) const;

  // Stops all nodes at once by SIGTERM, and returns a description of each that had exited, didn't exit in
  // time or failed.
  std::vector<std::string> Stop();

 private:
  struct Node {
    std::string name;
    std::unique_ptr<Child> process;
  };
  const Node& Find(const std::string& name) const;

  const std::string program_;
  const std::string folder_;
  std::vector<Node> nodes_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_NODE_PROCESSES_H_
