#include "app/handover_predecessor.h"

#include <cerrno>
#include <thread>
#include <utility>

#include "app/handover_timing.h"
#include "journal/file_system/posix_file_system.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// How long to wait for a process that holds the state folder and makes no offer.
constexpr Duration kSearchTimeout = milliseconds(4000);
// Time between two attempts to reach that process.
constexpr Duration kSearchInterval = milliseconds(50);
// Delay before the calls of an old process that has exited count as failed. The endpoint must have seen the
// end of such a call before the call's slot is used again.
constexpr Duration kAbandonedCallDelay = milliseconds(10);

bool IsJournalHeldByAnotherProcess(const std::string& state_folder) {
  PosixFileSystem files;
  int error = 0;
  const auto lock = files.Lock(state_folder + "/journal/lock", error);
  return error == EWOULDBLOCK;
}

}  // namespace

std::unique_ptr<Predecessor> Predecessor::Find(const Config& config) {
  std::string postponement;
  const auto give_up_at = std::chrono::steady_clock::now() + kSearchTimeout;
  while (true) {
    auto predecessor = std::make_unique<Predecessor>();
    HandoverChannel& channel = predecessor->channel_;
    channel = HandoverChannel::Connect(config.state_folder, kHandoverSocketName);
    if (channel.is_open()) {
      if (SendPacket(channel, HandoverPacketKind::kHello, EncodeHello(config.name)) &&
          predecessor->ReceiveOffer()) {
        return predecessor;
      }
      postponement = predecessor->postponement_;
    } else if (!IsJournalHeldByAnotherProcess(config.state_folder)) {
      return nullptr;
    }
    if (std::chrono::steady_clock::now() >= give_up_at) {
      if (!postponement.empty()) throw HandoverRejected(postponement);
      return nullptr;  // when the caller opens the journal, it gets an error that names the process holding
                       // it
    }
    std::this_thread::sleep_for(kSearchInterval);
  }
}

bool Predecessor::ReceiveOffer() {
  while (std::optional<Packet> packet = channel_.Receive(kHandoverAnswerTimeout)) {
    if (KindOf(*packet) == HandoverPacketKind::kOfferComplete) return received_.journal_lock.get() >= 0;
    StoreOfferPacket(std::move(*packet));
  }
  return false;
}

void Predecessor::StoreOfferPacket(Packet packet) {
  switch (KindOf(packet)) {
    case HandoverPacketKind::kRejection:
      throw HandoverRejected(packet.bytes);
    case HandoverPacketKind::kPostponement:
      postponement_ = packet.bytes;
      break;
    case HandoverPacketKind::kState: {
      std::optional<HandoverState> state = DecodeHandoverState(packet.bytes);
      if (!state) {
        throw HandoverFormatError("the handover state of the process that serves can't be decoded");
      }
      received_.state = std::move(*state);
      break;
    }
    case HandoverPacketKind::kJournalLock:
      received_.journal_lock = std::move(packet.fd);
      break;
    case HandoverPacketKind::kPlatformListener:
      received_.platform_listener = std::move(packet.fd);
      break;
    case HandoverPacketKind::kCloudEventsListener:
      received_.cloudevents_listener = std::move(packet.fd);
      break;
    case HandoverPacketKind::kGossipSocket:
      received_.gossip_socket = std::move(packet.fd);
      break;
    case HandoverPacketKind::kPlatformClient:
      received_.platform_clients.push_back(DecodeClient(packet));
      break;
    case HandoverPacketKind::kCloudEventsClient:
      received_.cloudevents_clients.push_back(DecodeClient(packet));
      break;
    default:
      break;  // a later version has added this kind
  }
}

void Predecessor::ConfirmReady() {
  SendPacket(channel_, HandoverPacketKind::kReady);
  const std::optional<Packet> answer = channel_.Receive(kHandoverReadyTimeout);
  if (!answer || KindOf(*answer) != HandoverPacketKind::kBegin) {
    throw HandoverAborted("the process that serves aborted the handover");
  }
}

void Predecessor::TrackCalls(EventLoop& loop, std::set<std::uint64_t> calls,
                             std::function<void(const CallResult&)> on_result) {
  calls_in_flight_ = std::move(calls);
  on_result_ = std::move(on_result);
  channel_closed_timer_ = std::make_unique<Timer>(loop, [this] { FailRemainingCalls(); });
  channel_.StartReceiving(
      loop, [this](const Packet& packet) { OnPacket(packet); },
      [this] { channel_closed_timer_->Schedule(kAbandonedCallDelay); });
}

void Predecessor::OnPacket(const Packet& packet) {
  if (KindOf(packet) != HandoverPacketKind::kCallResult) return;
  const std::optional<CallResult> result = DecodeCallResult(packet.bytes);
  if (result && calls_in_flight_.erase(result->message_number) > 0) on_result_(*result);
}

void Predecessor::FailRemainingCalls() {
  for (const std::uint64_t number : std::exchange(calls_in_flight_, {})) {
    CallResult result;
    result.message_number = number;
    result.outcome = Outcome::kReset;
    on_result_(result);
  }
}

bool Predecessor::CancelCall(std::uint64_t number) {
  return SendCancellation(HandoverPacketKind::kCancelCall, number);
}

bool Predecessor::CancelCallIfUnsent(std::uint64_t number) {
  return SendCancellation(HandoverPacketKind::kCancelCallIfUnsent, number);
}

bool Predecessor::SendCancellation(HandoverPacketKind kind, std::uint64_t number) {
  if (!calls_in_flight_.contains(number)) return false;
  SendPacket(channel_, kind, EncodeCallNumber(number));
  return true;
}

}  // namespace sagetally
