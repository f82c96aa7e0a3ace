#include "loadtest/soak/soak_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/demo/demo_config.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kRestartDelayUs = 600'000;   // from a process's exit to its next start
constexpr std::int64_t kPauseDurationUs = 150'000;  // from SIGSTOP to SIGCONT
constexpr auto kReadyTimeout = std::chrono::seconds(20);
constexpr double kBytesPerMegabyte = 1024 * 1024;
// Part of its memory limit that a process may use at most.
constexpr double kMaxMemoryFraction = 0.75;
// What an idle process may hold more than when it was started.
constexpr double kMaxGrowthMegabytes = 4;

double Megabytes(std::int64_t bytes) { return static_cast<double>(bytes) / kBytesPerMegabyte; }

}  // namespace

SoakNode::SoakNode(int number, const SoakSchedule& schedule, const SoakOptions& options,
                   const StubServerThread& stubs, const std::string& folder)
    : number_(number), schedule_(schedule), options_(options), folder_(folder) {
  WriteConfig(stubs);
  Start();
}

std::string SoakNode::ConfigPath() const { return fmt::format("{}/n{}.json", folder_, number_); }
std::string SoakNode::NodeFilePath() const { return fmt::format("{}/n{}-node.json", folder_, number_); }
std::string SoakNode::LogPath() const { return fmt::format("{}/n{}-{}.log", folder_, number_, starts_); }

void SoakNode::WriteConfig(const StubServerThread& stubs) {
  const std::string name = fmt::format("n{}", number_);
  Json config = DemoPlatformConfigJson(name, stubs, fmt::format("{}/{}", folder_, name), true);
  config["limits"]["sockets"] = schedule_.descriptor_limit;
  config["limits"]["memory_mb"] = schedule_.memory_mb;
  config["settings"]["caps"]["mostHeld"] = schedule_.max_pending;
  std::filesystem::create_directories(config.at("state").get<std::string>());
  std::ofstream(ConfigPath()) << config.dump(1);
  Json node_file = Json::object();
  if (schedule_.has_cloudevents) node_file["cloudevents"] = {{"listen", "127.0.0.1:0"}};
  std::ofstream(NodeFilePath()) << node_file.dump(1);
}

std::int64_t SoakNode::peak_memory_bytes() const {
  return std::max(earlier_peak_bytes_, memory_.peak_bytes());
}

void SoakNode::Apply(NodeFault fault) {
  if (!process_->Running()) return;
  switch (fault) {
    case NodeFault::kRestart:
      process_->Signal(SIGTERM);
      if (terminated_us_ == 0) terminated_us_ = NowUs();
      return;
    case NodeFault::kKill:
      if (terminated_us_ == 0) Kill();
      return;
    case NodeFault::kReload:
      process_->Signal(SIGHUP);
      return;
    case NodeFault::kPause:
      if (terminated_us_ != 0) return;
      process_->Signal(SIGSTOP);
      paused_us_ = NowUs();
      return;
  }
}

void SoakNode::Step() {
  const std::int64_t now = NowUs();
  if (paused_us_ != 0 && now >= paused_us_ + kPauseDurationUs) {
    process_->Signal(SIGCONT);
    paused_us_ = 0;
  }
  if (port_ != 0) EnforceMemoryLimit();
  if (terminated_us_ != 0 && now >= terminated_us_ + kTerminationTimeoutUs) Kill();
  if (start_at_us_ == 0 && port_ != 0 && !process_->Running()) OnExit();
  if (start_at_us_ != 0 && now >= start_at_us_) Start();
  if (port_ == 0 && start_at_us_ == 0) CheckReady();
}

void SoakNode::EnforceMemoryLimit() {
  if (!process_->Running()) return;
  memory_.Measure(process_->pid());
  if (Megabytes(memory_.latest_bytes()) <= schedule_.memory_mb) return;
  violations_.push_back({"memory limit", "",
                         fmt::format("node {} was killed at {:.1f} MB, its limit is {} MB", number_,
                                     Megabytes(memory_.latest_bytes()), schedule_.memory_mb)});
  Kill();
}

