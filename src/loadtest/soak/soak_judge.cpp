#include "loadtest/soak/soak_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace sagetally::loadtest {
namespace {

constexpr int kAcceptedStatus = 202;
constexpr int kOkStatus = 200;

// What the stub servers observed of one message.
struct ObservedMessage {
  int effects = 0;  // times that the message took effect at a partner
  bool is_delivered = false;
  bool is_notified = false;  // reported to the agent as undeliverable or deferred
};

std::map<std::string, ObservedMessage> GroupById(const std::vector<Observation>& observations) {
  std::map<std::string, ObservedMessage> messages;
  for (const Observation& observation : observations) {
    ObservedMessage& message = messages[observation.id];
    message.effects += observation.kind == ObservationKind::kEffect ? 1 : 0;
    message.is_delivered |= observation.kind == ObservationKind::kDelivered;
    message.is_notified |=
        observation.kind == ObservationKind::kUndeliverable || observation.kind == ObservationKind::kDeferred;
  }
  return messages;
}

// Whether any part of the request's lifetime falls into a down time of its node.
bool WasDown(const std::vector<DownTime>& down_times, const RequestRecord& request) {
  return std::ranges::any_of(down_times, [&](const DownTime& down_time) {
    return down_time.node == request.node && request.ended_us >= down_time.from_us &&
           request.sent_us <= down_time.until_us;
  });
}

bool IsClosedWithoutResponse(const RequestRecord& request) {
  return request.outcome == RequestOutcome::kClosedOnFirstRequest ||
         request.outcome == RequestOutcome::kClosedOnLaterRequest;
}

}  // namespace

std::vector<SoakViolation> FindViolations(const std::vector<RequestRecord>& requests,
                                          const std::vector<Observation>& observations,
                                          const std::vector<DownTime>& down_times) {
  const std::map<std::string, ObservedMessage> messages = GroupById(observations);
  std::vector<SoakViolation> violations;
  for (const RequestRecord& request : requests) {
    const auto found = messages.find(request.id);
    const ObservedMessage observed = found == messages.end() ? ObservedMessage() : found->second;
    const bool was_executed = observed.effects > 0 || observed.is_delivered;
    if (IsClosedWithoutResponse(request) && (was_executed || observed.is_notified) &&
        !WasDown(down_times, request)) {
      violations.push_back(
          {"lost request", request.id,
           fmt::format("node {}: the connection closed {} us after the request without a response; "
                       "effects {}, delivered {}, reported as undeliverable or deferred {}",
                       request.node, request.ended_us - request.sent_us, observed.effects,
                       observed.is_delivered, observed.is_notified)});
    }
    const bool is_accepted = request.status == kAcceptedStatus || request.status == kOkStatus;
    if (is_accepted && !observed.is_delivered && !observed.is_notified) {
      violations.push_back({"lost message", request.id,
                            fmt::format("node {}: accepted with status {}, but neither delivered nor "
                                        "reported as undeliverable or deferred",
                                        request.node, request.status)});
    }
  }
  return violations;
}

}  // namespace sagetally::loadtest
