// Admits validated requests. Either all requests of a submission are accepted or none. Accepted requests are
// added to the message table and the journal, and the client gets its response once their records are
// durable. Submissions that exceed the capacity are rejected immediately.
//
// Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
#define SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
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

// What new messages compete for with the remembered ends of events.
enum class ScarceResource { kMemory, kDisk };

class AdmissionController {
 public:
  // `dead_letters` and `metrics` may be null. All referenced objects must outlive this one.
  AdmissionController(MessageTable& messages, Journal& journal, Router& router,
                      CompletionHandler& completion_handler, const Clock& clock, const Settings& settings,
                      DeadLetterSink* dead_letters, MetricsRecorder* metrics)
      : messages_(messages),
        journal_(journal),
        router_(router),
        completion_handler_(completion_handler),
        clock_(clock),
        settings_(settings),
        dead_letters_(dead_letters),
        metrics_(metrics) {}

  // Accepts or rejects all requests of a submission. `respond` is called exactly once: during this call if
  // the requests are rejected, otherwise by RespondToWaitingClients(). `awaited` are messages of earlier
  // submissions whose response is still pending and which this submission repeats; its response comes with
  // theirs. If `requests` is empty, the submission only repeats others.
  // `client` tells clients apart; 0: not known.
  void Accept(std::vector<Request> requests, std::vector<std::uint64_t> awaited, AdmissionCallback respond,
              std::uint64_t client = 0);
  // Rejects all requests of a submission with `result`.
  void Reject(const std::vector<Request>& requests, const AdmissionCallback& respond,
              const AdmissionResult& result);
  // Accepts a redriven dead letter: a message that has a history but no client waiting for a response.
  // Returns false if this process accepts no messages at present, has no capacity for the message, or can't
  // record it in the journal.
  bool AcceptRedrive(Message message);
  // Responds to the clients whose messages are durable. Called after each run of the policy, which may have
  // shed a message that was just accepted, and after each progress of the journal.
  void RespondToWaitingClients();
  // The number of accepted submissions that still wait for their response.
  std::size_t waiting_client_count() const { return waiting_clients_.size(); }

  // Returns whether this process accepts messages at present. If empty, it always does.
  std::function<bool()> is_accepting;
  // Called when the ends of events were forgotten to make room for new messages. May be empty.
  std::function<void(std::size_t count, ScarceResource resource)> on_events_forgotten;
  // Called when the journal has no space for a submission, to complete the messages that need not stay in it.
  // May be empty.
  std::function<void()> make_room;

 private:
  // A client whose messages were accepted and whose response is still pending.
  struct WaitingClient {
    std::vector<std::uint64_t> message_numbers;
    AdmissionCallback respond;
    bool is_repeat = false;  // no message is its own; another client waits for the same
  };
  // What the response told the client; kDisconnected: the client received no response.
  enum class ResponseOutcome { kAccepted, kRejected, kDisconnected };

  bool IsAccepting() const { return !is_accepting || is_accepting(); }
  bool HasCapacityFor(std::size_t message_count) const;
  bool IsWithinClientShare(std::uint64_t client, std::size_t message_count) const;
  bool MayRunAgain(const Message& message) const;
  // Forgets the ends of events, those that have expired first, until nothing is `missing` any more. Returns
  // false and forgets no unexpired one if that is not enough.
  bool ForgetEvents(ScarceResource resource, const std::function<std::uint64_t()>& missing,
                    const MessageTable::Gain& size_of);
  bool MakeMemoryFor(std::span<const Request> requests);
  bool MakeDiskSpaceFor(const std::vector<const Message*>& messages);
  std::vector<const Message*> AddMessages(std::vector<Request> requests, std::uint64_t client);
  bool AppendToJournal(const std::vector<const Message*>& messages);
  void RejectUnrecorded(const std::vector<const Message*>& messages, const AdmissionCallback& respond);

  void RememberRejection(const Request& request, SubmissionOutcome outcome, Time deadline);
  std::vector<WaitingClient> TakeDueClients();
  bool IsDurable(const WaitingClient& client);
  bool IsAwaited(std::uint64_t message_number) const;
  const Message* FindShedMessage(const WaitingClient& client);
  ResponseOutcome Respond(const WaitingClient& client);
  void OnResponded(Message& message, ResponseOutcome outcome);
  void Withdraw(Message& message);
  void WithdrawEvent(Message& message);

  MessageTable& messages_;
  Journal& journal_;
  Router& router_;
  CompletionHandler& completion_handler_;
  const Clock& clock_;
  const Settings& settings_;
  DeadLetterSink* dead_letters_;
  MetricsRecorder* metrics_;
  std::vector<WaitingClient> waiting_clients_;  // in the order of submission
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
