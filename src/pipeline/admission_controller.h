// Admit: takes requests on, all of a submission or none, once they are on record; refuses at once what cannot
// be held.
#ifndef SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
#define SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_

#include <functional>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "pipeline/completion_handler.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

// Answers the client; false if it has gone without one.
using AdmissionCallback = std::function<bool(const AdmissionResult&)>;

class AdmissionController {
 public:
  AdmissionController(MessageTable& ledger, Journal& journal, Router& route, CompletionHandler& book,
                      const Clock& clock, int most_held, DeadLetterSink* keep, MetricsRecorder* tally)
      : messages_(ledger),
        journal_(journal),
        router_(route),
        completion_handler_(book),
        clock_(clock),
        max_pending_messages_(most_held),
        dead_letters_(keep),
        metrics_(tally) {}

  void Accept(std::vector<Request> requests, AdmissionCallback reply);
  // A kept message that is sent again, with its history and no client; false if there is no room for it.
  bool AcceptRedrive(Message message);
  // After each step: answers what was taken in before it.
  void AnswerWaitingClients();
  bool is_settled() const { return waiting_clients_.empty(); }  // nobody waits for an answer
  // Whether messages are taken on at present; absent: they are.
  std::function<bool()> is_accepting;

  // All of them, for one reason.
  void Reject(const std::vector<Request>& requests, const AdmissionCallback& reply,
              const AdmissionResult& answer);

 private:
  struct WaitingClient {
    std::vector<std::uint64_t> message_numbers;
    AdmissionCallback reply;
  };

  MessageTable& messages_;
  Journal& journal_;
  Router& router_;
  CompletionHandler& completion_handler_;
  const Clock& clock_;
  const int max_pending_messages_;
  DeadLetterSink* dead_letters_;  // may be null
  MetricsRecorder* metrics_;      // may be null
  std::vector<WaitingClient> waiting_clients_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
