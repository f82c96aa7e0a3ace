// Intake: checks a submission from either front, and knows messages that came before.
#ifndef SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
#define SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_

#include <vector>

#include "config/settings.h"
#include "core/message_table.h"
#include "pipeline/admission_controller.h"

namespace sagetally {

class RequestValidator {
 public:
  static constexpr std::size_t kMaxBodyBytes = 64 * 1024;
  static constexpr std::size_t kMaxNameBytes = 512;  // of an id or key
  static constexpr int kMaxDestination = 1'000'000;

  RequestValidator(const SiteSettings& site, MessageTable& ledger, const Router& route,
                   AdmissionController& admit, DeadLetterSink* keep)
      : site_(site), messages_(ledger), router_(route), admission_(admit), dead_letters_(keep) {}

  // All of them are taken, or none is.
  void Submit(std::vector<Request> requests, AdmissionCallback reply);

 private:
  // Empty, or what is wrong.
  std::string FindProblem(const Request& request) const;

  const SiteSettings& site_;
  MessageTable& messages_;
  const Router& router_;
  AdmissionController& admission_;
  DeadLetterSink* dead_letters_;  // may be null
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
