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
  virtual bool Taken(std::span<const Message* const> messages) = 0;
  virtual void Attempted(const Message& message) = 0;
  virtual void Outcame(const Message& message, Outcome outcome) = 0;
  virtual void Ended(const Message& message) = 0;
  virtual void Told(const Message& message) = 0;  // its notice was heard
  virtual void Kept(const Message&) {}            // the store of kept messages has it
  // Whether all that was said of it is as well on record as its class asks for. Until it is, nothing may
  // follow from it: no answer, no call, no notice. The journal's host hears when to ask again.
  virtual bool Safe(const Message&) const { return true; }
};

class Caller {  // calls to endpoints; each Call gets one CallResult, later
 public:
  virtual ~Caller() = default;
  virtual void Call(const CallOrder& order) = 0;
  virtual void Cancel(std::uint64_t number) = 0;
  virtual void Recall(std::uint64_t number) = 0;  // if its last byte has not left: the result is kMoot
  virtual void CloseIdle(const std::string& endpoint) = 0;
  virtual void Learn(const EndpointNews& news) = 0;
  virtual void Forget(const std::string& endpoint) = 0;  // no list names it any more
};

class Teller {  // tells ends; reports back to Book when one was heard
 public:
  virtual ~Teller() = default;
  virtual void Tell(const Message& message) = 0;
};

class Keep {  // takes over messages that ended undelivered; without one nothing is kept
 public:
  virtual ~Keep() = default;
  virtual void Taken(const Message& message) = 0;  // from a client, on record
  // Whether a message that was kept is being sent again, of which this is another copy.
  virtual bool BeingResent(const Request& request) const = 0;
  virtual void CallEnded(const Message& message, const CallResult& result) = 0;
  // Before a message's end goes on record: sets its reason, and whether it is owed to the store.
  virtual void Ending(Message& message, enum End end) = 0;
  virtual void Owed(const Message& message) = 0;  // it has ended, no call is out, its client knows
  // After a restart: whether a message may still be sent.
  virtual bool MayGoOn(const Message& message) = 0;
};

class Tally {  // hears each fact that operators' figures count, once
 public:
  virtual ~Tally() = default;
  virtual void Ended(const Message& message) = 0;  // its end is set, and on record
  virtual void Refused(int message_class) = 0;     // without having been taken on
  virtual void Written() = 0;                      // the last byte of a call, to an endpoint
};

class Host {  // the loop that the core runs in
 public:
  virtual ~Host() = default;
  virtual void StepSoon() = 0;             // call Route::Step once this round's events are in
  virtual void WakeAfter(Duration d) = 0;  // one wake at a time; a new one replaces the last
  virtual void TellPeers(const std::string& body) = 0;
  virtual void Log(const std::string& line) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_PORTS_H_
