// The memory that the clients' connections hold, over all HTTP servers of a process. Used on the event loop's
// thread.
#ifndef SAGETALLY_SRC_NET_CLIENT_MEMORY_H_
#define SAGETALLY_SRC_NET_CLIENT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

#include "core/memory_account.h"

namespace sagetally {

// A server whose connections can give way.
class ClientMemoryHolder {
 public:
  virtual ~ClientMemoryHolder() = default;
  // Returns how much it is worth to close the connection that EvictForMemory() closes, as the product of the
  // bytes it holds and the time it has held them; 0 if there is none.
  virtual double EvictionGain() const = 0;
  // Closes the connection that holds most for longest, of those within a request.
  virtual void EvictForMemory() = 0;
};

// What connections report they hold: requests that are read or wait for their response, and responses that
// are not written. Beyond the limit, connections within a request give way.
class ClientMemory {
 public:
  // `limit` is the share in bytes.
  explicit ClientMemory(std::size_t limit = std::numeric_limits<std::size_t>::max()) : account_(limit) {}

  MemoryAccount& account() { return account_; }
  const MemoryAccount& account() const { return account_; }

  // Adds and removes a server. `holder` must be removed before it is destroyed.
  void AddHolder(ClientMemoryHolder& holder) { holders_.push_back(&holder); }
  void RemoveHolder(ClientMemoryHolder& holder) { std::erase(holders_, &holder); }

  // Replaces what a connection holds. May close connections, the one that reports among them.
  void Update(std::size_t old_bytes, std::size_t new_bytes);

  // Returns an id for a new connection, different from those of all servers.
  std::uint64_t NextClientId() { return next_client_id_++; }

  // Called when the share is full. May be empty.
  std::function<void()> on_full;

 private:
  void Reclaim();
  ClientMemoryHolder* FindHolderToEvict() const;

  MemoryAccount account_;
  std::vector<ClientMemoryHolder*> holders_;
  bool is_reclaiming_ = false;
  std::uint64_t next_client_id_ = 1;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_CLIENT_MEMORY_H_
