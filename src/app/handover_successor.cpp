#include "app/handover_successor.h"

#include <utility>

#include "app/handover_timing.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// Time limit for the new process to begin, from the moment at which it is allowed to.
constexpr Duration kBeginTimeout = milliseconds(1500);
// How long a handover may wait until records are on the disk and their clients have their responses.
constexpr Duration kSettleTimeout = milliseconds(500);
// Time between two checks of that.
constexpr Duration kSettleInterval = milliseconds(2);

std::int64_t MillisecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start).count();
}

}  // namespace

Successor::Successor(EventLoop& loop, Logger& log, const Config& config, Callbacks callbacks)
    : log_(log),
      node_name_(config.name),
      callbacks_(std::move(callbacks)),
      loop_(loop),
      settle_timer_(loop, [this] { OfferOnceSettled(); }),
      hello_timeout_(loop, [this] { channel_.Close(); }),
      listener_(std::make_unique<HandoverListener>(
          loop, config.state_folder, kHandoverSocketName,
          [this](HandoverChannel channel) { OnConnected(std::move(channel)); })) {}

void Successor::OnConnected(HandoverChannel channel) {
  if (channel_.is_open()) {  // there is one handover at a time; the other process connects again
    channel.Close();
    return;
  }
  channel_ = std::move(channel);
  hello_timeout_.Schedule(kHandoverAnswerTimeout);
  channel_.StartReceiving(
      loop_, [this](const Packet& packet) { OnHello(packet); }, [] {});
}

void Successor::OnHello(const Packet& packet) {
  const std::optional<std::string> reason = RejectionReason(packet);
  hello_timeout_.Stop();
  if (reason) return Reject(*reason);
  hello_received_at_ = std::chrono::steady_clock::now();
  settle_timer_.Schedule(Duration(0));  // the offer must not be made from within the channel's callback
}

std::optional<std::string> Successor::RejectionReason(const Packet& packet) const {
  const std::optional<HandoverHello> hello = DecodeHello(packet.bytes);
  if (KindOf(packet) != HandoverPacketKind::kHello || !hello || hello->version != kHandoverVersion) {
    return "another version of the handover";
  }
  if (std::optional<std::string> reason = callbacks_.rejection_reason()) return reason;
  if (hello->node_name != node_name_) return "this is " + node_name_ + ", not " + hello->node_name;
  return std::nullopt;
}

void Successor::Reject(const std::string& reason) {
  log_.Warn("handover.rejected", {{"why", reason}});
  SendPacket(channel_, HandoverPacketKind::kRejection, reason);
  channel_.Close();
}

void Successor::OfferOnceSettled() {
  if (!channel_.is_open()) return;
  if (callbacks_.is_settled()) return HandOver();
  if (std::chrono::steady_clock::now() - hello_received_at_ < kSettleTimeout) {
    return settle_timer_.Schedule(kSettleInterval);
  }
  Reject("records wait for the disk");
}

void Successor::HandOver() {
  const auto started_at = std::chrono::steady_clock::now();
  const HandoverOffer offer = callbacks_.make_offer();
  SendOffer(offer);
  if (!WaitUntilBegun()) return;
  listener_.reset();
  log_.Info("handover.completed",
            {{"clients", offer.platform_clients.size() + offer.cloudevents_clients.size()},
             {"calls_in_flight", offer.state.in_flight_calls.size()},
             {"paused_ms", MillisecondsSince(started_at)}});
  channel_.StartReceiving(
      loop_, [this](const Packet& packet) { OnCancellation(packet); }, [] {});
  callbacks_.on_handed_over();
}

void Successor::SendOffer(const HandoverOffer& offer) {
  SendPacket(channel_, HandoverPacketKind::kState, EncodeHandoverState(offer.state));
  SendPacket(channel_, HandoverPacketKind::kJournalLock, {}, offer.journal_lock);
  if (offer.platform_listener >= 0) {
    SendPacket(channel_, HandoverPacketKind::kPlatformListener, {}, offer.platform_listener);
  }
  if (offer.cloudevents_listener >= 0) {
    SendPacket(channel_, HandoverPacketKind::kCloudEventsListener, {}, offer.cloudevents_listener);
  }
  if (offer.gossip_socket >= 0) {
    SendPacket(channel_, HandoverPacketKind::kGossipSocket, {}, offer.gossip_socket);
  }
  SendClients(HandoverPacketKind::kPlatformClient, offer.platform_clients);
  SendClients(HandoverPacketKind::kCloudEventsClient, offer.cloudevents_clients);
  SendPacket(channel_, HandoverPacketKind::kOfferComplete);
}

void Successor::SendClients(HandoverPacketKind kind,
                            const std::vector<HttpServer::ClientToTransfer>& clients) {
  for (const HttpServer::ClientToTransfer& client : clients) {
    SendPacket(channel_, kind, EncodeClient(client), client.fd);
  }
}

// Returns whether the new process has begun. Before it is allowed to begin, this process can continue to
// serve as if nothing had happened.
bool Successor::WaitUntilBegun() {
  const std::optional<Packet> answer = channel_.Receive(kHandoverReadyTimeout);
  const bool is_ready = answer && KindOf(*answer) == HandoverPacketKind::kReady;
  if (!is_ready || !SendPacket(channel_, HandoverPacketKind::kBegin)) {
    log_.Warn("handover.aborted", {{"why", answer ? "the new process sent an unexpected packet"
                                                  : "the new process did not answer"}});
    channel_.Close();
    return false;
  }
  // After a timeout the new process counts as begun while its connection is open. It has been allowed to
  // begin, so it may still do so at any time.
  if (channel_.Receive(kBeginTimeout) || channel_.is_open()) return true;
  if (callbacks_.reclaim_journal()) {
    log_.Warn("handover.aborted", {{"why", "the new process died"}});
    return false;
  }
  listener_.reset();
  callbacks_.on_journal_lost();
  return false;
}

void Successor::OnCancellation(const Packet& packet) {
  const std::uint64_t number = DecodeCallNumber(packet.bytes);
  if (KindOf(packet) == HandoverPacketKind::kCancelCall) callbacks_.cancel_call(number);
  if (KindOf(packet) == HandoverPacketKind::kCancelCallIfUnsent) callbacks_.cancel_call_if_unsent(number);
}

}  // namespace sagetally
