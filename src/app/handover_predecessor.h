// The new process's end of a handover: finds the process that serves, receives what it offers, and passes on
// cancellations of the calls that it still has in flight. Before the event loop runs its methods block;
// afterwards all happens on the loop's thread. docs/design/operations.md gives the order of the packets.
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

// The old process continues to serve, or has died: the handover has to be tried again from its beginning.
struct HandoverAborted : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The old process rejects the handover.
struct HandoverRejected : std::runtime_error {
  explicit HandoverRejected(std::string rejection)
      : std::runtime_error("the process that serves does not hand over: " + rejection),
        reason(std::move(rejection)) {}
  std::string reason;
};

// The old process sent a state that this version can't decode.
struct HandoverFormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the old process offered. Descriptors and clients are moved out by whoever uses them.
struct ReceivedHandover {
  HandoverState state;
  FileDescriptor journal_lock;
  FileDescriptor platform_listener;
  FileDescriptor cloudevents_listener;
  FileDescriptor gossip_socket;
  std::vector<HttpServer::TransferredClient> platform_clients;
  std::vector<HttpServer::TransferredClient> cloudevents_clients;
};

class Predecessor {
 public:
  // Finds the process that serves from this state folder and receives its offer; null if there is none. Waits
  // up to 4 s while a process holds the folder without an offer: it may be shutting down, or not be ready
  // yet. Throws HandoverRejected or HandoverFormatError.
  static std::unique_ptr<Predecessor> Find(const Config& config);

  ReceivedHandover& received() { return received_; }

  // To be called once the journal has been read and before it is written to: waits for the permission to
  // begin. Throws HandoverAborted if none comes.
  void ConfirmReady();
  // To be called once the journal's new epoch has begun: the old process stops serving.
  void NotifyBegun() { SendPacket(channel_, HandoverPacketKind::kBegun); }

  // `calls` are in flight in the old process. `on_result` gets the outcome of each, kReset if the process
  // ends before it has reported one: the call may have been executed.
  void FollowCalls(EventLoop& loop, std::set<std::uint64_t> calls,
                   std::function<void(const CallResult&)> on_result);
  // Both return false if no such call is in flight in the old process.
  bool CancelCall(std::uint64_t number);
  bool CancelCallIfUnsent(std::uint64_t number);
  bool has_calls_in_flight() const { return !calls_in_flight_.empty(); }

 private:
  bool ReceiveOffer();
  void Store(Packet packet);
  void OnPacket(const Packet& packet);
  void FailRemainingCalls();
  bool SendForCall(HandoverPacketKind kind, std::uint64_t number);

  HandoverChannel channel_;
  ReceivedHandover received_;
  std::set<std::uint64_t> calls_in_flight_;
  std::function<void(const CallResult&)> on_result_;
  std::unique_ptr<Timer> channel_closed_timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_PREDECESSOR_H_
