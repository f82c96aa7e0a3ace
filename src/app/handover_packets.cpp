#include "app/handover_packets.h"

#include <utility>

#include "base/byte_codec.h"
#include "handover/handover_state.h"

namespace sagetally {

bool SendPacket(HandoverChannel& channel, HandoverPacketKind kind, std::string_view bytes, int descriptor) {
  return channel.Send(static_cast<char>(kind), bytes, descriptor);
}

std::string EncodeHello(const std::string& node_name) {
  ByteWriter writer;
  writer.AppendNumber(kHandoverVersion).AppendString(node_name);
  return writer.bytes();
}

std::optional<HandoverHello> DecodeHello(std::string_view bytes) {
  ByteReader reader(bytes);
  HandoverHello hello;
  hello.version = reader.ReadNumber<std::uint32_t>();
  hello.node_name = reader.ReadString();
  if (!reader.ok()) return std::nullopt;
  return hello;
}

std::string EncodeCallNumber(std::uint64_t number) {
  ByteWriter writer;
  writer.AppendNumber(number);
  return writer.bytes();
}

std::uint64_t DecodeCallNumber(std::string_view bytes) {
  return ByteReader(bytes).ReadNumber<std::uint64_t>();
}

std::string EncodeClient(const HttpServer::ClientToTransfer& client) {
  ByteWriter writer;
  writer.AppendNumber(client.has_sent_requests).AppendTime(client.age).AppendString(client.bytes);
  return writer.bytes();
}

HttpServer::TransferredClient DecodeClient(Packet& packet) {
  ByteReader reader(packet.bytes);
  HttpServer::TransferredClient client;
  client.has_sent_requests = reader.ReadBool();
  client.age = reader.ReadTime();
  client.bytes = reader.ReadString();
  client.fd = std::move(packet.fd);
  return client;
}

}  // namespace sagetally
