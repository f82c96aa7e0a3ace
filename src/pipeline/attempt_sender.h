// Starts the attempts that the dispatch policy decides on. Each attempt is recorded in the journal, and its
// call is made once the record is durable and the client has its response. If that takes too long, the
// attempt is reported as not sent instead, so that the policy decides again.
//
// Used on the event loop's thread only, by Router and MessagePipeline.
#ifndef SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_
#define SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/endpoint_client.h"
#include "core/journal.h"
#include "core/message_table.h"
#include "time/clock.h"

namespace sagetally {

class AttemptSender {
 public:
  // `classes` holds the settings of the message classes by class number. If `records_history` is true, each
  // attempt is added to its message's history. `on_not_sent` receives a result for each attempt whose call
  // was never made. All referenced objects must outlive this one.
  AttemptSender(const std::vector<ClassSettings>& classes, MessageTable& messages, Journal& journal,
                EndpointClient& endpoint_client, const Clock& clock, bool records_history,
                std::function<void(const CallResult&)> on_not_sent)
      : classes_(classes),
        messages_(messages),
        journal_(journal),
        endpoint_client_(endpoint_client),
        clock_(clock),
        records_history_(records_history),
        on_not_sent_(std::move(on_not_sent)) {}

  // Starts an attempt to send message `number` to `endpoint`; `timeout` is that of the call. Does nothing if
  // the message is unknown, has completed or has a call in flight.
  void StartAttempt(std::uint64_t number, const std::string& endpoint, Duration timeout);

  // Cancels the attempt of message `number` if its record is not durable yet, and returns whether it did so.
  // The next StartDueCalls() reports the attempt as not sent.
  bool CancelIfWaiting(std::uint64_t number);

  // Makes the calls whose records have become durable and whose clients have their responses. Reports as not
  // sent the attempts that were cancelled, that waited too long, or whose message has completed meanwhile.
  void StartDueCalls();

  // Whether there are cancelled attempts that the next StartDueCalls() will report.
  bool has_cancelled_attempts() const { return !cancelled_attempts_.empty(); }
  // The number of recorded attempts whose call was neither made nor reported as not sent.
  std::size_t waiting_attempt_count() const { return waiting_attempts_.size() + cancelled_attempts_.size(); }

 private:
  // An attempt whose call can't be made yet.
  struct WaitingAttempt {
    std::string endpoint;
    Duration timeout{0};
    Time decided_at{0};  // when the policy decided on the attempt
  };

  bool MayStartCall(const Message& message) const;
  void StartCall(const Message& message, const std::string& endpoint, Duration timeout);
  void ReportNotSent(std::uint64_t number);

  const std::vector<ClassSettings>& classes_;
  MessageTable& messages_;
  Journal& journal_;
  EndpointClient& endpoint_client_;
  const Clock& clock_;
  const bool records_history_;
  const std::function<void(const CallResult&)> on_not_sent_;
  std::map<std::uint64_t, WaitingAttempt> waiting_attempts_;  // by message number
  std::vector<std::uint64_t> cancelled_attempts_;             // message numbers, in the order of cancellation
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ATTEMPT_SENDER_H_
