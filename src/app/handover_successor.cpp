#include "app/handover_successor.h"

#include <array>
#include <utility>

#include "app/handover_timing.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// Time limit for the new process to begin, from the moment at which it is allowed to.
constexpr Duration kBeginTimeout = milliseconds(1500);
// How long each pause may last in which the handover waits until records are on the disk and their clients
// have their responses. Clients wait 400 ms for a response, those whose requests arrive in the pause
// included.
constexpr std::array<Duration, 2> kPauseLimits = {milliseconds(150), milliseconds(300)};
// Time between two checks of that.
constexpr Duration kSettleInterval = milliseconds(2);
// How long a pause waits for clients that do not read their responses.
constexpr Duration kUnreadResponseTimeout = milliseconds(50);
// Time between two pauses, in which clients are served.
constexpr Duration kPauseInterval = milliseconds(200);

std::int64_t MillisecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start).count();
}

std::string Describe(const HandoverObstacles& obstacles) {
  std::string text;
  const auto add = [&text](std::size_t count, const char* what) {
    if (count > 0) text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + what;
  };
  add(obstacles.open_requests, "requests without a response");
  add(obstacles.unread_responses, "clients that do not read their responses");
  add(obstacles.waiting_submissions, "submissions that wait for the journal");
  add(obstacles.waiting_attempts, "attempts that wait for the journal");
  add(obstacles.waiting_completions, "completions that wait for the journal");
  add(obstacles.ended_calls, "calls of messages that have ended");
  return text;
}

}  // namespace

Successor::Successor(EventLoop& loop, Logger& log, const Config& config, Callbacks callbacks)
    : log_(log),
      node_name_(config.name),
      callbacks_(std::move(callbacks)),
      loop_(loop),
      pause_timer_(loop, [this] { BeginPause(); }),
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
  // A process that connected before may have gone amid a pause.
  settle_timer_.Stop();
  pause_timer_.Stop();
  callbacks_.resume_clients();
  channel_ = std::move(channel);
  hello_timeout_.Schedule(kHandoverAnswerTimeout);
  channel_.StartReceiving(
      loop_, [this](const Packet& packet) { OnHello(packet); }, [] {});
}

void Successor::OnHello(const Packet& packet) {
  const std::optional<std::string> reason = RejectionReason(packet);
  hello_timeout_.Stop();
  if (reason) return Reject(*reason);
  pauses_ = 0;
  pause_timer_.Schedule(Duration(0));  // the offer must not be made from within the channel's callback
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

// A client that always has a request under way would keep the moment from coming in which every request is
// answered, so this process stops reading further ones.
void Successor::BeginPause() {
  if (!channel_.is_open()) return;
  paused_at_ = std::chrono::steady_clock::now();
  callbacks_.pause_clients();
  OfferOnceSettled();
}

void Successor::OfferOnceSettled() {
  if (!channel_.is_open()) return callbacks_.resume_clients();
  const HandoverObstacles obstacles = callbacks_.find_obstacles();
  const auto paused_for = std::chrono::steady_clock::now() - paused_at_;
  const bool may_ignore_unread_responses = paused_for >= kUnreadResponseTimeout;
  if (obstacles.IsEmpty() || (may_ignore_unread_responses && obstacles.AreOnlyUnreadResponses())) {
    return HandOver();
  }
  if (paused_for < kPauseLimits.at(pauses_)) return settle_timer_.Schedule(kSettleInterval);
  Postpone(obstacles);
}

// Serves on, and tries again later. After the last pause the new process has to connect again.
void Successor::Postpone(const HandoverObstacles& obstacles) {
  callbacks_.resume_clients();
  log_.Warn("handover.postponed", {{"open_requests", obstacles.open_requests},
                                   {"unread_responses", obstacles.unread_responses},
                                   {"waiting_submissions", obstacles.waiting_submissions},
                                   {"waiting_attempts", obstacles.waiting_attempts},
                                   {"waiting_completions", obstacles.waiting_completions},
                                   {"ended_calls", obstacles.ended_calls},
                                   {"paused_ms", MillisecondsSince(paused_at_)}});
  if (++pauses_ < kPauseLimits.size()) return pause_timer_.Schedule(kPauseInterval);
  SendPacket(channel_, HandoverPacketKind::kPostponement, Describe(obstacles));
  channel_.Close();
}

void Successor::HandOver() {
  const auto started_at = std::chrono::steady_clock::now();
  const HandoverOffer offer = callbacks_.make_offer();
  SendOffer(offer);
  if (!WaitUntilBegun()) return callbacks_.resume_clients();
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
