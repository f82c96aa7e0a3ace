#include "pipeline/request_validator.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "base/utf8.h"

namespace sagetally {
namespace {

// The Retry-After time for a client that submits another copy of a dead letter which is being redriven.
constexpr Duration kRetryAfterRedrive = std::chrono::seconds(1);

// Rejection reasons, sent to clients in the response body.
constexpr char kUnknownDestinationReason[] = "no endpoint of this destination is known";
constexpr char kRedriveReason[] = "a kept copy of it is being sent again";

}  // namespace

std::string_view DescribeRequestError(RequestError error) {
  switch (error) {
    case RequestError::kIdLength:
      return "the id must have 1 to 512 bytes";
    case RequestError::kIdEncoding:
      return "the id must be UTF-8";
    case RequestError::kUnknownClass:
      return "unknown class";
    case RequestError::kDestinationRange:
      return "destination out of range";
    case RequestError::kDeadline:
      return "the deadline must be positive";
    case RequestError::kBodyLength:
      return "the body is longer than 64 KiB";
    case RequestError::kIdempotencyKeyLength:
      return "the idempotency key is longer than 512 bytes";
    case RequestError::kIdempotencyKeyEncoding:
      return "the idempotency key must be UTF-8";
  }
  return "invalid request";
}

void RequestValidator::Submit(std::vector<Request> requests, AdmissionCallback respond,
                              std::uint64_t client) {
  for (const Request& request : requests) {
    if (const std::optional<RequestError> error = FindError(request)) {
      respond({AdmissionStatus::kInvalid, Duration(0), std::string(DescribeRequestError(*error))});
      return;
    }
  }
  if (std::ranges::any_of(requests, [this](const Request& request) { return IsBeingRedriven(request); })) {
    admission_.Reject(requests, respond, {AdmissionStatus::kRejected, kRetryAfterRedrive, kRedriveReason});
    return;
  }
  NewRequests submission = RemoveDuplicates(std::move(requests));
  if (submission.requests.empty() && submission.awaited.empty()) {
    respond(submission.earlier_result);
    return;
  }
  // Messages to an unknown destination can't be sent and would use up the capacity. The endpoint list may be
  // out of date, so the client may submit the message again.
  if (!std::ranges::all_of(submission.requests, [this](const Request& request) {
        return router_.KnowsDestination(request.destination);
      })) {
    admission_.Reject(submission.requests, respond,
                      {AdmissionStatus::kRejected, Duration(0), kUnknownDestinationReason});
    return;
  }
  admission_.Accept(std::move(submission.requests), std::move(submission.awaited), std::move(respond),
                    client);
}

// Ids and keys must be UTF-8, because notifications, logs and operators' reports pass them on as JSON.
std::optional<RequestError> RequestValidator::FindError(const Request& request) const {
  const int class_count = static_cast<int>(site_.classes.size());
  if (request.id.empty() || request.id.size() > kMaxIdOrKeyBytes) return RequestError::kIdLength;
  if (!IsUtf8(request.id)) return RequestError::kIdEncoding;
  if (request.message_class < 0 || request.message_class >= class_count) return RequestError::kUnknownClass;
  if (request.destination < 0 || request.destination > kMaxDestination) {
    return RequestError::kDestinationRange;
  }
  if (request.time_left <= Duration(0)) return RequestError::kDeadline;
  if (request.body.size() > kMaxBodyBytes) return RequestError::kBodyLength;
  if (request.idempotency_key.size() > kMaxIdOrKeyBytes) return RequestError::kIdempotencyKeyLength;
  if (!IsUtf8(request.idempotency_key)) return RequestError::kIdempotencyKeyEncoding;
  return std::nullopt;
}

// If such a copy were delivered as well as the redriven one, the message could take effect twice.
bool RequestValidator::IsBeingRedriven(const Request& request) const {
  return dead_letters_ != nullptr && dead_letters_->IsBeingRedriven(request);
}

// Removes the requests that came before, and those that repeat an id within the submission.
RequestValidator::NewRequests RequestValidator::RemoveDuplicates(std::vector<Request> requests) {
  NewRequests submission;
  std::set<std::string> ids;
  for (Request& request : requests) {
    const std::optional<EarlierSubmission> earlier = duplicates_.Find(request);
    if (earlier && earlier->awaited_message) {
      submission.awaited.push_back(*earlier->awaited_message);
    } else if (earlier) {
      submission.earlier_result = earlier->result;
    } else if (ids.insert(request.id).second) {
      submission.requests.push_back(std::move(request));
    }
  }
  return submission;
}

}  // namespace sagetally
