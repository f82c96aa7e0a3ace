#include "loadtest/soak/soak_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace sagetally::loadtest {
namespace {

constexpr int kAccepted = 202;
constexpr int kOk = 200;

struct MessageFacts {
  int effects = 0;
  bool is_delivered = false;
  bool is_notified = false;
};

std::map<std::string, MessageFacts> FactsById(const std::vector<Observation>& observations) {
  std::map<std::string, MessageFacts> facts;
  for (const Observation& observation : observations) {
    MessageFacts& message = facts[observation.id];
    message.effects += observation.kind == ObservationKind::kEffect ? 1 : 0;
    message.is_delivered |= observation.kind == ObservationKind::kDelivered;
    message.is_notified |=
        observation.kind == ObservationKind::kUndeliverable || observation.kind == ObservationKind::kDeferred;
  }
  return facts;
}

bool WasDown(const std::vector<DownTime>& down_times, const RequestRecord& request) {
  return std::ranges::any_of(down_times, [&](const DownTime& down) {
    return down.node == request.node && request.ended_us >= down.from_us && request.sent_us <= down.until_us;
  });
}

bool IsClosed(const RequestRecord& request) {
  return request.end == RequestEnd::kClosedOnFirst || request.end == RequestEnd::kClosedOnLater;
}

}  // namespace

std::vector<SoakBreak> JudgeRequests(const std::vector<RequestRecord>& requests,
                                     const std::vector<Observation>& observations,
                                     const std::vector<DownTime>& down_times) {
  const std::map<std::string, MessageFacts> facts = FactsById(observations);
  std::vector<SoakBreak> breaks;
  for (const RequestRecord& request : requests) {
    const auto found = facts.find(request.id);
    const MessageFacts known = found == facts.end() ? MessageFacts() : found->second;
    const bool ran = known.effects > 0 || known.is_delivered;
    if (IsClosed(request) && (ran || known.is_notified) && !WasDown(down_times, request)) {
      breaks.push_back(
          {"lost request", request.id,
           fmt::format("node {}: the connection ended {} us after the request without a response; "
                       "effects {}, delivered {}, end told {}",
                       request.node, request.ended_us - request.sent_us, known.effects, known.is_delivered,
                       known.is_notified)});
    }
    const bool is_taken = request.status == kAccepted || request.status == kOk;
    if (is_taken && !known.is_delivered && !known.is_notified) {
      breaks.push_back({"lost message", request.id,
                        fmt::format("node {}: taken with {} and neither delivered nor told", request.node,
                                    request.status)});
    }
  }
  return breaks;
}

}  // namespace sagetally::loadtest
