// Send: puts an attempt on record, then lets the call go; one that is not safely on record waits, and is
// given back unsent if that takes too long.
#ifndef SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_
#define SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "time/clock.h"

namespace sagetally {

class AttemptSender {
 public:
  // `classes`: of messages, by number; outlives it.
  // `histories`: attempts are noted in the message, for those who may look into it later.
  // `back` takes the results of calls that never left.
  AttemptSender(const std::vector<ClassSettings>& classes, MessageTable& ledger, Journal& journal,
                EndpointClient& caller, const Clock& clock, bool histories,
                std::function<void(const CallResult&)> back)
      : classes_(classes),
        messages_(ledger),
        journal_(journal),
        endpoint_client_(caller),
        clock_(clock),
        records_history_(histories),
        on_not_sent_(std::move(back)) {}

  void StartAttempt(std::uint64_t number, const std::string& endpoint, Duration time_out);
  // The module calls it off; true if it had not left yet.
  bool CancelIfWaiting(std::uint64_t number) {
    return waiting_attempts_.erase(number) > 0 && (cancelled_unsent_.push_back(number), true);
  }
  void OnJournalProgress();  // the journal has moved on, or a cancelled one is to be given back
  bool has_nothing_to_return() const { return cancelled_unsent_.empty(); }
  bool is_settled() const { return waiting_attempts_.empty() && cancelled_unsent_.empty(); }

 private:
  struct WaitingAttempt {
    std::string endpoint;
    Duration timeout{0};
    Time since{0};
  };
  void StartCall(const Message& message, const std::string& endpoint, Duration time_out);

  const std::vector<ClassSettings>& classes_;
  MessageTable& messages_;
  Journal& journal_;
  EndpointClient& endpoint_client_;
  const Clock& clock_;
  const bool records_history_;
  const std::function<void(const CallResult&)> on_not_sent_;
  std::map<std::uint64_t, WaitingAttempt> waiting_attempts_;  // by message
  std::vector<std::uint64_t> cancelled_unsent_;               // called off before they left
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_
