#include "loadtest/demo/node_processes.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace sagetally::loadtest {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr auto kStartTimeout = std::chrono::seconds(10);
constexpr auto kStopTimeout = std::chrono::seconds(5);
constexpr std::size_t kLogTailBytes = 2000;

// The last kLogTailBytes of the process's log.
std::string LogTail(const Child& process) {
  std::ifstream file(process.log());
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  return text.size() > kLogTailBytes ? "..." + text.substr(text.size() - kLogTailBytes) : text;
}

}  // namespace

NodeProcesses::NodeProcesses(std::string program, std::string folder)
    : program_(std::move(program)), folder_(std::move(folder)) {}

void NodeProcesses::Start(const std::string& name, const nlohmann::json& platform_config,
                          const nlohmann::json& node_file) {
  const std::string base = folder_ + "/" + name;
  std::filesystem::create_directories(platform_config.at("state").get<std::string>());
  std::ofstream(base + ".json") << platform_config.dump(1);
  if (!node_file.is_null()) std::ofstream(base + ".node.json") << node_file.dump(1);
  const std::vector<std::string> command = {program_,       "serve",       "--config",
                                            base + ".json", "--node-file", base + ".node.json"};
  nodes_.push_back({name, std::make_unique<Child>(command, "", base + ".log")});
}

std::uint16_t NodeProcesses::WaitUntilReady(const std::string& name) const {
  const Child& process = *Find(name).process;
  const auto deadline = SteadyClock::now() + kStartTimeout;
  while (SteadyClock::now() < deadline) {
    if (const auto port = ReadyPort(process.log())) return *port;
    if (!process.Running()) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error(name + " did not become ready; the end of its log:\n" + LogTail(process));
}

std::vector<std::string> NodeProcesses::Stop() {
  std::vector<std::string> problems;
  for (const Node& node : nodes_) {
    if (!node.process->Running()) {
      problems.push_back(node.name + " exited before it was stopped:\n" + LogTail(*node.process));
    }
    node.process->Signal(SIGTERM);
  }
  const auto deadline = SteadyClock::now() + kStopTimeout;
  for (const Node& node : nodes_) {
    while (node.process->Running() && SteadyClock::now() < deadline) {
      std::this_thread::sleep_for(kPollInterval);
    }
    if (node.process->Running()) {
      problems.push_back(node.name + " did not exit on SIGTERM");
    } else if (const int exit_code = node.process->Wait(); exit_code != 0) {
      problems.push_back(fmt::format("{} exited with code {}", node.name, exit_code));
    }
  }
  nodes_.clear();
  return problems;
}

const NodeProcesses::Node& NodeProcesses::Find(const std::string& name) const {
  for (const Node& node : nodes_) {
    if (node.name == name) return node;
  }
  throw std::runtime_error("no node " + name);
}

}  // namespace sagetally::loadtest
