// The hostile clients of a soak run: connections that send parts of requests, or requests whose responses
// they never read, and that come again as soon as they are closed. The soak runner starts each Crowd on a
// thread of its own.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_CROWD_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_CROWD_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/file_descriptor.h"
#include "loadtest/random.h"

namespace sagetally::loadtest {

// What a connection of a crowd sends.
enum class CrowdBehavior {
  kHalfHead,        // the first bytes of a head, then nothing
  kHalfBody,        // a head and 40 to 64 KB of its body at once, then nothing
  kSlowBody,        // the same, 1.6 KB every 50 ms
  kManyFields,      // a head of short fields, never ended
  kLongLine,        // a request line without an end
  kTinyChunks,      // a chunked body in chunks of one byte, never ended
  kPipelinedHeads,  // many requests in each write
  kUnreadResponses  // many requests, and no response is read
};

// Returns the behavior's name in schedule files.
std::string ToString(CrowdBehavior behavior);
// Returns std::nullopt if no behavior has this name.
std::optional<CrowdBehavior> CrowdBehaviorFromName(const std::string& name);

struct CrowdSettings {
  int connections = 0;
  std::vector<CrowdBehavior> behaviors = {CrowdBehavior::kHalfHead};  // dealt out in turn
};

// The connections of one crowd to one port. Not thread-safe.
class Crowd {
 public:
  // `port` is the server's current port, or 0 while it is down. It changes during the run and must outlive
  // the crowd.
  Crowd(const std::atomic<std::uint16_t>& port, const CrowdSettings& settings, std::uint64_t seed);

  // Holds the connections open, and replaces each one that is closed. Blocks until `stop` is true, then
  // closes all.
  void Run(const std::atomic<bool>& stop);

 private:
  struct Connection {
    CrowdBehavior behavior = CrowdBehavior::kHalfHead;
    FileDescriptor socket = FileDescriptor();
    std::string unsent = {};
    std::size_t body_bytes_left = 0;  // of kSlowBody
    std::int64_t next_write_us = 0;
  };

  void Step(Connection& connection);
  void Open(Connection& connection);
  std::string FirstBytes(Connection& connection);
  static void Refill(Connection& connection);
  static bool IsClosed(const Connection& connection);

  const std::atomic<std::uint16_t>& port_;
  Random random_;
  std::vector<Connection> connections_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_CROWD_H_
