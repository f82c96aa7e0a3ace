#include "net/request_identity.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <string_view>

namespace sagetally {
namespace {

constexpr const char* kIdHeader = "X-Request-Id";

std::string_view ToView(boost::beast::string_view text) { return {text.data(), text.size()}; }

void Combine(std::size_t& fingerprint, std::string_view text) {
  boost::hash_combine(fingerprint, std::hash<std::string_view>()(text));
}

std::size_t FingerprintOf(const RequestReader::HttpRequest& request) {
  std::size_t fingerprint = 0;
  Combine(fingerprint, ToView(request.target()));
  for (const auto& field : request) {
    Combine(fingerprint, ToView(field.name_string()));
    Combine(fingerprint, ToView(field.value()));
  }
  Combine(fingerprint, request.body());
  return fingerprint;
}

}  // namespace

std::optional<RequestIdentity> IdentityOf(const RequestReader::HttpRequest& request,
                                          RequestIdentification identification) {
  if (request.method() != boost::beast::http::verb::post) return std::nullopt;
  const auto id = request.find(kIdHeader);
  const bool has_id = identification == RequestIdentification::kById && id != request.end();
  if (!has_id) return RequestIdentity{FingerprintOf(request), false};
  return RequestIdentity{std::hash<std::string_view>()(ToView(id->value())), true};
}

bool HasAmbiguousId(const RequestReader::HttpRequest& request) { return request.count(kIdHeader) > 1; }

void AnsweredRequests::Add(const RequestIdentity& identity) {
  if (fingerprints_.size() < kMaxFingerprints) {
    fingerprints_.push_back(identity.fingerprint);
    return;
  }
  fingerprints_[next_] = identity.fingerprint;
  next_ = (next_ + 1) % kMaxFingerprints;
}

bool AnsweredRequests::Contains(const RequestIdentity& identity) const {
  return std::ranges::find(fingerprints_, identity.fingerprint) != fingerprints_.end();
}

}  // namespace sagetally
