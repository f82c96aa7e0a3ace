#include "time/clock.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <string>

namespace sagetally {

namespace {

// The wall clock and the steady clock may drift apart by this much between two processes. A larger difference
// counts as a step of the wall clock.
constexpr Duration kMaxClockDrift = std::chrono::milliseconds(20);

}  // namespace

SystemClock::SystemClock() {
  // The kernel identifies each boot of the machine by a UUID. Its first 16 hexadecimal digits are unique
  // enough.
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string text;
  std::getline(file, text);
  std::erase(text, '-');
  text.resize(std::min<std::size_t>(text.size(), 16));
  std::from_chars(text.data(), text.data() + text.size(), boot_id_, 16);
}

SystemClock::SystemClock(const Timestamp& reference) : SystemClock() {
  const Timestamp now = CurrentTimestamp();
  if (reference.boot_id == 0 || reference.boot_id != now.boot_id) return;
  wall_start_ += reference.wall_time + (now.steady_time - reference.steady_time) - now.wall_time;
}

SystemClock::ClockCorrection SystemClock::ContinueFrom(const Timestamp& last) {
  const Timestamp now = CurrentTimestamp();
  ClockCorrection correction;
  correction.is_measured =
      last.boot_id != 0 && last.boot_id == now.boot_id && last.steady_time <= now.steady_time;
  const Duration elapsed = correction.is_measured ? now.steady_time - last.steady_time : Duration(0);
  const Duration amount = last.wall_time + elapsed - now.wall_time;
  const bool is_step =
      correction.is_measured ? std::chrono::abs(amount) > kMaxClockDrift : amount > Duration(0);
  if (!is_step) return {};
  correction.amount = amount;
  wall_start_ += amount;
  return correction;
}

Timestamp SystemClock::CurrentTimestamp() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return {Now(), std::chrono::duration_cast<Duration>(steady), boot_id_};
}

}  // namespace sagetally
