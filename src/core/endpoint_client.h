// The interface for calls to endpoints. Implemented by the connection pool; called by the pipeline on the
// event loop's thread.
#ifndef SAGETALLY_SRC_CORE_ENDPOINT_CLIENT_H_
#define SAGETALLY_SRC_CORE_ENDPOINT_CLIENT_H_

#include <cstdint>
#include <string>

#include "core/message.h"

namespace sagetally {

// Each call gets exactly one CallResult. It arrives later, never from within StartCall().
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;

  // Starts a call. `call.request` must stay valid until the call has completed.
  virtual void StartCall(const CallRequest& call) = 0;
  // Cancels the call of message `number`, whether or not it has been written. Does nothing if the message has
  // no call.
  virtual void CancelCall(std::uint64_t number) = 0;
  // Cancels the call of message `number` if its last byte has not been written; its outcome is then kNotSent.
  // Does nothing otherwise.
  virtual void CancelCallIfUnsent(std::uint64_t number) = 0;
  // Closes the connections to `endpoint` that carry no call.
  virtual void CloseIdleConnections(const std::string& endpoint) = 0;
  // Called when an entry of the endpoint list is new or has changed.
  virtual void UpdateEndpoint(const EndpointUpdate& update) = 0;
  // Called when `endpoint` is no longer in the endpoint list.
  virtual void RemoveEndpoint(const std::string& endpoint) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_ENDPOINT_CLIENT_H_
