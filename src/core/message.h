// What the core deals in: requests, attempts and outcomes. No wire and no I/O.
#ifndef SAGETALLY_SRC_CORE_MESSAGE_H_
#define SAGETALLY_SRC_CORE_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sagetally/dispatch_policy.h"
#include "time/clock.h"

namespace sagetally {

constexpr int kNoClass = -1;  // of a message whose class is not configured any more

enum class IngressProtocol : std::uint8_t {
  kPlatform = 0,
  kCloudEvents = 1
};  // which front it came through, and how it is told

struct Request {        // a message as a front hands it in
  std::string id = {};  // names the message at endpoints and in notices
  int message_class = 0;
  int destination = 0;
  Duration time_left{0};
  std::string idempotency_key = {};  // idempotency key, passed on unchanged
  std::string body = {};             // any bytes
  IngressProtocol protocol = IngressProtocol::kPlatform;
  std::map<std::string, std::string> attributes = {};  // events: context attributes, passed on unchanged
  bool operator==(const Request&) const = default;
};

enum class FinalStatus : std::uint8_t {
  kPending = 0,
  kDelivered = 1,
  kFailed = 2,
  kRejected = 3,
  kExpired = 4
};

// Why a message ended undelivered, for those who look into it later.
enum class FailureReason : std::uint8_t {
  kNone = 0,
  kAttemptsExhausted = 1,
  kExpiredUnsent = 2,
  kExpiredAfterAttempts = 3,
  kRejectedUntilDeadline = 4,        // every call was turned away
  kNotRetryable = 5,                 // may have run, and a repeat would take effect twice
  kDeduplicationWindowExpired = 6,   // may have run, and the destination no longer drops a repeat
  kInterruptedByRestart = 7,         // its call was out when the process ended, and may not be repeated
  kShed = 8,                         // given up in favour of others
  kRedriveForbiddenAfterRestart = 9  // the resend judge forbids to go on with it
};

struct AttemptRecord {  // one attempt in a message's history, kept where messages are kept
  Timestamp sent_at;
  std::string endpoint = {};
  std::optional<Outcome> outcome = {};  // none: out, or cut off by the end of the process
  Duration retry_after{0};
  bool operator==(const AttemptRecord&) const = default;
};

struct Message {  // a request taken on, and all that is owed for it
  std::uint64_t number = 0;
  Request request = {};
  Time deadline{0};
  int attempts = 0;
  bool is_in_flight = false;                    // a call is out
  Time in_flight_since{0};                      // of the call out, or of the last one
  std::string in_flight_endpoint = {};          // endpoint of that call
  std::optional<Time> first_uncertain_attempt;  // send time of the earliest attempt that may have run
  std::string first_uncertain_endpoint = {};
  FinalStatus final_status = FinalStatus::kPending;
  Duration retry_after{0};  // kRefused: when the client may come again
  Time ended_at{0};
  bool notification_pending = false;  // the end has still to be told
  bool client_answered = true;        // its client knows that it was taken, or refused
  // Only where undeliverable messages are kept.
  Time accepted_at{0};
  std::vector<AttemptRecord> history = {};
  FailureReason failure_reason = FailureReason::kNone;
  bool dead_letter_pending = false;      // the store of kept messages has still to take it over
  std::uint64_t redrive_number = 0;      // it sends again what is kept under this number
  std::int32_t redrive_incarnation = 0;  // ... in this of its lives
  std::string redrive_node = {};         // ... which this node kept
};

enum class AdmissionStatus { kAccepted, kRejected, kShuttingDown, kInvalid };
struct AdmissionResult {  // to a client's request, at once
  AdmissionStatus status = AdmissionStatus::kAccepted;
  Duration retry_after{0};
  std::string reason = {};
};

struct CallRequest {
  std::uint64_t number = 0;  // of the message
  const Request* request = nullptr;
  std::string endpoint = {};
  Duration timeout{0};
  // Its last byte leaves in that time or never: the outcome is kMoot then. Absent: whenever.
  std::optional<Duration> write_within = {};
};

struct CallResult {
  std::uint64_t number = 0;
  Outcome outcome = Outcome::kOk;
  bool completed = false;  // the endpoint's side says that nothing more is owed
  Duration retry_after{0};
  LoadReport load_report = {};
};

struct EndpointUpdate {  // one entry of a list of endpoints
  EndpointRecord record = {};
  std::string address = {};
};
struct EndpointListUpdate {
  bool is_full_snapshot = false, is_cached = false;
  std::int64_t revision = 0;
  std::vector<EndpointUpdate> endpoints = {};
};

inline bool MayHaveRun(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kReset ||
         outcome == Outcome::kCancelled;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_H_
