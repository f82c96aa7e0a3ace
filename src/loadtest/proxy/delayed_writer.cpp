#include "loadtest/proxy/delayed_writer.h"

#include <algorithm>
#include <utility>

namespace sagetally::loadtest {

DelayedWriter::DelayedWriter(EventLoop& loop, bufferevent* destination)
    : destination_(destination), timer_(loop, [this] { RunDue(); }) {}

void DelayedWriter::Write(std::string bytes, Duration delay) {
  Add(NextInOrder(delay), WriteAction(std::move(bytes)));
}

void DelayedWriter::Run(std::function<void()> action, Duration delay) {
  Add(NextInOrder(delay), std::move(action));
}

void DelayedWriter::WriteAside(std::string bytes, Duration delay) {
  Add(std::chrono::steady_clock::now() + delay, WriteAction(std::move(bytes)));
}

void DelayedWriter::RunAside(std::function<void()> action, Duration delay) {
  Add(std::chrono::steady_clock::now() + delay, std::move(action));
}

void DelayedWriter::Stop() {
  destination_ = nullptr;
  actions_.clear();
  timer_.Stop();
}

DelayedWriter::TimePoint DelayedWriter::NextInOrder(Duration delay) {
  last_in_order_ = std::max(last_in_order_, std::chrono::steady_clock::now() + delay);
  return last_in_order_;
}

std::function<void()> DelayedWriter::WriteAction(std::string bytes) {
  return [this, bytes = std::move(bytes)] { bufferevent_write(destination_, bytes.data(), bytes.size()); };
}

void DelayedWriter::Add(TimePoint due, std::function<void()> action) {
  if (destination_ == nullptr) return;
  actions_.emplace(due, std::move(action));
  RunDue();
}

// An action may stop this writer.
void DelayedWriter::RunDue() {
  while (!actions_.empty() && actions_.begin()->first <= std::chrono::steady_clock::now()) {
    const std::function<void()> action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
  }
  if (actions_.empty()) return;
  timer_.Schedule(std::chrono::ceil<Duration>(actions_.begin()->first - std::chrono::steady_clock::now()));
}

}  // namespace sagetally::loadtest
