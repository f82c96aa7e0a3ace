#include "loadtest/stub/thread.h"

#include <chrono>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(20);

}  // namespace

StandInThread::StandInThread(const StandInSettings& settings) {
  thread_ = std::thread([this, settings] { Run(settings); });
  while (!ready_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  if (!error_.empty()) {
    thread_.join();
    throw std::runtime_error(error_);
  }
}

StandInThread::~StandInThread() { Stop(); }

void StandInThread::Run(const StandInSettings& settings) {
  try {  // guards against an address in use: the constructor tells of it
    loop_ = std::make_unique<EventLoop>();
    standins_ = std::make_unique<StandIns>(*loop_, settings);
  } catch (const std::exception& error) {
    error_ = error.what();
    ready_ = true;
    return;
  }
  standins_->on_sighting = [this](const Sighting& sighting) {
    const std::lock_guard lock(mutex_);
    sightings_.push_back(sighting);
  };
  if (standins_->agent) agent_port = standins_->agent->port();
  if (standins_->registry) registry_port = standins_->registry->port();
  if (standins_->sink) sink_port = standins_->sink->port();
  if (standins_->front) front_port = standins_->front->port();
  targets = standins_->Targets();
  started_us = standins_->started_us();
  std::unique_ptr<Timer> look;
  look = std::make_unique<Timer>(*loop_, [&] {
    if (stop_) return loop_->Break();
    if (standins_->registry) planners_ = standins_->registry->Count("SAGETALLY");
    look->Schedule(kLook);
  });
  look->Schedule(kLook);
  ready_ = true;
  loop_->Run();
}

std::vector<Sighting> StandInThread::Sightings() const {
  const std::lock_guard lock(mutex_);
  return sightings_;
}

StandIns& StandInThread::Stop() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  return *standins_;
}

}  // namespace sagetally::loadtest
