#include "net/client_memory.h"

namespace sagetally {

void ClientMemory::Update(std::size_t old_bytes, std::size_t new_bytes) {
  account_.Remove(old_bytes);
  account_.Add(new_bytes);
  if (new_bytes > old_bytes && account_.IsExceeded() && !is_reclaiming_) Reclaim();
}

// A closed connection reports that it holds nothing any more, so each eviction ends in another Update().
void ClientMemory::Reclaim() {
  if (on_full) on_full();
  is_reclaiming_ = true;
  while (account_.IsExceeded()) {
    ClientMemoryHolder* const holder = FindHolderToEvict();
    if (holder == nullptr) break;
    holder->EvictForMemory();
  }
  is_reclaiming_ = false;
}

ClientMemoryHolder* ClientMemory::FindHolderToEvict() const {
  ClientMemoryHolder* best = nullptr;
  double best_gain = 0;
  for (ClientMemoryHolder* holder : holders_) {
    const double gain = holder->EvictionGain();
    if (gain <= best_gain) continue;
    best = holder;
    best_gain = gain;
  }
  return best;
}

}  // namespace sagetally
