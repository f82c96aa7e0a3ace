// The core's data: requests, messages, attempts, calls and endpoint lists. Plain values without behaviour;
// wire and stored forms are the business of their codecs. Core depends on the policy's interface and the
// clock only; handover, pipeline and the adapters build upon it.
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

// The class of a message whose class is no longer configured.
constexpr int kUnknownClass = -1;

// The protocol by which a message came in, and by which its client is notified. The numbers are stored.
enum class IngressProtocol : std::uint8_t { kPlatform = 0, kCloudEvents = 1 };

// The context attributes of a CloudEvent as the HTTP headers of its binary mode, by header name ("ce-type").
// They are passed on unchanged. Empty for messages of the platform's protocol.
using CloudEventAttributes = std::map<std::string, std::string>;

// A message as a client submits it.
struct Request {
  std::string id = {};  // names the message to endpoints and in notifications
  int message_class = 0;
  int destination = 0;
  Duration time_left{0};             // until its deadline, when it was submitted
  std::string idempotency_key = {};  // passed on unchanged; empty: none
  std::string body = {};             // any bytes
  IngressProtocol protocol = IngressProtocol::kPlatform;
  CloudEventAttributes attributes = {};
  bool operator==(const Request&) const = default;
};

// What became of a message. The numbers are stored.
enum class FinalStatus : std::uint8_t {
  kPending = 0,    // not ended yet
  kDelivered = 1,  // an endpoint answered with success
  kFailed = 2,     // ended undelivered; the client can't rely on a repeat being harmless
  kRejected = 3,   // ended undelivered; the client may submit it again after Message::retry_after
  kExpired = 4     // nobody waits for the result any more
};

// Why a message ended undelivered. The numbers are stored.
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
  kRedriveForbiddenAfterRestart = 9  // the redrive policy does not allow it to go on
};

// One attempt in a message's history, which is recorded where dead letters are configured.
struct AttemptRecord {
  Timestamp sent_at;
  std::string endpoint = {};
  std::optional<Outcome> outcome = {};  // nothing: in flight, or interrupted by the end of the process
  Duration retry_after{0};              // as the endpoint asked for it; 0: not stated
  bool operator==(const AttemptRecord&) const = default;
};

// An accepted request and the state of its delivery.
struct Message {
  std::uint64_t number = 0;  // in the message table, from 1
  Request request = {};
  Time deadline{0};
  int attempts = 0;  // made so far, the one in flight included

  // The call in flight or, without one, the latest.
  bool is_in_flight = false;
  Time in_flight_since{0};
  std::string in_flight_endpoint = {};

  // The earliest attempt that may have run: when it was sent, and to which endpoint.
  std::optional<Time> first_uncertain_attempt;
  std::string first_uncertain_endpoint = {};

  FinalStatus final_status = FinalStatus::kPending;
  Duration retry_after{0};            // kRejected: when the client may submit it again
  Time completed_at{0};               // when the final status was set
  bool notification_pending = false;  // the client has not acknowledged the final status
  bool client_answered = true;        // the client has the response to its request

  // Used only where dead letters are configured.
  Time accepted_at{0};
  std::vector<AttemptRecord> history = {};
  FailureReason failure_reason = FailureReason::kNone;
  bool dead_letter_pending = false;  // the dead-letter store has still to take the message

  // The dead letter that this message redrives: its number (0: this is no redrive), how often it was redriven
  // before, and the node that stored it.
  std::uint64_t redrive_number = 0;
  std::int32_t redrive_incarnation = 0;
  std::string redrive_node = {};
};

enum class AdmissionStatus {
  kAccepted,
  kRejected,      // no capacity; may be submitted again
  kShuttingDown,  // this process accepts no more; may be submitted to another
  kInvalid        // the request itself is wrong
};

// The immediate response to a client's request.
struct AdmissionResult {
  AdmissionStatus status = AdmissionStatus::kAccepted;
  Duration retry_after{0};  // 0: not stated
  std::string reason = {};  // for people; empty if accepted
};

// A call to be made to an endpoint.
struct CallRequest {
  std::uint64_t message_number = 0;  // of the message
  const Request* request = nullptr;
  std::string endpoint = {};
  Duration timeout{0};
  // The last byte is written within this time or not at all; the outcome is kNotSent then. Nothing: no limit.
  std::optional<Duration> write_timeout = {};
};

// The result of a call.
struct CallResult {
  std::uint64_t message_number = 0;  // of the message
  Outcome outcome = Outcome::kOk;
  bool message_expired = false;  // the endpoint says that nobody waits for the message any more
  Duration retry_after{0};
  LoadReport load_report = {};
};

// One entry of an endpoint list.
struct EndpointUpdate {
  EndpointRecord record = {};
  std::string address = {};
};

// A full endpoint list, or changes to it.
struct EndpointListUpdate {
  bool is_full_snapshot = false;
  bool is_cached = false;  // read from the configuration, not from discovery
  std::int64_t revision = 0;
  std::vector<EndpointUpdate> endpoints = {};
};

// Whether a call with this outcome may have taken effect although it did not succeed.
inline bool MayHaveRun(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kReset ||
         outcome == Outcome::kCancelled;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_H_
