// The core data types: requests, messages, attempts, calls and endpoint lists. They are plain values without
// behaviour; codecs elsewhere define their wire and stored formats. Core depends on the policy's interface
// and the clock only; the handover, the pipeline and the adapters depend on core.
#ifndef SAGETALLY_SRC_CORE_MESSAGE_H_
#define SAGETALLY_SRC_CORE_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sagetally/dispatch_policy.h"
#include "time/clock.h"

namespace sagetally {

// The class number of a message whose class is no longer configured.
constexpr int kUnknownClass = -1;

// The protocol by which a message was submitted and by which its client is notified. The numbers are stored,
// so they must not change.
enum class IngressProtocol : std::uint8_t { kPlatform = 0, kCloudEvents = 1 };

// The context attributes of a CloudEvent as HTTP headers of the binary mode, by header name ("ce-type"). They
// are passed on unchanged. Empty for messages of the platform's protocol.
using CloudEventAttributes = std::map<std::string, std::string>;

// A message as a client submits it.
struct Request {
  std::string id = {};  // identifies the message to endpoints and in notifications
  int message_class = 0;
  int destination = 0;
  Duration time_left{0};             // from the submission until the deadline
  std::string idempotency_key = {};  // passed on unchanged; empty: none
  std::string body = {};             // any bytes
  IngressProtocol protocol = IngressProtocol::kPlatform;
  CloudEventAttributes attributes = {};
  bool operator==(const Request&) const = default;
};

// The final status of a message. The numbers are stored, so they must not change.
enum class FinalStatus : std::uint8_t {
  kPending = 0,    // not completed yet
  kDelivered = 1,  // an endpoint responded with success
  kFailed = 2,     // undelivered; the client can't rely on it being harmless to submit the message again
  kRejected = 3,   // undelivered; the client may submit the message again after Message::retry_after
  kExpired = 4     // nobody waits for the result any more
};

// Why a message completed undelivered. The numbers are stored, so they must not change.
enum class FailureReason : std::uint8_t {
  kNone = 0,
  kAttemptsExhausted = 1,
  kExpiredUnsent = 2,
  kExpiredAfterAttempts = 3,
  kRejectedUntilDeadline = 4,        // endpoints rejected every call
  kNotRetryable = 5,                 // may have run, and a retry could take effect twice
  kDeduplicationWindowExpired = 6,   // may have run, and the destination no longer drops a repeated key
  kInterruptedByRestart = 7,         // a call was in flight when the process ended, and can't be retried
  kShed = 8,                         // given up in favour of other messages
  kRedriveForbiddenAfterRestart = 9  // the redrive policy forbids sending it again after the restart
};

// One attempt in a message's history, which is recorded only if dead letters are configured.
struct AttemptRecord {
  Timestamp sent_at;
  std::string endpoint = {};
  std::optional<Outcome> outcome = {};  // empty: in flight, or interrupted by the end of the process
  Duration retry_after{0};              // as requested by the endpoint; 0: not stated
  bool operator==(const AttemptRecord&) const = default;
};

// An accepted request and the state of its delivery.
struct Message {
  std::uint64_t number = 0;  // identifies the message in the message table; counts from 1
  Request request = {};
  Time deadline{0};
  int attempts = 0;  // made so far, including the one in flight

  // The call in flight, or the latest call if none is in flight.
  bool is_in_flight = false;
  Time in_flight_since{0};
  std::string in_flight_endpoint = {};
  // The call in flight has a success that is not certain yet. The dispatch policy counts it as delivered.
  bool is_delivery_unconfirmed = false;

  // The earliest attempt that may have run: when it was sent, and to which endpoint.
  std::optional<Time> first_uncertain_attempt;
  std::string first_uncertain_endpoint = {};

  FinalStatus final_status = FinalStatus::kPending;
  Duration retry_after{0};            // kRejected: after which time the client may submit it again
  Time completed_at{0};               // when the final status was set
  bool notification_pending = false;  // the client must be notified, and has not acknowledged that yet
  std::uint64_t client = 0;           // who submitted it to this process; 0: not known
  bool is_response_sent = true;       // false while the client waits for the response to its submission
  bool is_released = false;           // completed, and holds only what recognises a repeated submission

  // Used only if dead letters are configured.
  Time accepted_at{0};
  std::vector<AttemptRecord> history = {};
  FailureReason failure_reason = FailureReason::kNone;
  bool dead_letter_pending = false;  // the dead-letter store still has to store the message

  // The dead letter that this message redrives: its number (0: this message is not a redrive), how often it
  // was redriven before, and the node that stored it.
  std::uint64_t redrive_number = 0;
  std::int32_t redrive_incarnation = 0;
  std::string redrive_node = {};
};

enum class AdmissionStatus {
  kAccepted,
  kRejected,      // can't be accepted at present; the client may submit it again
  kShuttingDown,  // this process accepts no more messages; the client may submit it to another process
  kInvalid,       // the request itself is invalid
  kWithdrawn      // the same request came before, and its message was withdrawn because the client had gone
};

// The immediate response to a client's submission.
struct AdmissionResult {
  AdmissionStatus status = AdmissionStatus::kAccepted;
  Duration retry_after{0};  // 0: not stated
  std::string reason = {};  // human-readable; empty if accepted
  // Every request of the submission is a copy of one that has its answer already, which this result repeats.
  bool is_repeat = false;
};

// A call to be made to an endpoint.
struct CallRequest {
  std::uint64_t message_number = 0;
  const Request* request = nullptr;
  std::string endpoint = {};
  Duration timeout{0};
  // If the last byte can't be written within this time, the call is given up with the outcome kNotSent.
  // Empty: no limit.
  std::optional<Duration> write_timeout = {};
};

// The result of a call.
struct CallResult {
  std::uint64_t message_number = 0;
  Outcome outcome = Outcome::kOk;
  bool message_expired = false;  // the endpoint reports that nobody waits for the message any more
  Duration retry_after{0};       // as requested by the endpoint; 0: not stated
  LoadReport load_report = {};
  std::uint64_t connection_number = 0;  // of the connection that carried the call; 0: there was none
};

// One entry of an endpoint list.
struct EndpointUpdate {
  EndpointRecord record = {};
  std::string address = {};  // "host:port"
};

// A full snapshot or a delta of the endpoint list.
struct EndpointListUpdate {
  bool is_full_snapshot = false;
  bool is_cached = false;     // read from the configuration, not from discovery
  std::int64_t revision = 0;  // of the list, as discovery counts it
  std::vector<EndpointUpdate> endpoints = {};
  std::vector<std::string> entry_errors = {};  // why entries could not be read; these were left out
};

// Whether a call with this outcome may have taken effect although it did not succeed.
inline bool MayHaveRun(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kReset ||
         outcome == Outcome::kCancelled;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_H_
