// The packets that two processes of one node exchange during a handover. This header defines their kinds, and
// the encoding of those packets that do not consist of one encoded object of handover/handover_state.h. The
// two processes may run different versions of the program, so kinds and fields are only ever added. The order
// of the packets is described in docs/design/operations.md. Used by Predecessor and Successor.
#ifndef SAGETALLY_SRC_APP_HANDOVER_PACKETS_H_
#define SAGETALLY_SRC_APP_HANDOVER_PACKETS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/handover_channel.h"
#include "net/http_server.h"

namespace sagetally {

// The file name of the handover socket in the node's state folder.
inline constexpr char kHandoverSocketName[] = "handover";

// The kind of a packet, which is its first byte.
enum class HandoverPacketKind : char {
  // From the new process to the old one.
  kHello = 'h',               // a HandoverHello, which asks for the handover
  kReady = 'y',               // the new process has read the journal, and has written nothing yet
  kBegun = 'b',               // the new process has begun the journal's next epoch; the old one stops serving
  kCancelCall = 'x',          // the number of a call that is in flight in the old process, to be cancelled
  kCancelCallIfUnsent = 'w',  // the same, if the call has not been sent yet

  // From the old process to the new one.
  kRejection = 'n',         // the reason why there is no handover, as text
  kPostponement = 'p',      // the reason why there is no handover at present, as text; it may be tried again
  kState = 's',             // a HandoverState
  kJournalLock = 'k',       // comes with the descriptor that holds the journal's lock
  kPlatformListener = 'l',  // comes with the platform server's listening descriptor
  kCloudEventsListener = 'e',  // comes with the CloudEvents server's listening descriptor
  kGossipSocket = 'u',         // comes with the descriptor of the UDP socket for gossip
  kPlatformClient = 'c',       // a client connection of the platform's server, with its descriptor
  kCloudEventsClient = 'd',    // a client connection of the CloudEvents server, with its descriptor
  kOfferComplete = 'z',        // the last packet of the offer
  kBegin = 'g',                // the answer to kReady: the new process may write to the journal
  kCallResult = 'r',           // a CallResult of a call that was in flight in the old process
};

// The first packet of the new process.
struct HandoverHello {
  std::uint32_t version = 0;  // kHandoverVersion of the sender
  std::string node_name;      // the configured name of the sender's node
};

// Sends a packet, with a copy of `descriptor` unless that is -1. Like HandoverChannel::Send(), it returns
// false and closes the channel if the other process has exited or does not read.
bool SendPacket(HandoverChannel& channel, HandoverPacketKind kind, std::string_view bytes = {},
                int descriptor = -1);
// Returns the kind of a packet. It equals none of the enumerators if a later version has added that kind.
inline HandoverPacketKind KindOf(const Packet& packet) {
  return static_cast<HandoverPacketKind>(packet.kind);
}

// Encodes a HandoverHello with the version of this program.
std::string EncodeHello(const std::string& node_name);
// Returns nothing if the bytes are too short.
std::optional<HandoverHello> DecodeHello(std::string_view bytes);

// Encodes the number of the message that a call carries.
std::string EncodeCallNumber(std::uint64_t number);
// Returns 0, which is no message's number, if the bytes are too short.
std::uint64_t DecodeCallNumber(std::string_view bytes);

// Encodes everything about a client connection but its descriptor.
std::string EncodeClient(const HttpServer::ClientToTransfer& client);
// Decodes a client connection, and moves its descriptor out of `packet`. Fields for which the bytes are too
// short get default values.
HttpServer::TransferredClient DecodeClient(Packet& packet);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_PACKETS_H_
