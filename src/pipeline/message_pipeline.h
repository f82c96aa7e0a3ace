// The way of a message through the service, wired: a request is validated, admitted, routed by the dispatch
// policy and sent; its calls' results are handled, and the message is completed.
//
//   RequestValidator -> AdmissionController -> Router -> AttemptSender -> (endpoint client)
//                                                 ^                              |
//                                                 +------- OutcomeHandler <------+
//                                                              |
//                                                       CompletionHandler -> (notifier, dead letters)
//
// The pipeline does no I/O: it reaches the outside by the interfaces of core/ports.h. It depends on core,
// config and the policy only; the handover reads its attempt history from outside. Used on the event loop's
// thread only.
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

class MessagePipeline {
 public:
  // `seed` makes the policy's random choices repeatable. `dead_letters` and `metrics` may be null. All
  // references outlive the pipeline.
  MessagePipeline(const SiteSettings& site, std::uint64_t seed, MessageTable& messages, Journal& journal,
                  EndpointClient& endpoint_client, Notifier& notifier, Scheduler& scheduler,
                  const Clock& clock, DeadLetterSink* dead_letters = nullptr,
                  MetricsRecorder* metrics = nullptr);
  // The parts refer to one another.
  MessagePipeline(const MessagePipeline&) = delete;
  MessagePipeline& operator=(const MessagePipeline&) = delete;

  // After a restart: gives every pending message to the policy, with what is known of its attempts, and takes
  // up pending notifications. Messages that must not be sent again fail. The endpoint list must be known.
  void ResumeAfterRestart();
  // The journal has made more records durable: continues what waited for them.
  void OnJournalProgress();
  // Processes all queued events and carries out the policy's decisions.
  void RunPolicy();
  // Whether nothing waits for durable records.
  bool IsQuiescent() const;
  // The messages that this pipeline works on; owned by whoever made the pipeline.
  MessageTable& messages() { return messages_; }
  const MessageTable& messages() const { return messages_; }

  AttemptHistory attempt_history;
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
