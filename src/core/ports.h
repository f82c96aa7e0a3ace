// What the core needs of the world. Adapters stand behind these: sockets, the store, timers.
#ifndef SAGETALLY_SRC_CORE_PORTS_H_
#define SAGETALLY_SRC_CORE_PORTS_H_

#include <span>
#include <string>

#include "core/message.h"

namespace sagetally {

class Journal {  // outlives the process
 public:
  virtual ~Journal() = default;
  // All or nothing; false if there is no room, and then nothing was written.
  virtual bool AppendAccepted(std::span<const Message* const> messages) = 0;
  virtual void AppendAttempt(const Message& message) = 0;
  virtual void AppendOutcome(const Message& message, Outcome outcome) = 0;
  virtual void AppendCompletion(const Message& message) = 0;
  virtual void AppendNotified(const Message& message) = 0;  // its notice was heard
  virtual void AppendDeadLettered(const Message&) {}        // the store of kept messages has it
  // Whether all that was said of it is as well on record as its class asks for. Until it is, nothing may
  // follow from it: no answer, no call, no notice. The journal's host hears when to ask again.
  virtual bool IsDurable(const Message&) const { return true; }
};

class EndpointClient {  // calls to endpoints; each Call gets one CallResult, later
 public:
  virtual ~EndpointClient() = default;
  virtual void StartCall(const CallRequest& order) = 0;
  virtual void CancelCall(std::uint64_t number) = 0;
  virtual void CancelCallIfUnsent(
      std::uint64_t number) = 0;  // if its last byte has not left: the result is kMoot
  virtual void CloseIdleConnections(const std::string& endpoint) = 0;
  virtual void UpdateEndpoint(const EndpointUpdate& news) = 0;
  virtual void RemoveEndpoint(const std::string& endpoint) = 0;  // no list names it any more
};

class Notifier {  // tells ends; reports back to Book when one was heard
 public:
  virtual ~Notifier() = default;
  virtual void Notify(const Message& message) = 0;
};

class DeadLetterSink {  // takes over messages that ended undelivered; without one nothing is kept
 public:
  virtual ~DeadLetterSink() = default;
  virtual void OnAccepted(const Message& message) = 0;  // from a client, on record
  // Whether a message that was kept is being sent again, of which this is another copy.
  virtual bool IsBeingRedriven(const Request& request) const = 0;
  virtual void OnCallCompleted(const Message& message, const CallResult& result) = 0;
  // Before a message's end goes on record: sets its reason, and whether it is owed to the store.
  virtual void BeforeCompletion(Message& message, enum FinalStatus end) = 0;
  virtual void TakeOver(const Message& message) = 0;  // it has ended, no call is out, its client knows
  // After a restart: whether a message may still be sent.
  virtual bool MayContinueAfterRestart(const Message& message) = 0;
};

class MetricsRecorder {  // hears each fact that operators' figures count, once
 public:
  virtual ~MetricsRecorder() = default;
  virtual void RecordCompletion(const Message& message) = 0;  // its end is set, and on record
  virtual void RecordRejection(int message_class) = 0;        // without having been taken on
  virtual void RecordCallWritten() = 0;                       // the last byte of a call, to an endpoint
};

class Scheduler {  // the loop that the core runs in
 public:
  virtual ~Scheduler() = default;
  virtual void SchedulePolicyRun() = 0;        // call Route::Step once this round's events are in
  virtual void ScheduleTimer(Duration d) = 0;  // one wake at a time; a new one replaces the last
  virtual void SendGossip(const std::string& body) = 0;
  virtual void WriteLogLine(const std::string& line) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_PORTS_H_