void SoakNode::CheckMemoryReturned() {
  if (!process_->Running() || port_ == 0) return;
  memory_.Measure(process_->pid());
  const double growth = Megabytes(memory_.latest_bytes() - memory_.at_start_bytes());
  if (growth <= kMaxGrowthMegabytes) return;
  violations_.push_back(
      {"memory kept", "",
       fmt::format("node {} is idle and holds {:.1f} MB, {:.1f} MB more than when it was started", number_,
                   Megabytes(memory_.latest_bytes()), growth)});
}

void SoakNode::Stop() {
  if (paused_us_ != 0) process_->Signal(SIGCONT);
  process_->Signal(SIGTERM);
  CheckPeakMemory();
}

void SoakNode::AwaitReady() {
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  while (port_ == 0) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error(fmt::format("node {} was not ready in time; see {}", number_, LogPath()));
    }
    std::this_thread::sleep_for(kStepInterval);
    Step();
  }
}

void SoakNode::Start() {
  ++starts_;
  start_at_us_ = 0;
  std::vector<std::string> command;
  if (!schedule_.call_faults.empty()) {
    command = {"env", "LD_PRELOAD=" + options_.shim,
               fmt::format("SAGETALLY_FAULTS={},after=0.5,seed={}", schedule_.call_faults, schedule_.seed),
               fmt::format("SAGETALLY_FAULT_LOG={}/faults.log", folder_)};
  }
  command.insert(command.end(), {options_.program, "serve", "--log-level", "debug", "--config", ConfigPath(),
                                 "--node-file", NodeFilePath()});
  process_ = std::make_unique<Child>(command, "", LogPath());
}

void SoakNode::CheckReady() {
  if (const auto port = ReadyPort(process_->log())) {
    cloudevents_port_ = CloudEventsPort(process_->log()).value_or(0);
    port_ = *port;
    if (!down_times_.empty()) down_times_.back().until_us = NowUs();
  } else if (!process_->Running()) {
    throw std::runtime_error(fmt::format("node {} exited before it was ready; see {}", number_, LogPath()));
  }
}

// Adds a violation if a process has used more than its part of the limit.
void SoakNode::CheckPeakMemory() {
  const double peak = Megabytes(peak_memory_bytes());
  if (peak <= kMaxMemoryFraction * schedule_.memory_mb) return;
  violations_.push_back({"memory peak", "",
                         fmt::format("node {} had up to {:.1f} MB, which is over {} of its limit of {} MB",
                                     number_, peak, kMaxMemoryFraction, schedule_.memory_mb)});
}

void SoakNode::Kill() {
  process_->Signal(SIGKILL);
  process_->Wait();
  BeginDownTime();
}

// Handles an exit that is not a kill. The node is restarted later, as after a kill. An exit without SIGTERM,
// or with another code than 0, is a violation.
void SoakNode::OnExit() {
  const int code = process_->Wait();
  if (terminated_us_ == 0 || code != 0) {
    violations_.push_back({"exit", "",
                           fmt::format("node {} exited with code {} {} SIGTERM", number_, code,
                                       terminated_us_ == 0 ? "without" : "after")});
  }
  BeginDownTime();
}

// Records the time around an exit in which a connection of the node may close without a response. The down
// time begins two steps (10 ms) before now, because a request that is sent while the process exits meets a
// connection reset and the exit is noticed only in a later step. A request that the node had read is excused
// by a kill only: between SIGTERM and the exit, the node must respond to it.
void SoakNode::BeginDownTime() {
  const std::int64_t now = NowUs();
  earlier_peak_bytes_ = peak_memory_bytes();
  memory_ = ProcessMemory();
  port_ = 0;
  cloudevents_port_ = 0;
  terminated_us_ = 0;
  paused_us_ = 0;
  start_at_us_ = now + kRestartDelayUs;
  down_times_.push_back(
      {number_, now - 2 * static_cast<std::int64_t>(kStepInterval.count()) * 1000, now + kRestartDelayUs});
}

}  // namespace sagetally::loadtest
