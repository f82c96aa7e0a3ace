// Connects the parts that process a message: a request is validated, admitted, routed by the dispatch policy
// and sent to an endpoint; then the results of its calls are handled, and the message is completed.
//
//   RequestValidator -> AdmissionController -> Router -> AttemptSender -> (endpoint client)
//                                                 ^                              |
//                                                 +------- OutcomeHandler <------+
//                                                              |
//                                                       CompletionHandler -> (notifier, dead letters)
//
// The pipeline does no I/O. It uses the journal, the endpoints and other services through the interfaces in
// core/ports.h. It depends on core, config and the policy only, and not on the handover, which reads
// `attempt_history` from outside. Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_
#define SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_

#include <cstdint>

#include "config/settings.h"
#include "core/attempt_history.h"
#include "core/message_table.h"
#include "core/ports.h"
#include "pipeline/admission_controller.h"
#include "pipeline/attempt_sender.h"
#include "pipeline/completion_handler.h"
#include "pipeline/outcome_handler.h"
#include "pipeline/request_validator.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

// Counts the work that waits for durable records, or for the policy's next decisions.
struct WaitingWork {
  std::size_t submissions = 0;  // whose clients have no response yet
  std::size_t attempts = 0;     // recorded, and neither called nor reported as not sent
  std::size_t completions = 0;  // completed messages
};

class MessagePipeline {
 public:
  // `seed` makes the policy's random choices repeatable. `dead_letters` and `metrics` may be null. All
  // referenced objects must outlive the pipeline.
  MessagePipeline(const SiteSettings& site, std::uint64_t seed, MessageTable& messages, Journal& journal,
                  EndpointClient& endpoint_client, Notifier& notifier, Scheduler& scheduler,
                  const Clock& clock, DeadLetterSink* dead_letters = nullptr,
                  MetricsRecorder* metrics = nullptr);
  // Not copyable, because the parts hold references to one another.
  MessagePipeline(const MessagePipeline&) = delete;
  MessagePipeline& operator=(const MessagePipeline&) = delete;

  // Called once at the start of the process, after the journal was replayed and the endpoint list was passed
  // to `router`. Passes every pending message without a call in flight to the policy, with what is known of
  // its attempts, and resumes pending notifications. Messages that must not be sent again are completed as
  // failed.
  void ResumeAfterRestart();
  // Called when the journal has made more records durable. Continues the work that waited for them.
  void OnJournalProgress();
  // Passes all queued events to the policy and carries out its decisions.
  void RunPolicy();
  // What waits for durable records, or for the policy.
  WaitingWork CountWaitingWork() const;
  // The message table that was passed to the constructor.
  MessageTable& messages() { return messages_; }
  const MessageTable& messages() const { return messages_; }

  // The recently completed attempts, which a handover passes to the successor.
  AttemptHistory attempt_history;
  // The parts shown in the diagram at the top of this file.
  CompletionHandler completion_handler;
  AttemptSender attempt_sender;
  Router router;
  OutcomeHandler outcome_handler;
  AdmissionController admission_controller;
  RequestValidator request_validator;

 private:
  bool MayContinueAfterRestart(const Message& message) const;

  MessageTable& messages_;
  DeadLetterSink* dead_letters_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_
