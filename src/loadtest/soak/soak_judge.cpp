#include "loadtest/soak/soak_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>

namespace sagetally::loadtest {
namespace {

constexpr int kAcceptedStatus = 202;
constexpr int kOkStatus = 200;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kUnavailableStatus = 503;

// What the stub servers observed of one message.
struct ObservedMessage {
  int effects = 0;  // times that the message took effect at a partner
  bool is_delivered = false;
  bool is_notified = false;  // reported to the agent as undeliverable or deferred
  std::int64_t first_observed_us = std::numeric_limits<std::int64_t>::max();

  bool is_observed() const { return effects > 0 || is_delivered || is_notified; }
};

std::map<std::string, ObservedMessage> GroupById(const std::vector<Observation>& observations) {
  std::map<std::string, ObservedMessage> messages;
  for (const Observation& observation : observations) {
    ObservedMessage& message = messages[observation.id];
    message.effects += observation.kind == ObservationKind::kEffect ? 1 : 0;
    message.is_delivered |= observation.kind == ObservationKind::kDelivered;
    message.is_notified |=
        observation.kind == ObservationKind::kUndeliverable || observation.kind == ObservationKind::kDeferred;
    message.first_observed_us = std::min(message.first_observed_us, observation.at_us);
  }
  return messages;
}

// When each request that was sent once more was sent so.
std::map<std::string, std::int64_t> ResendTimes(const std::vector<RequestRecord>& requests) {
  std::map<std::string, std::int64_t> times;
  for (const RequestRecord& request : requests) {
    if (request.is_resend) times[request.id] = request.sent_us;
  }
  return times;
}

std::string Describe(const ObservedMessage& observed) {
  return fmt::format("effects {}, delivered {}, reported as undeliverable or deferred {}", observed.effects,
                     observed.is_delivered, observed.is_notified);
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

// The requests on one kind of connection, and how many of them were answered.
struct AnswerCount {
  std::int64_t requests = 0;
  std::int64_t answered = 0;

  bool IsBelow(double fraction) const {
    return static_cast<double>(answered) < fraction * static_cast<double>(requests);
  }
  std::string Describe(const char* connections) const {
    return fmt::format("{} of {} requests on {} connections were answered in time", answered, requests,
                       connections);
  }
};

}  // namespace

std::vector<SoakViolation> FindUnansweredClients(const std::vector<RequestRecord>& requests) {
  constexpr double kMinAnsweredOnKept = 0.99;
  constexpr double kMinAnsweredOnNew = 0.9;
  AnswerCount on_kept;
  AnswerCount on_new;
  for (const RequestRecord& request : requests) {
    AnswerCount& count = request.is_first_on_connection ? on_new : on_kept;
    ++count.requests;
    if (request.outcome == RequestOutcome::kAnswered) ++count.answered;
  }
  std::vector<SoakViolation> violations;
  if (on_kept.IsBelow(kMinAnsweredOnKept)) {
    violations.push_back({"sound clients", "", on_kept.Describe("kept")});
  }
  if (on_new.IsBelow(kMinAnsweredOnNew)) {
    violations.push_back({"sound clients", "", on_new.Describe("new")});
  }
  return violations;
}

std::vector<SoakViolation> FindViolations(const std::vector<RequestRecord>& requests,
                                          const std::vector<Observation>& observations,
                                          const std::vector<DownTime>& down_times) {
  const std::map<std::string, ObservedMessage> messages = GroupById(observations);
  const std::map<std::string, std::int64_t> resend_times = ResendTimes(requests);
  std::vector<SoakViolation> violations;
  for (const RequestRecord& request : requests) {
    const auto found = messages.find(request.id);
    const ObservedMessage observed = found == messages.end() ? ObservedMessage() : found->second;
    const auto resent = resend_times.find(request.id);
    const bool is_before_resend =
        resent == resend_times.end() || request.is_resend || observed.first_observed_us < resent->second;
    if (IsClosedWithoutResponse(request) && observed.is_observed() && is_before_resend &&
        !WasDown(down_times, request)) {
      violations.push_back(
          {kLostRequestRule, request.id,
           fmt::format("node {}: the connection closed {} us after the request without a response; {}",
                       request.node, request.ended_us - request.sent_us, Describe(observed))});
    }
    const bool is_accepted = request.status == kAcceptedStatus || request.status == kOkStatus;
    if (is_accepted && !observed.is_delivered && !observed.is_notified) {
      violations.push_back({"lost message", request.id,
                            fmt::format("node {}: accepted with status {}, but neither delivered nor "
                                        "reported as undeliverable or deferred",
                                        request.node, request.status)});
    }
    const bool is_refused = request.status == kTooManyRequestsStatus || request.status == kUnavailableStatus;
    if (is_refused && observed.is_observed()) {
      violations.push_back({"refused and forwarded", request.id,
                            fmt::format("node {}: refused with status {}; {}", request.node, request.status,
                                        Describe(observed))});
    }
  }
  return violations;
}

}  // namespace sagetally::loadtest
