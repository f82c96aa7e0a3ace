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

class SendStage {
 public:
  // `classes`: of messages, by number; outlives it.
  // `histories`: attempts are noted in the message, for those who may look into it later.
  // `back` takes the results of calls that never left.
  SendStage(const std::vector<ClassSettings>& classes, Ledger& ledger, Journal& journal, Caller& caller,
            const Clock& clock, bool histories, std::function<void(const CallResult&)> back)
      : classes_(classes),
        ledger_(ledger),
        journal_(journal),
        caller_(caller),
        clock_(clock),
        histories_(histories),
        back_(std::move(back)) {}

  void Go(std::uint64_t number, const std::string& endpoint, Duration time_out);
  // The module calls it off; true if it had not left yet.
  bool Cancel(std::uint64_t number) {
    return waiting_.erase(number) > 0 && (unsent_.push_back(number), true);
  }
  void Progress();  // the journal has moved on, or a cancelled one is to be given back
  bool idle() const { return unsent_.empty(); }
  bool settled() const { return waiting_.empty() && unsent_.empty(); }

 private:
  struct Waiting {
    std::string endpoint;
    Duration time_out{0};
    Time since{0};
  };
  void Call(const Message& message, const std::string& endpoint, Duration time_out);

  const std::vector<ClassSettings>& classes_;
  Ledger& ledger_;
  Journal& journal_;
  Caller& caller_;
  const Clock& clock_;
  const bool histories_;
  const std::function<void(const CallResult&)> back_;
  std::map<std::uint64_t, Waiting> waiting_;  // by message
  std::vector<std::uint64_t> unsent_;         // called off before they left
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_
