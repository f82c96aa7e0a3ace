// A client of the soak: hands messages to one dispatcher process over blocking sockets, one at a time, and
// records what became of each request.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_CLIENT_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/file_descriptor.h"
#include "loadtest/load/scenario.h"
#include "loadtest/random.h"

namespace sagetally::loadtest {

// What a client knows of one request after its last byte was written.
enum class RequestEnd {
  kAnswered,       // a whole response
  kGivenUp,        // no response in the time that a client waits
  kClosedOnFirst,  // the connection ended without a whole response to its first request
  kClosedOnLater   // the same to a later request
};

struct RequestRecord {
  std::string id;
  int node = 0;
  std::int64_t sent_us = 0;
  std::int64_t ended_us = 0;
  RequestEnd end = RequestEnd::kAnswered;
  int status = 0;  // kAnswered only
};

// A request's id says where it was handed in and what class its message has.
struct SoakRequestId {
  int node = 0;
  int client = 0;
  int number = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
};
std::string ToString(const SoakRequestId& id);
// Nothing if `text` is no such id.
std::optional<SoakRequestId> ParseSoakRequestId(const std::string& text);

class SoakClient {
 public:
  // `port`: the node's at present; 0 while it is down. Must outlive the client.
  SoakClient(int node, const std::atomic<std::uint16_t>& port, std::uint64_t seed, int number);

  // Hands in messages until `stop`. On a thread of its own.
  void Run(const std::atomic<bool>& stop);
  // After Run has returned.
  const std::vector<RequestRecord>& records() const { return records_; }

 private:
  bool Connect();
  std::string RequestText(const std::string& id, Idempotency idempotency);
  void SendOne();
  // Reads until a whole response has come, and returns how the request ended.
  void AwaitResponse(RequestRecord& record);

  const int node_;
  const std::atomic<std::uint16_t>& port_;
  const int number_;
  Random random_;
  FileDescriptor socket_;
  int requests_on_connection_ = 0;
  int next_request_ = 0;
  std::vector<RequestRecord> records_;
};

// Connections that stop within a first request, anew as they are closed, until `stop`.
void RunCrowd(const std::atomic<std::uint16_t>& port, int connections, const std::atomic<bool>& stop);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_CLIENT_H_
