// The pipeline's entrance: checks a submission of either protocol, rejects what can't be delivered now, and
// drops requests that were accepted before.
//
// Used on the event loop's thread only, by the frontends.
#ifndef SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
#define SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "core/dead_letter_sink.h"
#include "core/message_table.h"
#include "pipeline/admission_controller.h"
#include "pipeline/router.h"

namespace sagetally {

// What is wrong with a request.
enum class RequestError {
  kIdLength,
  kUnknownClass,
  kDestinationRange,
  kDeadline,
  kBodyLength,
  kIdempotencyKeyLength
};

// The sentence that the client gets.
std::string_view DescribeRequestError(RequestError error);

class RequestValidator {
 public:
  static constexpr std::size_t kMaxBodyBytes = 64 * 1024;
  static constexpr std::size_t kMaxNameBytes = 512;  // of an id or an idempotency key
  static constexpr int kMaxDestination = 1'000'000;

  // `dead_letters` may be null. All references outlive this object.
  RequestValidator(const SiteSettings& site, MessageTable& messages, const Router& router,
                   AdmissionController& admission, DeadLetterSink* dead_letters)
      : site_(site),
        messages_(messages),
        router_(router),
        admission_(admission),
        dead_letters_(dead_letters) {}

  // Submits requests of one client, of which all are accepted or none. `respond` is called exactly once, now
  // or later. Requests that were accepted before are answered as accepted and not delivered again.
  void Submit(std::vector<Request> requests, AdmissionCallback respond);

 private:
  std::optional<RequestError> FindError(const Request& request) const;
  std::optional<AdmissionResult> FindRejection(const Request& request) const;
  std::vector<Request> WithoutDuplicates(std::vector<Request> requests) const;

  const SiteSettings& site_;
  MessageTable& messages_;
  const Router& router_;
  AdmissionController& admission_;
  DeadLetterSink* dead_letters_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
