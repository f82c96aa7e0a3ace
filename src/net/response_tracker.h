// Decides whether a response on a connection belongs to the call in flight. Nothing in a response names its
// call, so all that is known is which responses the connection has brought, and when. Owned by an
// EndpointConnection, used on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_NET_RESPONSE_TRACKER_H_
#define SAGETALLY_SRC_NET_RESPONSE_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "net/response_times.h"

namespace sagetally {

class ResponseTracker {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  enum class State {
    kUnused,            // no call was written yet
    kAwaitingResponse,  // a call was written and has no response
    kVerifying,         // the call has a response that may be a repeat of an earlier one
    kSettling,          // the last call has its response, and a repeat of that may be under way
    kDesynchronized     // a response came that no call asked for; the connection must not be used again
  };

  // A whole response, as far as it matters here.
  struct Response {
    std::size_t fingerprint = 0;  // equal for responses with equal bytes
    ResponseKind kind = ResponseKind::kSuccess;
    TimePoint received_at;
  };

  State state() const { return state_; }
  std::uint64_t call_count() const { return call_count_; }

  // To be called when the last byte of a call was written.
  void OnCallWritten(TimePoint now);
  // To be called with the first response after OnCallWritten(). If it is no success and may be a repeat of an
  // earlier response, the state is kVerifying afterwards, and otherwise kSettling.
  void OnResponse(const Response& response);
  // To be called when the response in question was accepted, because no other one has come.
  void OnVerified() { state_ = State::kSettling; }
  // To be called when a response or a part of one has come that no call asked for.
  void OnUnexpectedResponse() { state_ = State::kDesynchronized; }

  // Whether a response with these bytes has come so shortly before the call that this one may be a repeat.
  bool IsRepeat(const Response& response) const;
  // Whether any response has come so shortly before the call that a repeat of it, or one that no call asked
  // for, may still be under way.
  bool WasUsedShortlyBefore() const;
  // How long after `now` a response that is not a success is verified.
  Duration VerificationTime(const ResponseTimes& times, TimePoint now) const;
  // When the call's own response would usually have come.
  TimePoint UsualResponseEnd(const ResponseTimes& times, TimePoint now) const;
  // The time since the last byte of the latest call was written.
  Duration SinceCall(TimePoint now) const {
    return std::chrono::duration_cast<Duration>(now - call_written_at_);
  }

 private:
  void Remember(const Response& response);

  State state_ = State::kUnused;
  TimePoint call_written_at_{};
  std::uint64_t call_count_ = 0;
  std::vector<Response> recent_responses_;  // oldest first
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_RESPONSE_TRACKER_H_
