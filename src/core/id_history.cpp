#include "core/id_history.h"

#include <xxhash.h>

#include <algorithm>

namespace sagetally {
namespace {

std::int64_t ExpirySecond(Time time) { return std::chrono::floor<std::chrono::seconds>(time).count(); }

}  // namespace

std::uint64_t IdHistory::HashOf(const Request& request) const {
  const std::uint64_t seed = key_ + static_cast<std::uint64_t>(request.protocol);
  return XXH3_64bits_withSeed(request.id.data(), request.id.size(), seed);
}

void IdHistory::Add(const Request& request, SubmissionOutcome outcome, Time now, Time deadline) {
  RemoveExpired(now);
  RememberedId id;
  id.hash = HashOf(request);
  id.remembered_at = now;
  id.expires_at = std::min(std::max(now, deadline) + kMaxRequestDelay, now + kMaxRetention);
  id.outcome = outcome;
  Insert(id);
  while (!unsaved_.empty() && unsaved_.front().expires_at <= now) unsaved_.pop_front();
  unsaved_.push_back(id);
}

void IdHistory::Restore(const RememberedId& id, Time now) {
  if (id.expires_at > now) Insert(id);
}

void IdHistory::Insert(const RememberedId& id) {
  if (ids_.size() >= max_ids_ && !ids_.contains(id.hash)) RemoveEarliest(id.remembered_at - kMinRetention);
  ids_[id.hash] = {id.remembered_at, id.expires_at, id.outcome};
  hashes_by_expiry_[ExpirySecond(id.expires_at)].push_back(id.hash);
}

void IdHistory::Forget(const Request& request) { ids_.erase(HashOf(request)); }

std::optional<RememberedId> IdHistory::Find(const Request& request, Time now) {
  RemoveExpired(now);
  const auto found = ids_.find(HashOf(request));
  if (found == ids_.end() || found->second.expires_at <= now) return std::nullopt;
  const Entry& entry = found->second;
  return RememberedId{found->first, entry.remembered_at, entry.expires_at, entry.outcome};
}

bool IdHistory::IsFull(Time now) {
  RemoveExpired(now);
  return ids_.size() >= max_ids_ && !RemoveEarliest(now - kMinRetention);
}

void IdHistory::RemoveExpired(Time now) {
  const std::int64_t current_second = ExpirySecond(now);
  while (!hashes_by_expiry_.empty() && hashes_by_expiry_.begin()->first < current_second) {
    for (const std::uint64_t hash : hashes_by_expiry_.begin()->second) {
      const auto found = ids_.find(hash);
      if (found != ids_.end() && found->second.expires_at <= now) ids_.erase(found);
    }
    hashes_by_expiry_.erase(hashes_by_expiry_.begin());
  }
}

// Removes one of the ids that expire first. Returns false if that was remembered at `remembered_before` or
// later.
bool IdHistory::RemoveEarliest(Time remembered_before) {
  while (!hashes_by_expiry_.empty()) {
    std::vector<std::uint64_t>& hashes = hashes_by_expiry_.begin()->second;
    while (!hashes.empty()) {
      const auto found = ids_.find(hashes.back());
      const bool is_current =
          found != ids_.end() && ExpirySecond(found->second.expires_at) == hashes_by_expiry_.begin()->first;
      if (is_current && found->second.remembered_at >= remembered_before) return false;
      hashes.pop_back();
      if (!is_current) continue;
      ids_.erase(found);
      return true;
    }
    hashes_by_expiry_.erase(hashes_by_expiry_.begin());
  }
  return false;
}

}  // namespace sagetally
