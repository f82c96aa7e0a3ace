#include "loadtest/stub/stub_server_thread.h"

#include <chrono>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

constexpr const char* kPlannerApplication =
    "SAGETALLY";  // application of the planners in the service registry
// The interval at which the loop's thread checks for Stop and counts the registered planners.
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

}  // namespace

StubServerThread::StubServerThread(const StubServerSettings& settings) {
  thread_ = std::thread([this, settings] { Run(settings); });
  while (!ready_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  if (!error_.empty()) {
    thread_.join();
    throw std::runtime_error(error_);
  }
}

StubServerThread::~StubServerThread() { Stop(); }

void StubServerThread::Run(const StubServerSettings& settings) {
  try {  // Starting fails if an address is in use. The constructor throws the error on the calling thread.
    loop_ = std::make_unique<EventLoop>();
    stubs_ = std::make_unique<StubServerSet>(*loop_, settings);
  } catch (const std::exception& error) {
    error_ = error.what();
    ready_ = true;
    return;
  }
  stubs_->on_observation = [this](const Observation& observation) {
    const std::lock_guard lock(mutex_);
    observations_.push_back(observation);
  };
  PublishAddresses();
  std::unique_ptr<Timer> poll_timer;
  poll_timer = std::make_unique<Timer>(*loop_, [&] {
    if (stop_) return loop_->Break();
    if (stubs_->registry) planners_ = stubs_->registry->InstanceCount(kPlannerApplication);
    poll_timer->Schedule(kPollInterval);
  });
  poll_timer->Schedule(kPollInterval);
  ready_ = true;
  loop_->Run();
}

void StubServerThread::PublishAddresses() {
  if (stubs_->agent) agent_port = stubs_->AgentPort();
  if (stubs_->registry) registry_port = stubs_->registry->port();
  if (stubs_->sink) sink_port = stubs_->sink->port();
  if (stubs_->frontend) frontend_port = stubs_->frontend->port();
  endpoints = stubs_->ListedEndpoints();
  started_us = stubs_->started_us();
}

std::vector<Observation> StubServerThread::Observations() const {
  const std::lock_guard lock(mutex_);
  return observations_;
}

StubServerSet& StubServerThread::Stop() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  return *stubs_;
}

}  // namespace sagetally::loadtest
