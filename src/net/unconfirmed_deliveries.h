// The calls on one connection that ended with a 200 which may be a repeat of an earlier response, or one that
// no call asked for. If it was, the connection is one response behind from then on: each call has ended with
// the response of the call before it, and the last call's own response comes when no call is in flight. Owned
// by an EndpointConnection, used on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_NET_UNCONFIRMED_DELIVERIES_H_
#define SAGETALLY_SRC_NET_UNCONFIRMED_DELIVERIES_H_

#include <chrono>
#include <optional>
#include <vector>

#include "core/message.h"
#include "net/response_times.h"

namespace sagetally {

class UnconfirmedDeliveries {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Adds a call that has ended with the successful `result`. Its own response usually comes until
  // `usual_until`, and not after `confirmed_at`.
  void Add(const CallResult& result, TimePoint usual_until, TimePoint confirmed_at);
  // To be called with the response to each later call on the connection, before that is added.
  void OnResponse(ResponseKind kind);
  // To be called when a response has come that no call asked for. Returns the results of the calls that did
  // not succeed if the connection was one response behind: they may have run. These calls are removed.
  std::vector<CallResult> OnUnexpectedResponse(ResponseKind kind);
  // Removes the calls whose own response can't come any more, and returns their results.
  std::vector<CallResult> TakeConfirmed(TimePoint now);
  // Removes all calls because the connection ends, and returns their results. With `is_doubtful`, calls whose
  // own response would usually come later may have run; all others are delivered.
  std::vector<CallResult> TakeAll(TimePoint now, bool is_doubtful);

  bool empty() const { return deliveries_.empty(); }
  // Whether the own response of each call would usually have come.
  bool IsSettled(TimePoint now) const;
  // When the next call is confirmed. There must be one.
  TimePoint next_confirmation() const;

 private:
  struct Delivery {
    CallResult result;
    TimePoint usual_until;
    TimePoint confirmed_at;
    std::optional<ResponseKind> next_response;  // the response to the call after it
  };

  std::vector<Delivery> deliveries_;  // in the order of the calls
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_UNCONFIRMED_DELIVERIES_H_
