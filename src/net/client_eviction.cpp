#include "net/client_eviction.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace sagetally {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;

// Clients that connect to send a request send it at once. A connection that has sent nothing for longer than
// this gives way first.
constexpr auto kFirstBytesTimeout = std::chrono::milliseconds(100);
// A connection within its first request that was silent for less than this is about to complete it.
constexpr auto kMinSilence = std::chrono::milliseconds(40);

// A client that is idle for longer than this does not use its connection all the time.
constexpr auto kLongIdleTime = std::chrono::milliseconds(500);

// A client that has not taken its last response for this long does not read.
constexpr auto kLastResponseTimeout = std::chrono::milliseconds(200);

enum class Rank {
  kNeverUsed,
  kClosing,
  kLongIdle,
  kInFirstRequest,
  kIdle,
  kAboutToComplete,  // the first request
  kInLaterRequest
};

struct Candidate {
  Rank rank = Rank::kNeverUsed;
  TimePoint last_received_at;
  ServerConnection* client = nullptr;
};

// Whether `one` gives way after `other`.
bool IsAfter(const Candidate& one, const Candidate& other) {
  return std::tie(one.rank, one.last_received_at) > std::tie(other.rank, other.last_received_at);
}

Rank RankOf(const ServerConnection& client, TimePoint now) {
  if (client.IsAwaitingFirstRequest() && client.last_received_at() + kFirstBytesTimeout < now) {
    return Rank::kNeverUsed;
  }
  if (client.is_closing()) return Rank::kClosing;
  if (client.IsIdle()) {
    return client.last_received_at() + kLongIdleTime < now ? Rank::kLongIdle : Rank::kIdle;
  }
  if (client.has_sent_requests()) return Rank::kInLaterRequest;
  const bool is_silent = client.last_received_at() + kMinSilence < now;
  return is_silent ? Rank::kInFirstRequest : Rank::kAboutToComplete;
}

bool MayGiveWay(const ServerConnection& client, TimePoint now) {
  if (client.HasNoPendingResponse()) return true;
  return client.is_closing() && client.open_exchange() == nullptr &&
         client.idle_since() + kLastResponseTimeout < now;
}

// The candidates without regard to unread bytes, as a heap with the first one on top.
std::vector<Candidate> FindCandidates(const ClientMap& clients, TimePoint now) {
  std::vector<Candidate> candidates;
  candidates.reserve(clients.size());
  for (const auto& [client, owned] : clients) {
    if (!MayGiveWay(*client, now)) continue;
    candidates.push_back({RankOf(*client, now), client->last_received_at(), client});
  }
  std::ranges::make_heap(candidates, IsAfter);
  return candidates;
}

}  // namespace

// A first request whose rest may be in the socket gives way after those that are silent, and before idle
// connections: it is answered with 503, so that its client may send it again.
ServerConnection* FindClientToEvict(const ClientMap& clients, TimePoint now) {
  std::vector<Candidate> candidates = FindCandidates(clients, now);
  ServerConnection* with_unread_bytes = nullptr;
  while (!candidates.empty()) {
    std::ranges::pop_heap(candidates, IsAfter);
    const Candidate candidate = candidates.back();
    candidates.pop_back();
    if (candidate.rank > Rank::kInFirstRequest && with_unread_bytes != nullptr) break;
    if (candidate.rank == Rank::kClosing || !candidate.client->HasUnreadBytes()) return candidate.client;
    const bool is_answered =
        candidate.rank == Rank::kInFirstRequest && candidate.client->is_reading_request();
    if (is_answered && with_unread_bytes == nullptr) with_unread_bytes = candidate.client;
  }
  return with_unread_bytes;
}

bool ShouldWaitForPlace(const ClientMap& clients, TimePoint now) {
  bool is_any_about_to_complete = false;
  for (const auto& [client, owned] : clients) {
    if (!MayGiveWay(*client, now)) continue;
    const Rank rank = RankOf(*client, now);
    if (rank < Rank::kIdle) return false;
    is_any_about_to_complete |= rank == Rank::kAboutToComplete;
  }
  return is_any_about_to_complete;
}

void EndBusiestClients(const ClientMap& clients) {
  static constexpr std::size_t kMaxEnding = 32;
  std::vector<ServerConnection*> busiest;
  std::size_t ending = 0;
  for (const auto& [client, owned] : clients) {
    if (client->is_closing()) continue;
    if (client->gives_way()) {
      ++ending;
    } else if (client->has_sent_requests()) {
      busiest.push_back(client);
    }
  }
  std::ranges::sort(busiest, std::ranges::greater(), &ServerConnection::request_count);
  for (ServerConnection* client : busiest) {
    if (ending++ >= kMaxEnding) return;
    client->GiveWayAfterResponse();
  }
}

MemoryEviction FindClientToEvictForMemory(const ClientMap& clients, TimePoint now) {
  // A request on a connection that has carried others counts less, by this factor.
  constexpr double kLaterRequestWeight = 0.01;
  MemoryEviction best;
  for (const auto& [client, owned] : clients) {
    if (!client->HasNoPendingResponse() || !client->is_reading_request()) continue;
    const double age_ms = std::chrono::duration<double, std::milli>(now - client->idle_since()).count() + 1;
    const double weight = client->has_sent_requests() ? kLaterRequestWeight : 1;
    const double gain = static_cast<double>(client->held_bytes()) * age_ms * weight;
    if (gain > best.gain) best = {client, gain};
  }
  return best;
}

}  // namespace sagetally
