// The new process's side of a handover: finds the process that serves, receives its offer, and sends it
// cancellations of the calls that it still has in flight. Find() and ConfirmReady() are called before the
// event loop runs, and block. Everything else happens on the loop's thread. Owned by the Dispatcher. The
// order of the packets is described in docs/design/operations.md.
#ifndef SAGETALLY_SRC_APP_HANDOVER_PREDECESSOR_H_
#define SAGETALLY_SRC_APP_HANDOVER_PREDECESSOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "app/handover_packets.h"
#include "config/config.h"
#include "handover/handover_state.h"
#include "net/event_loop.h"
#include "net/handover_channel.h"
#include "net/http_server.h"

namespace sagetally {

// The old process continues to serve, or has died. The handover must be retried from the beginning.
struct HandoverAborted : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The old process has rejected the handover. `reason` is the text that it sent.
struct HandoverRejected : std::runtime_error {
  explicit HandoverRejected(std::string rejection)
      : std::runtime_error("the process that serves does not hand over: " + rejection),
        reason(std::move(rejection)) {}
  std::string reason;
};

// The old process has sent a state that this version can't decode.
struct HandoverFormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The offer of the old process. Descriptors and clients are moved out by the code that uses them; a
// descriptor that was not offered is empty.
struct ReceivedHandover {
  HandoverState state;
  FileDescriptor journal_lock;
  FileDescriptor platform_listener;
  FileDescriptor cloudevents_listener;
  FileDescriptor gossip_socket;
  std::vector<HttpServer::TransferredClient> platform_clients;
  std::vector<HttpServer::TransferredClient> cloudevents_clients;
};

// The connection to the old process.
class Predecessor {
 public:
  // Finds the process that serves from this state folder, and receives its offer. Returns null if there is no
  // such process. Tries again for up to 4 s while a process holds the folder and makes no offer, because that
  // process may be shutting down or may not be ready yet, or may have work that it must end first. Throws
  // HandoverRejected or HandoverFormatError.
  static std::unique_ptr<Predecessor> Find(const Config& config);

  // The offer that Find() has received.
  ReceivedHandover& received() { return received_; }

  // Waits for the permission to write to the journal. Must be called after the journal has been read and
  // before it is written to. Throws HandoverAborted if no permission arrives.
  void ConfirmReady();
  // Makes the old process stop serving. Must be called after the journal's next epoch has begun.
  void NotifyBegun() { SendPacket(channel_, HandoverPacketKind::kBegun); }

  // Tracks `calls`, the numbers of the calls that are in flight in the old process. `on_result` is called
  // once for each. The outcome is kReset if the old process exits before it has reported the call's result,
  // because the call may have run.
  void TrackCalls(EventLoop& loop, std::set<std::uint64_t> calls,
                  std::function<void(const CallResult&)> on_result);
  // Both ask the old process to cancel a call, and return false if the call is not in flight there.
  bool CancelCall(std::uint64_t number);
  bool CancelCallIfUnsent(std::uint64_t number);
  // Returns whether a result of the old process is pending.
  bool has_calls_in_flight() const { return !calls_in_flight_.empty(); }

 private:
  bool ReceiveOffer();
  void StoreOfferPacket(Packet packet);
  void OnPacket(const Packet& packet);
  void FailRemainingCalls();
  bool SendCancellation(HandoverPacketKind kind, std::uint64_t number);

  HandoverChannel channel_;
  ReceivedHandover received_;
  std::string postponement_;  // the reason why there is no offer at present
  std::set<std::uint64_t> calls_in_flight_;
  std::function<void(const CallResult&)> on_result_;
  std::unique_ptr<Timer> channel_closed_timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_PREDECESSOR_H_
