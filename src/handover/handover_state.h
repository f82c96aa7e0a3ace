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

struct PastAttempt {  // a call that has come back
  Time sent{0}, ended{0}, deadline{0};
  int destination = 0, message_class = 0;
  int attempts = 0;  // of its message, this one included
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration told_wait{0};
  LoadReport load = {};
};

struct CallOut {  // a call that stays with the older process until its outcome
  std::uint64_t number = 0;
  std::string endpoint = {};
  Time sent{0};
  // Of the message's attempts before this one.
  std::optional<Time> may_have_run = {};
  std::string may_have_run_at = {};
};

struct HandoverState {
  Moment now = {};
  std::vector<std::string> classes = {};  // names, by number
  std::int64_t revision = 0;              // of the list
  std::vector<EndpointNews> endpoints = {};
  std::vector<PastAttempt> recent = {};  // oldest first
  std::vector<CallOut> out = {};
};

std::string Encode(const HandoverState& state);
// None if the bytes are no state of this version.
std::optional<HandoverState> DecodeHandover(std::string_view bytes);

std::string EncodeResult(const CallResult& result);
std::optional<CallResult> DecodeResult(std::string_view bytes);

// Attempts of late: what a new decision module has to hear to know what binds.
class AttemptMemory {
 public:
  // An outage with its trials, the cold time after it and the averages of pace all show within this.
  static constexpr Duration kKept = std::chrono::seconds(60);
  static constexpr std::size_t kMost = 3000;

  void Add(PastAttempt attempt);
  std::vector<PastAttempt> Recent() const { return {recent_.begin(), recent_.end()}; }
  std::size_t size() const { return recent_.size(); }

 private:
  std::deque<PastAttempt> recent_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_HANDOVER_HANDOVER_STATE_H_
