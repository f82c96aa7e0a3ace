// The memory that the clients' connections hold, over all HTTP servers of a process. Used on the event loop's
// thread.
#ifndef SAGETALLY_SRC_NET_CLIENT_MEMORY_H_
#define SAGETALLY_SRC_NET_CLIENT_MEMORY_H_

#include <cstddef>

#include "core/memory_account.h"

namespace sagetally {

// What connections report they hold: requests that are read or wait for their response, and responses that
// are not written.
class ClientMemory {
 public:
  MemoryAccount& account() { return account_; }
  const MemoryAccount& account() const { return account_; }

  // Replaces what a connection holds.
  void Update(std::size_t old_bytes, std::size_t new_bytes) {
    account_.Remove(old_bytes);
    account_.Add(new_bytes);
  }

 private:
  MemoryAccount account_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_CLIENT_MEMORY_H_
