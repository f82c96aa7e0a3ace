#include "net/response_tracker.h"

#include <algorithm>

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// A success on a connection that has brought a response within this time may be none of the call's.
constexpr Duration kRepeatWindow = milliseconds(3000);
// Other responses are verified, which costs a slot, if an equal one has come within this time.
constexpr Duration kVerifiedRepeatWindow = milliseconds(1000);
constexpr std::size_t kMaxRecentResponses = 32;
// The response to a call is awaited for this multiple of the longest usual time, within the bounds below.
constexpr double kLateMultiple = 1.25;
constexpr Duration kMinVerificationTime = milliseconds(20);
constexpr Duration kMaxVerificationTime = milliseconds(500);
constexpr Duration kUnknownResponseTime = milliseconds(200);  // until one is known

}  // namespace

void ResponseTracker::OnCallWritten(TimePoint now) {
  state_ = State::kAwaitingResponse;
  call_count_ += 1;
  call_written_at_ = now;
  std::erase_if(recent_responses_,
                [now](const Response& response) { return response.received_at + kRepeatWindow < now; });
}

// A repeated rejection would have a call that runs sent again, so the call stays in flight until it is
// verified. A success is confirmed later (UnconfirmedDeliveries).
void ResponseTracker::OnResponse(const Response& response) {
  const bool is_verified = response.kind != ResponseKind::kSuccess && IsRepeat(response);
  Remember(response);
  state_ = is_verified ? State::kVerifying : State::kSettling;
}

bool ResponseTracker::IsRepeat(const Response& response) const {
  const Duration window = response.kind == ResponseKind::kSuccess ? kRepeatWindow : kVerifiedRepeatWindow;
  return std::ranges::any_of(recent_responses_, [&](const Response& recent) {
    return recent.fingerprint == response.fingerprint && recent.received_at <= call_written_at_ &&
           recent.received_at + window >= call_written_at_;
  });
}

bool ResponseTracker::WasUsedShortlyBefore() const {
  return std::ranges::any_of(
      recent_responses_, [this](const Response& recent) { return recent.received_at <= call_written_at_; });
}

Duration ResponseTracker::VerificationTime(const ResponseTimes& times, TimePoint now) const {
  const auto left = std::chrono::duration_cast<Duration>(UsualResponseEnd(times, now) - now);
  return std::min(left, kMaxVerificationTime);
}

ResponseTracker::TimePoint ResponseTracker::UsualResponseEnd(const ResponseTimes& times,
                                                             TimePoint now) const {
  const Duration longest = times.Longest().value_or(kUnknownResponseTime);
  const auto latest = std::chrono::duration_cast<Duration>(longest * kLateMultiple);
  return std::max(call_written_at_ + latest, now + kMinVerificationTime);
}

void ResponseTracker::Remember(const Response& response) {
  if (recent_responses_.size() >= kMaxRecentResponses) recent_responses_.erase(recent_responses_.begin());
  recent_responses_.push_back(response);
}

}  // namespace sagetally
