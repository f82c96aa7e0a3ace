// Decides which client's connection an HttpServer closes to make room for a new one. Used on the event loop's
// thread.
#ifndef SAGETALLY_SRC_NET_CLIENT_EVICTION_H_
#define SAGETALLY_SRC_NET_CLIENT_EVICTION_H_

#include <chrono>
#include <map>
#include <memory>

#include "net/server_connection.h"

namespace sagetally {

// The open connections of a server.
using ClientMap = std::map<ServerConnection*, std::unique_ptr<ServerConnection>>;

// Returns the connection that gives way to a new one, or null if none does. In this order: those that have
// sent nothing for a while, those that are closing, those that have been idle for long, those within their
// first request, idle ones, new ones, those within a later request; of each, the one that has been silent
// longest. No connection gives way whose request is being answered, whose response is not completely written,
// or that is between two requests and has unread bytes.
ServerConnection* FindClientToEvict(const ClientMap& clients, std::chrono::steady_clock::time_point now);

// Returns whether a new connection should wait for its place, so that no idle connection gives way: one that
// is within its first request has sent something just now. Either its request is complete in a moment, or it
// gives way then.
bool ShouldWaitForPlace(const ClientMap& clients, std::chrono::steady_clock::time_point now);

// Makes some of the connections end with their next response, those that carried most requests first. For
// when no connection gives way at once.
void EndBusiestClients(const ClientMap& clients);

// A connection that gives way because the clients' memory is full.
struct MemoryEviction {
  ServerConnection* client = nullptr;  // null: none
  double gain = 0;                     // bytes held times milliseconds; 0 if there is none
};
// Returns the connection within a request that holds most for longest, a first request before a later one. A
// request that is being answered keeps its connection, so nothing that was accepted is lost.
MemoryEviction FindClientToEvictForMemory(const ClientMap& clients,
                                          std::chrono::steady_clock::time_point now);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_CLIENT_EVICTION_H_
