// Tells the requests on a connection apart, so that a repetition of an answered one is recognised. Used by
// ServerConnection.
#ifndef SAGETALLY_SRC_NET_REQUEST_IDENTITY_H_
#define SAGETALLY_SRC_NET_REQUEST_IDENTITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "net/request_reader.h"

namespace sagetally {

// How the protocol of a server tells requests apart.
enum class RequestIdentification {
  kById,  // by X-Request-Id, which clients use for one submission only; a request without it by its content
  kByContent  // always by the content, because clients may submit the same request again
};

// What identifies a request on its connection.
struct RequestIdentity {
  std::size_t fingerprint = 0;  // of X-Request-Id, or of the whole request
  bool is_unique = false;       // no other submission of a client has this identity
};

// Returns the identity of a request. Returns nothing for a request that is no POST, because it may be
// repeated at will.
std::optional<RequestIdentity> IdentityOf(const RequestReader::HttpRequest& request,
                                          RequestIdentification identification);

// Returns whether the request has more than one X-Request-Id. Its bytes are then those of two requests.
bool HasAmbiguousId(const RequestReader::HttpRequest& request);

// The latest requests that were answered on one connection.
class AnsweredRequests {
 public:
  void Add(const RequestIdentity& identity);
  bool Contains(const RequestIdentity& identity) const;

 private:
  static constexpr std::size_t kMaxFingerprints = 64;

  std::vector<std::size_t> fingerprints_;
  std::size_t next_ = 0;  // index of the oldest one, once there are kMaxFingerprints
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_REQUEST_IDENTITY_H_
