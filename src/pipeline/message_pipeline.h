// The chain of stages as one: take in, admit, route, send, relay, book.
#ifndef SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_
#define SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_

#include "pipeline/admission_controller.h"
#include "pipeline/attempt_sender.h"
#include "pipeline/completion_handler.h"
#include "pipeline/outcome_handler.h"
#include "pipeline/request_validator.h"
#include "pipeline/router.h"

namespace sagetally {

struct MessagePipeline {
  MessagePipeline(const SiteSettings& site, std::uint64_t seed, MessageTable& ledger, Journal& journal,
                  EndpointClient& caller, Notifier& teller, Scheduler& host, const Clock& clock,
                  DeadLetterSink* keep = nullptr, MetricsRecorder* tally = nullptr)
      : messages(ledger),
        dead_letters(keep),
        completion_handler(ledger, journal, teller, clock, keep, tally),
        attempt_sender(site.policy.classes, ledger, journal, caller, clock, keep != nullptr,
                       [this](const CallResult& result) { outcome_handler.OnCallResult(result); }),
        router(DispatchPolicy(site.policy, seed), ledger, attempt_sender, completion_handler, caller, host,
               clock),
        outcome_handler(ledger, journal, router, completion_handler, clock, keep, attempt_history),
        admission(ledger, journal, router, completion_handler, clock, site.policy.max_pending_messages, keep,
                  tally),
        validator(site, ledger, router, admission, keep) {}

  // After a restart: every message still owed goes to the module with its history, and every end not yet
  // heard is told again. The list of endpoints must be known by then.
  void ResumeAfterRestart() {
    std::vector<std::uint64_t> forbidden;
    for (const auto& [number, message] : messages.messages()) {
      if (message.final_status != FinalStatus::kPending || message.is_in_flight)
        continue;  // out: with an earlier process
      if (message.request.message_class == kNoClass ||
          (dead_letters != nullptr && !dead_letters->MayContinueAfterRestart(message))) {
        forbidden.push_back(number);
      } else {
        router.OnAccepted(message);
      }
    }
    for (const std::uint64_t number : forbidden) {
      completion_handler.Complete(*messages.Find(number), FinalStatus::kFailed);
    }
    completion_handler.ResumeNotifications();
  }

  // What waited for the journal may go on.
  void OnJournalProgress() {
    attempt_sender.OnJournalProgress();
    completion_handler.OnJournalProgress();
    admission.AnswerWaitingClients();
  }

  // Nothing waits for the journal: what was said has been acted upon.
  bool IsSettled() const {
    return admission.is_settled() && attempt_sender.is_settled() && completion_handler.is_settled();
  }

  void RunPolicy() {
    router.RunPolicy();
    admission.AnswerWaitingClients();
  }

  MessageTable& messages;
  DeadLetterSink* dead_letters;  // may be null
  AttemptHistory attempt_history;
  CompletionHandler completion_handler;
  AttemptSender attempt_sender;
  Router router;
  OutcomeHandler outcome_handler;
  AdmissionController admission;
  RequestValidator validator;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_
