// Send: puts an attempt on record, then lets the call go.
#ifndef SAGETALLY_SRC_STAGES_SEND_H_
#define SAGETALLY_SRC_STAGES_SEND_H_

#include "clock/clock.h"
#include "core/ledger.h"
#include "core/ports.h"

namespace sagetally {

class SendStage {
 public:
  // `histories`: attempts are noted in the message, for those who may look into it later.
  SendStage(Ledger& ledger, Journal& journal, Caller& caller, const Clock& clock, bool histories)
      : ledger_(ledger), journal_(journal), caller_(caller), clock_(clock), histories_(histories) {}

  void Go(std::uint64_t number, const std::string& endpoint, Duration time_out);

 private:
  Ledger& ledger_;
  Journal& journal_;
  Caller& caller_;
  const Clock& clock_;
  const bool histories_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_STAGES_SEND_H_
