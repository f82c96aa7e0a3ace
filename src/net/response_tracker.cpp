#include "net/response_tracker.h"

#include <algorithm>

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// A response may be repeated within this time.
constexpr Duration kRepeatWindow = milliseconds(1000);
constexpr std::size_t kMaxRecentResponses = 8;
// A response that comes in less than this fraction of the shortest usual time may be a repeat.
constexpr double kEarlyFraction = 0.75;
// Shorter usual times vary too much to tell an early response by, and the settling time covers them.
constexpr Duration kMinJudgedTime = milliseconds(25);
// The response to a call is awaited for this multiple of the longest usual time, within the bounds below.
constexpr double kLateMultiple = 1.25;
constexpr Duration kMinVerificationTime = milliseconds(20);
constexpr Duration kMaxVerificationTime = milliseconds(500);
constexpr Duration kUnknownResponseTime = milliseconds(200);  // until one is known

bool IsEarly(Duration time, const ResponseTimes& times, ResponseKind kind) {
  const std::optional<Duration> shortest = times.Shortest(kind);
  return shortest && *shortest >= kMinJudgedTime && time < *shortest * kEarlyFraction;
}

}  // namespace

void ResponseTracker::OnCallWritten(TimePoint now) {
  state_ = State::kAwaitingResponse;
  call_count_ += 1;
  call_written_at_ = now;
  std::erase_if(recent_responses_,
                [now](const Response& response) { return response.received_at + kRepeatWindow < now; });
}

// A repeated success is harmful only if the call itself fails, which is rare, so it is in question only if it
// is early. A repeated rejection would have a call that runs sent again.
void ResponseTracker::OnResponse(const Response& response, const ResponseTimes& times,
                                 bool is_endpoint_distrusted) {
  const bool may_be_repeat =
      IsRepeat(response) && (response.kind != ResponseKind::kSuccess || is_endpoint_distrusted ||
                             IsEarly(SinceCall(response.received_at), times, response.kind));
  Remember(response);
  state_ = may_be_repeat ? State::kVerifying : State::kSettling;
}

bool ResponseTracker::IsRepeat(const Response& response) const {
  return std::ranges::any_of(recent_responses_, [&](const Response& recent) {
    return recent.fingerprint == response.fingerprint && recent.received_at <= call_written_at_;
  });
}

Duration ResponseTracker::VerificationTime(const ResponseTimes& times, TimePoint now) const {
  const Duration longest = times.Longest().value_or(kUnknownResponseTime);
  const auto latest = std::chrono::duration_cast<Duration>(longest * kLateMultiple);
  return std::clamp(latest - SinceCall(now), kMinVerificationTime, kMaxVerificationTime);
}

void ResponseTracker::Remember(const Response& response) {
  if (recent_responses_.size() >= kMaxRecentResponses) recent_responses_.erase(recent_responses_.begin());
  recent_responses_.push_back(response);
}

}  // namespace sagetally
