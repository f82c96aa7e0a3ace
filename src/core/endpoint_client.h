// Calls to endpoints, as the core sees them. Implemented by the connection pool; called on the event loop's
// thread.
#ifndef SAGETALLY_SRC_CORE_ENDPOINT_CLIENT_H_
#define SAGETALLY_SRC_CORE_ENDPOINT_CLIENT_H_

#include <cstdint>
#include <string>

#include "core/message.h"

namespace sagetally {

// Each call gets exactly one CallResult, which arrives later, never from within StartCall().
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;

  // Starts a call. The request that it points to outlives the call.
  virtual void StartCall(const CallRequest& call) = 0;
  // Gives up the call of message `number`, written or not. Does nothing without one.
  virtual void CancelCall(std::uint64_t number) = 0;
  // Gives up the call of message `number` if its last byte has not been written; its outcome is kNotSent
  // then.
  virtual void CancelCallIfUnsent(std::uint64_t number) = 0;
  // Closes the connections of `endpoint` that carry no call.
  virtual void CloseIdleConnections(const std::string& endpoint) = 0;
  // The endpoint list has a new or changed entry.
  virtual void UpdateEndpoint(const EndpointUpdate& update) = 0;
  // The endpoint list no longer names `endpoint`.
  virtual void RemoveEndpoint(const std::string& endpoint) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_ENDPOINT_CLIENT_H_
