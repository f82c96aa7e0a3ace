// The sound clients of a soak run. A SoakClient submits messages to one dispatcher process over a blocking
// socket, one request at a time, and records the outcome of each request. The soak runner starts each on a
// thread of its own.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_CLIENT_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_CLIENT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/file_descriptor.h"
#include "loadtest/load/scenario.h"
#include "loadtest/random.h"

namespace sagetally::loadtest {

// The outcome of a request as its client observed it, after the last byte of the request was written.
enum class RequestOutcome {
  kAnswered,              // a complete response arrived
  kTimedOut,              // no complete response arrived within the client's timeout of 400 ms
  kClosedOnFirstRequest,  // the connection closed without a complete response to its first request
  kClosedOnLaterRequest   // the connection closed without a complete response to a later request
};

// One request that was written in full. Times are those of NowUs(), in microseconds.
struct RequestRecord {
  std::string id;
  int node = 0;               // number of the node that the request was sent to
  std::int64_t sent_us = 0;   // when the last byte had been written
  std::int64_t ended_us = 0;  // when the outcome was known
  RequestOutcome outcome = RequestOutcome::kAnswered;
  int status = 0;          // HTTP status; set for kAnswered only, otherwise 0
  bool is_resend = false;  // the same request as the record before it, on a new connection
  bool is_first_on_connection = false;
};

// The parts of a request's id: where the message was submitted and which class it has.
struct SoakRequestId {
  int node = 0;
  int client = 0;  // number of the client among those of its node
  int number = 0;  // number of the request among those of its client
  Idempotency idempotency = Idempotency::kIdempotent;
};

// Formats the id as the X-Request-Id header carries it.
std::string ToString(const SoakRequestId& id);

// Parses what ToString() returns. Returns std::nullopt if `text` has another form.
std::optional<SoakRequestId> ParseSoakRequestId(const std::string& text);

// Submits messages to one node. Not thread-safe: Run() and records() must not overlap.
class SoakClient {
 public:
  // The messages that a client submits.
  struct Messages {
    int destinations = 1;        // they go to the first of the partners' destinations
    std::size_t body_bytes = 2;  // length of each body
  };

  // `port` is the node's current port, or 0 while the node is down. It changes during the run and must
  // outlive the client. `seed` is that of the schedule, `number` the client's number among those of the node.
  SoakClient(int node, const std::atomic<std::uint16_t>& port, std::uint64_t seed, const Messages& messages,
             int number);

  // Submits messages until `stop` is true. Blocks, so it is called on a thread of its own.
  void Run(const std::atomic<bool>& stop);

  // The requests that were written in full, in order. Call it only after Run() has returned.
  const std::vector<RequestRecord>& records() const { return records_; }

 private:
  // Connects unless a connection is open. Returns whether one is open.
  bool Connect();
  // Builds a request to a random destination.
  std::string RequestText(const std::string& id, Idempotency idempotency);
  // Sends one request and records its outcome. If the connection closes without a response to a later
  // request, sends the request once more on a new connection, as the protocol has it.
  void SendOne();
  // Sends `text` and appends `record` with its outcome. Returns false if the text could not be written in
  // full, in which case nothing is recorded.
  bool Send(const std::string& text, RequestRecord record);
  // Reads until a complete response arrives, the connection closes or the timeout expires, and stores the
  // outcome in `record`.
  void AwaitResponse(RequestRecord& record);

  const int node_;
  const std::atomic<std::uint16_t>& port_;
  const Messages messages_;
  const int number_;
  Random random_;
  FileDescriptor socket_;
  int requests_on_connection_ = 0;
  int next_request_ = 0;
  std::vector<RequestRecord> records_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_CLIENT_H_
