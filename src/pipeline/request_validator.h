// The entry point of the pipeline. Validates submissions of both ingress protocols, rejects requests that
// can't be delivered at present, and drops requests that were accepted before.
//
// Used on the event loop's thread only, by the frontends.
#ifndef SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
#define SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "core/dead_letter_sink.h"
#include "core/message_table.h"
#include "pipeline/admission_controller.h"
#include "pipeline/duplicate_detector.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

// Why a request is invalid.
enum class RequestError {
  kIdLength,
  kIdEncoding,
  kUnknownClass,
  kDestinationRange,
  kDeadline,
  kBodyLength,
  kIdempotencyKeyLength,
  kIdempotencyKeyEncoding
};

// Returns the error message that is sent to the client.
std::string_view DescribeRequestError(RequestError error);

class RequestValidator {
 public:
  static constexpr std::size_t kMaxBodyBytes = 64 * 1024;
  static constexpr std::size_t kMaxIdOrKeyBytes = 512;  // limit for ids and for idempotency keys
  static constexpr int kMaxDestination = 1'000'000;     // highest valid destination number

  // `dead_letters` may be null. All referenced objects must outlive this one.
  RequestValidator(const SiteSettings& site, MessageTable& messages, const Router& router,
                   AdmissionController& admission, const Clock& clock, DeadLetterSink* dead_letters)
      : site_(site),
        duplicates_(messages, clock),
        router_(router),
        admission_(admission),
        dead_letters_(dead_letters) {}

  // Submits the requests of one client, of which either all are accepted or none. `respond` is called exactly
  // once, during this call or later. A request that came before makes no second message: its response repeats
  // the earlier one or comes together with it.
  // `client` tells clients apart, so that none takes all places; 0: not known.
  void Submit(std::vector<Request> requests, AdmissionCallback respond, std::uint64_t client = 0);

 private:
  std::optional<RequestError> FindError(const Request& request) const;
  bool IsBeingRedriven(const Request& request) const;
  // The requests of one submission, without those that came before.
  struct NewRequests {
    std::vector<Request> requests;
    std::vector<std::uint64_t> awaited;  // messages of earlier submissions whose response is pending
    AdmissionResult earlier_result;      // of the latest of those that have their response
  };
  NewRequests RemoveDuplicates(std::vector<Request> requests);

  const SiteSettings& site_;
  DuplicateDetector duplicates_;
  const Router& router_;
  AdmissionController& admission_;
  DeadLetterSink* dead_letters_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
