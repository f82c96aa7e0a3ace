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

enum class Form : std::uint8_t { kPlain = 0, kEvent = 1 };  // which front it came through, and how it is told

struct Request {        // a message as a front hands it in
  std::string id = {};  // names the message at endpoints and in notices
  int message_class = 0;
  int destination = 0;
  Duration time_left{0};
  std::string key = {};   // idempotency key, passed on unchanged
  std::string body = {};  // any bytes
  Form form = Form::kPlain;
  std::map<std::string, std::string> attributes = {};  // events: context attributes, passed on unchanged
  bool operator==(const Request&) const = default;
};

enum class End : std::uint8_t { kNone = 0, kDelivered = 1, kFailed = 2, kRefused = 3, kOver = 4 };

// Why a message ended undelivered, for those who look into it later.
enum class Reason : std::uint8_t {
  kNone = 0,
  kAttemptsUsedUp = 1,
  kOutOfTimeUnsent = 2,
  kOutOfTimeAfterCalls = 3,
  kRefusedToTheEnd = 4,    // every call was turned away
  kMayNotBeRepeated = 5,   // may have run, and a repeat would take effect twice
  kRepeatWindowOver = 6,   // may have run, and the destination no longer drops a repeat
  kRestart = 7,            // its call was out when the process ended, and may not be repeated
  kShed = 8,               // given up in favour of others
  kForbiddenOnRestart = 9  // the resend judge forbids to go on with it
};

struct AttemptNote {  // one attempt in a message's history, kept where messages are kept
  Moment sent;
  std::string endpoint = {};
  std::optional<Outcome> outcome = {};  // none: out, or cut off by the end of the process
  Duration told_wait{0};
  bool operator==(const AttemptNote&) const = default;
};

struct Message {  // a request taken on, and all that is owed for it
  std::uint64_t number = 0;
  Request request = {};
  Time deadline{0};
  int attempts = 0;
  bool out = false;                  // a call is out
  Time out_since{0};                 // of the call out, or of the last one
  std::string out_at = {};           // endpoint of that call
  std::optional<Time> may_have_run;  // send time of the earliest attempt that may have run
  std::string may_have_run_at = {};
  End end = End::kNone;
  Duration again{0};  // kRefused: when the client may come again
  Time ended_at{0};
  bool notice_owed = false;  // the end has still to be told
  bool answered = true;      // its client knows that it was taken, or refused
  // Only where undeliverable messages are kept.
  Time taken_at{0};
  std::vector<AttemptNote> history = {};
  Reason reason = Reason::kNone;
  bool kept_owed = false;      // the store of kept messages has still to take it over
  std::uint64_t kept_as = 0;   // it sends again what is kept under this number
  std::int32_t kept_life = 0;  // ... in this of its lives
  std::string kept_node = {};  // ... which this node kept
};

enum class Verdict { kTaken, kRefused, kStopping, kInvalid };
struct Answer {  // to a client's request, at once
  Verdict verdict = Verdict::kTaken;
  Duration again{0};
  std::string why = {};
};

struct CallOrder {
  std::uint64_t number = 0;  // of the message
  const Request* request = nullptr;
  std::string endpoint = {};
  Duration time_out{0};
  // Its last byte leaves in that time or never: the outcome is kMoot then. Absent: whenever.
  std::optional<Duration> write_within = {};
};

struct CallResult {
  std::uint64_t number = 0;
  Outcome outcome = Outcome::kOk;
  bool over = false;  // the endpoint's side says that nothing more is owed
  Duration told_wait{0};
  LoadReport load = {};
};

struct EndpointNews {  // one entry of a list of endpoints
  EndpointEntry entry = {};
  std::string address = {};
};
struct ListNews {
  bool whole = false, saved = false;
  std::int64_t revision = 0;
  std::vector<EndpointNews> endpoints = {};
};

inline bool MayHaveRun(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kReset ||
         outcome == Outcome::kCancelled;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MESSAGE_H_
