#include "time/clock.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <string>

namespace sagetally {

SystemClock::SystemClock() {
  // The kernel's own name for this start of the machine: 16 of its hexadecimal digits.
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string text;
  std::getline(file, text);
  std::erase(text, '-');
  text.resize(std::min<std::size_t>(text.size(), 16));
  std::from_chars(text.data(), text.data() + text.size(), boot_, 16);
}

SystemClock::SystemClock(const Moment& of) : SystemClock() {
  const Moment now = Stamp();
  if (of.boot != 0 && of.boot == now.boot) wall_ += of.wall + (now.steady - of.steady) - now.wall;
}

SystemClock::Carried SystemClock::CarryOn(const Moment& last) {
  const Moment now = Stamp();
  if (last.wall <= now.wall) return {};
  Carried carried;
  carried.measured = last.boot != 0 && last.boot == now.boot && last.steady <= now.steady;
  carried.by = last.wall - now.wall + (carried.measured ? now.steady - last.steady : Duration(0));
  wall_ += carried.by;
  return carried;
}

Moment SystemClock::Stamp() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return {Now(), std::chrono::duration_cast<Duration>(steady), boot_};
}

}  // namespace sagetally
