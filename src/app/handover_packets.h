// The packets that two processes of one node exchange during a handover: their kinds and the forms of those
// whose bytes are not a whole encoded object of handover/handover_state.h. Both ends may be of different
// versions, so kinds and forms only ever grow. docs/design/operations.md gives their order.
#ifndef SAGETALLY_SRC_APP_HANDOVER_PACKETS_H_
#define SAGETALLY_SRC_APP_HANDOVER_PACKETS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/handover_channel.h"
#include "net/http_server.h"

namespace sagetally {

// The name of the socket in the node's state folder.
inline constexpr char kHandoverSocketName[] = "handover";

// The first byte of a packet.
enum class HandoverPacketKind : char {
  // From the new process to the old one.
  kHello = 'h',               // HandoverHello: asks for the handover
  kReady = 'y',               // the journal has been read, nothing is written yet
  kBegun = 'b',               // the journal's new epoch has begun: the old process stops serving
  kCancelCall = 'x',          // the number of a call that is still in flight in the old process
  kCancelCallIfUnsent = 'w',  // likewise

  // From the old process to the new one.
  kRejection = 'n',            // the reason, as text: there is no handover
  kState = 's',                // HandoverState
  kJournalLock = 'k',          // with the descriptor that holds the journal's lock
  kPlatformListener = 'l',     // with a listening descriptor
  kCloudEventsListener = 'e',  // with a listening descriptor
  kGossipSocket = 'u',         // with the descriptor of the datagram socket
  kPlatformClient = 'c',       // a client's connection, with its descriptor
  kCloudEventsClient = 'd',    // likewise
  kOfferComplete = 'z',        // all of the above has been sent
  kBegin = 'g',                // the answer to kReady: the new process may write to the journal
  kCallResult = 'r',           // CallResult of a call that had stayed with the old process
};

struct HandoverHello {
  std::uint32_t version = 0;  // kHandoverVersion of the sender
  std::string node_name;
};

// As HandoverChannel::Send: false, and the channel closed, if the other side is gone or doesn't read.
bool SendPacket(HandoverChannel& channel, HandoverPacketKind kind, std::string_view bytes = {},
                int descriptor = -1);
// A kind that a later version added has a value outside of the enumerators.
inline HandoverPacketKind KindOf(const Packet& packet) {
  return static_cast<HandoverPacketKind>(packet.kind);
}

// A hello of this version.
std::string EncodeHello(const std::string& node_name);
// None if the bytes are too short.
std::optional<HandoverHello> DecodeHello(std::string_view bytes);

std::string EncodeCallNumber(std::uint64_t number);
// 0, which no call has, if the bytes are too short.
std::uint64_t DecodeCallNumber(std::string_view bytes);

std::string EncodeClient(const HttpServer::ClientToTransfer& client);
// Takes the descriptor out of `packet`.
HttpServer::TransferredClient DecodeClient(Packet& packet);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_PACKETS_H_
