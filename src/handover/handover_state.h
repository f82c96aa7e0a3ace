// What one process tells the next when it hands over, beside descriptors and the journal: facts, in a form
// that does not depend on what the decision module of either keeps. No I/O.
#ifndef SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_
#define SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/message.h"

namespace sagetally {

constexpr std::uint32_t kHandoverVersion = 1;

struct CompletedAttempt {  // a call that has come back
  Time sent_at{0}, completed_at{0}, deadline{0};
  int destination = 0, message_class = 0;
  int attempts = 0;  // of its message, this one included
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration retry_after{0};
  LoadReport load_report = {};
};

struct InFlightCall {  // a call that stays with the older process until its outcome
  std::uint64_t number = 0;
  std::string endpoint = {};
  Time sent_at{0};
  // Of the message's attempts before this one.
  std::optional<Time> first_uncertain_attempt = {};
  std::string first_uncertain_endpoint = {};
};

struct HandoverState {
  Timestamp now = {};
  std::vector<std::string> classes = {};  // names, by number
  std::int64_t revision = 0;              // of the list
  std::vector<EndpointUpdate> endpoints = {};
  std::vector<CompletedAttempt> recent_attempts = {};  // oldest first
  std::vector<InFlightCall> in_flight_calls = {};
};

std::string EncodeHandoverState(const HandoverState& state);
// None if the bytes are no state of this version.
std::optional<HandoverState> DecodeHandoverState(std::string_view bytes);

std::string EncodeCallResult(const CallResult& result);
std::optional<CallResult> DecodeCallResult(std::string_view bytes);

// Attempts of late: what a new decision module has to hear to know what binds.
class AttemptHistory {
 public:
  // An outage with its trials, the cold time after it and the averages of pace all show within this.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxAttempts = 3000;

  void Add(CompletedAttempt attempt);
  std::vector<CompletedAttempt> Recent() const { return {recent_.begin(), recent_.end()}; }
  std::size_t size() const { return recent_.size(); }

 private:
  std::deque<CompletedAttempt> recent_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_
