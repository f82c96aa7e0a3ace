// Admits validated requests, all of a submission or none: adds them to the message table and the journal, and
// answers the client once the records are durable. Rejects at once what exceeds the capacity.
//
// Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
#define SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "core/dead_letter_sink.h"
#include "core/journal.h"
#include "core/message_table.h"
#include "core/metrics_recorder.h"
#include "pipeline/completion_handler.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

// Sends the response to the client of a submission. Returns false if the client has disconnected.
using AdmissionCallback = std::function<bool(const AdmissionResult&)>;

class AdmissionController {
 public:
  // `dead_letters` and `metrics` may be null. All references outlive this object.
  AdmissionController(MessageTable& messages, Journal& journal, Router& router,
                      CompletionHandler& completion_handler, const Clock& clock, int max_pending_messages,
                      DeadLetterSink* dead_letters, MetricsRecorder* metrics)
      : messages_(messages),
        journal_(journal),
        router_(router),
        completion_handler_(completion_handler),
        clock_(clock),
        max_pending_messages_(max_pending_messages),
        dead_letters_(dead_letters),
        metrics_(metrics) {}

  // Accepts all requests, or rejects them. `respond` is called exactly once: within this call if they are
  // rejected, else by AnswerWaitingClients().
  void Accept(std::vector<Request> requests, AdmissionCallback respond);
  // Rejects all requests of a submission with `result`.
  void Reject(const std::vector<Request>& requests, const AdmissionCallback& respond,
              const AdmissionResult& result);
  // Accepts a dead letter that is redriven: a message with its history and without a client. Returns false if
  // this process accepts no messages now or has no capacity for it.
  bool AcceptRedrive(Message message);
  // Answers the clients whose messages are durable. Called after each run of the policy, which may have shed
  // a message that was just accepted.
  void AnswerWaitingClients();
  bool has_waiting_clients() const { return !waiting_clients_.empty(); }

  // Whether messages are accepted at present. Empty: always.
  std::function<bool()> is_accepting;

 private:
  // A client whose messages were accepted, and that has no response yet.
  struct WaitingClient {
    std::vector<std::uint64_t> message_numbers;
    AdmissionCallback respond;
  };
  // What the client knows after the response.
  enum class ClientKnowledge { kAccepted, kRejected, kDisconnected };

  bool IsAccepting() const { return !is_accepting || is_accepting(); }
  bool HasCapacityFor(std::size_t message_count) const;
  std::vector<const Message*> AddMessages(std::vector<Request> requests);
  bool AppendToJournal(const std::vector<const Message*>& messages);
  void RejectUnrecorded(const std::vector<const Message*>& messages, const AdmissionCallback& respond);

  bool IsDurable(const WaitingClient& client);
  const Message* FindShedMessage(const WaitingClient& client);
  void Answer(const WaitingClient& client);
  void OnAnswered(Message& message, ClientKnowledge knowledge);

  MessageTable& messages_;
  Journal& journal_;
  Router& router_;
  CompletionHandler& completion_handler_;
  const Clock& clock_;
  const int max_pending_messages_;
  DeadLetterSink* dead_letters_;
  MetricsRecorder* metrics_;
  std::vector<WaitingClient> waiting_clients_;  // in the order of their requests
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
