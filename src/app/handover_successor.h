// The old process's end of a handover: listens for a new process, offers it all that this one has, and
// reports the calls that were still in flight. Everything happens on the loop's thread; from the offer until
// the new process has begun it blocks, for 2.2 s at most. docs/design/operations.md gives the order of the
// packets.
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

// What the old process passes on. It keeps its descriptors; -1: there is none.
struct HandoverOffer {
  HandoverState state;
  int journal_lock = -1;
  int platform_listener = -1;
  int cloudevents_listener = -1;
  int gossip_socket = -1;
  std::vector<HttpServer::ClientToTransfer> platform_clients;
  std::vector<HttpServer::ClientToTransfer> cloudevents_clients;
};

class Successor {
 public:
  struct Callbacks {
    // Whether nothing waits for the journal or for an answer any more. Asked every 2 ms, for half a second at
    // most.
    std::function<bool()> is_settled;
    // Why there can't be a handover now; none: there can.
    std::function<std::optional<std::string>()> rejection_reason;
    // Called right after is_settled was true.
    std::function<HandoverOffer()> make_offer;
    // The new process has died after it was allowed to begin: whether this one can go on with the journal.
    std::function<bool()> reclaim_journal;
    // The new process serves; this one must not serve or write any more.
    std::function<void()> on_handed_over;
    // The new process has died, and the journal can't be reclaimed.
    std::function<void()> on_journal_lost;
    // After on_handed_over, for calls that are still in flight here, by their number.
    std::function<void(std::uint64_t)> cancel_call;
    std::function<void(std::uint64_t)> cancel_call_if_unsent;
  };
  // Throws std::runtime_error if it can't listen in the state folder.
  Successor(EventLoop& loop, Logger& log, const Config& config, Callbacks callbacks);

  // After on_handed_over: reports the outcome of a call that had stayed with this process.
  void Report(const CallResult& result) {
    SendPacket(channel_, HandoverPacketKind::kCallResult, EncodeCallResult(result));
  }

 private:
  void OnConnected(HandoverChannel channel);
  void OnHello(const Packet& packet);
  std::optional<std::string> RejectionReason(const Packet& hello) const;
  void Reject(const std::string& reason);
  void OfferOnceSettled();
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
  Timer settle_timer_;
  Timer hello_timeout_;
  std::chrono::steady_clock::time_point hello_received_at_{};
  std::unique_ptr<HandoverListener> listener_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_SUCCESSOR_H_
