// Intake: checks a submission from either front, and knows messages that came before.
#ifndef SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
#define SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_

#include <vector>

#include "config/settings.h"
#include "core/message_table.h"
#include "pipeline/admission_controller.h"

namespace sagetally {

class Intake {
 public:
  static constexpr std::size_t kMostBody = 64 * 1024;
  static constexpr std::size_t kMostName = 512;  // of an id or key
  static constexpr int kMostDestination = 1'000'000;

  Intake(const SiteSettings& site, Ledger& ledger, const Route& route, Admit& admit, Keep* keep)
      : site_(site), ledger_(ledger), route_(route), admit_(admit), keep_(keep) {}

  // All of them are taken, or none is.
  void Take(std::vector<Request> requests, Reply reply);

 private:
  // Empty, or what is wrong.
  std::string Problem(const Request& request) const;

  const SiteSettings& site_;
  Ledger& ledger_;
  const Route& route_;
  Admit& admit_;
  Keep* keep_;  // may be null
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_REQUEST_VALIDATOR_H_
