#include "app/memory_control.h"

#include "base/process_memory.h"

namespace sagetally {
namespace {

// Memory is returned this long after much was released, so that a burst's memory is returned once.
constexpr Duration kReturnDelay = std::chrono::milliseconds(500);
constexpr auto kLogInterval = std::chrono::seconds(1);

}  // namespace

MemoryControl::MemoryControl(EventLoop& loop, Logger& log, std::size_t memory_limit_bytes)
    : log_(log),
      limits_(DivideMemory(memory_limit_bytes)),
      clients_(limits_.client_bytes),
      return_timer_(loop, [] { ReturnFreeMemory(); }) {
  clients_.on_full = [this] { OnClientShareFull(); };
  ReturnMemoryOf(clients_.account());
}

void MemoryControl::ReturnMemoryOf(MemoryAccount& account) {
  account.on_released = [this] {
    if (!return_timer_.is_pending()) return_timer_.Schedule(kReturnDelay);
  };
}

void MemoryControl::OnClientShareFull() {
  const auto now = std::chrono::steady_clock::now();
  if (now < logged_at_ + kLogInterval) return;
  logged_at_ = now;
  const MemoryAccount& account = clients_.account();
  log_.Warn("memory.share_full", {{"consumer", "clients"},
                                  {"used", account.used()},
                                  {"limit", account.limit()},
                                  {"resident", ResidentBytes()}});
}

}  // namespace sagetally
