// The old process's side of a handover: listens for a new process, offers it the state and the descriptors of
// this one, and reports the results of the calls that were in flight. Owned by the Dispatcher; used on the
// event loop's thread only. That thread is blocked from the offer until the new process has begun to serve,
// and waits 2.2 s at most for that process. The order of the packets is described in
// docs/design/operations.md.
#ifndef SAGETALLY_SRC_APP_HANDOVER_SUCCESSOR_H_
#define SAGETALLY_SRC_APP_HANDOVER_SUCCESSOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/handover_packets.h"
#include "config/config.h"
#include "handover/handover_state.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/handover_channel.h"
#include "net/http_server.h"

namespace sagetally {

// What the old process offers. It still owns the descriptors; -1 means that there is none.
struct HandoverOffer {
  HandoverState state;
  int journal_lock = -1;
  int platform_listener = -1;
  int cloudevents_listener = -1;
  int gossip_socket = -1;
  std::vector<HttpServer::ClientToTransfer> platform_clients;
  std::vector<HttpServer::ClientToTransfer> cloudevents_clients;
};

// What keeps a process from being handed over at a moment, as counts.
struct HandoverObstacles {
  std::size_t open_requests = 0;        // of clients, without a response
  std::size_t unread_responses = 0;     // connections on which a response is not written yet
  std::size_t waiting_submissions = 0;  // whose records are not durable, or that the policy has yet to see
  std::size_t waiting_attempts = 0;     // the same
  std::size_t waiting_completions = 0;  // the same
  std::size_t ended_calls = 0;          // calls in flight of messages that have completed

  bool IsEmpty() const { return unread_responses == 0 && AreOnlyUnreadResponses(); }
  // Returns whether there are none but clients that have yet to read their responses.
  bool AreOnlyUnreadResponses() const {
    return open_requests + waiting_submissions + waiting_attempts + waiting_completions + ended_calls == 0;
  }
};

// Listens for the new process, and holds the connection to it.
class Successor {
 public:
  // The functions of the Dispatcher that the handover uses. All must be set.
  struct Callbacks {
    // Pauses and resumes the reading of clients' requests. The handover waits, in a pause, until those that
    // were read are answered.
    std::function<void()> pause_clients;
    std::function<void()> resume_clients;
    // Returns what keeps this process from being handed over. Polled every 2 ms during a pause.
    std::function<HandoverObstacles()> find_obstacles;
    // Returns the reason why there can't be a handover now, or nothing if there can.
    std::function<std::optional<std::string>()> rejection_reason;
    // Returns the offer. Called right after find_obstacles.
    std::function<HandoverOffer()> make_offer;
    // Called if the new process has died after it was allowed to begin. Returns whether this process can
    // continue with the journal.
    std::function<bool()> reclaim_journal;
    // Called once the new process serves. This process must not serve, nor write to the journal, any more.
    std::function<void()> on_handed_over;
    // Called if the new process has died and the journal can't be reclaimed.
    std::function<void()> on_journal_lost;
    // Cancel a call that is in flight in this process, given its number. Called after on_handed_over only.
    std::function<void(std::uint64_t)> cancel_call;
    std::function<void(std::uint64_t)> cancel_call_if_unsent;
  };
  // Starts to listen. `loop` and `log` must outlive this object. Throws std::runtime_error if it can't listen
  // in the state folder.
  Successor(EventLoop& loop, Logger& log, const Config& config, Callbacks callbacks);

  // Reports to the new process the result of a call that was in flight in this one. Called after
  // on_handed_over only.
  void ReportCallResult(const CallResult& result) {
    SendPacket(channel_, HandoverPacketKind::kCallResult, EncodeCallResult(result));
  }

 private:
  void OnConnected(HandoverChannel channel);
  void OnHello(const Packet& packet);
  std::optional<std::string> RejectionReason(const Packet& hello) const;
  void Reject(const std::string& reason);
  void BeginPause();
  void OfferOnceSettled();
  void Postpone(const HandoverObstacles& obstacles);
  void HandOver();
  void SendOffer(const HandoverOffer& offer);
  void SendClients(HandoverPacketKind kind, const std::vector<HttpServer::ClientToTransfer>& clients);
  bool WaitUntilBegun();
  void OnCancellation(const Packet& packet);

  Logger& log_;
  const std::string node_name_;
  const Callbacks callbacks_;
  EventLoop& loop_;
  HandoverChannel channel_;
  Timer pause_timer_;
  Timer settle_timer_;
  Timer hello_timeout_;
  std::size_t pauses_ = 0;  // since the hello
  std::chrono::steady_clock::time_point paused_at_{};
  std::unique_ptr<HandoverListener> listener_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_SUCCESSOR_H_
