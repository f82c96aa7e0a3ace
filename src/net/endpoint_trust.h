// How far the connections to an endpoint are trusted to bring each response once and in order. HTTP/1.1
// matches a response to a request by its position on the connection alone, so a response that comes twice, or
// that no request asked for, would be taken for the response to the next call. Used on the event loop's
// thread.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_TRUST_H_
#define SAGETALLY_SRC_NET_ENDPOINT_TRUST_H_

#include <algorithm>
#include <chrono>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Remembers when an unexpected response was last seen, at one endpoint or at any endpoint.
class EndpointTrust {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void OnUnexpectedResponse(TimePoint now) { distrusted_until_ = now + kDistrustDuration; }
  bool IsDistrusted(TimePoint now) const { return now < distrusted_until_; }

 private:
  static constexpr Duration kDistrustDuration = std::chrono::seconds(60);
  TimePoint distrusted_until_{};
};

// The time for which a connection must have been idle before it carries another call. What is still under way
// from the endpoint arrives within it, and shows that the connection can't be used.
constexpr Duration kSettlingTime = std::chrono::milliseconds(25);
// The same while another endpoint of this process is distrusted, because the cause may be on a common path.
constexpr Duration kCautiousSettlingTime = std::chrono::milliseconds(50);
// The same while the endpoint itself is distrusted.
constexpr Duration kDistrustedSettlingTime = std::chrono::milliseconds(250);

// Returns the settling time of the connections to an endpoint. `any_endpoint` is the trust in all endpoints
// together.
inline Duration SettlingTime(const EndpointTrust& endpoint, const EndpointTrust& any_endpoint,
                             EndpointTrust::TimePoint now) {
  if (endpoint.IsDistrusted(now)) return kDistrustedSettlingTime;
  if (any_endpoint.IsDistrusted(now)) return kCautiousSettlingTime;
  return kSettlingTime;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_TRUST_H_
