// The two ends of a handover: `Predecessor` stands in the new process for the old one, `Successor` in the old
// process for the new one. docs/design/operations.md tells the order of the packets.
#ifndef SAGETALLY_SRC_APP_HANDOVER_SESSION_H_
#define SAGETALLY_SRC_APP_HANDOVER_SESSION_H_

#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/config.h"
#include "handover/handover_state.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/handover_channel.h"
#include "net/http_server.h"

namespace sagetally {

// The old process goes on instead, or has died: look for one again, and begin anew.
struct HandoverAborted : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Predecessor {
 public:
  // Finds the process that serves from this state folder and has it offer all it holds; null if there is
  // none. Waits for some seconds while one holds the folder without offering anything: it may be ending, or
  // not be ready yet. Throws std::runtime_error if it refuses, or gives up.
  static std::unique_ptr<Predecessor> Find(const Config& config);

  // The journal has been read: waits for the word to begin. Throws HandoverGivenUp if none comes.
  void Ready();
  // The journal's new epoch has begun: the old process lets go.
  void Begun() { channel_.Send('b'); }

  // Calls of ours that are still with it. `back` is told each outcome; if it goes first they may have run.
  void Follow(EventLoop& loop, std::set<std::uint64_t> calls, std::function<void(const CallResult&)> back);
  // False if it has no such call.
  bool Cancel(std::uint64_t number) { return Say('x', number); }
  bool Recall(std::uint64_t number) { return Say('w', number); }
  bool owes() const { return !calls_.empty(); }

  HandoverState state;
  FileDescriptor lock, listener, events_listener, peers;
  std::vector<HttpServer::TransferredClient> clients, event_clients;

 private:
  bool Collect();
  void Ended();
  bool Say(char kind, std::uint64_t number);  // of a call that is still with it

  HandoverChannel channel_;
  std::set<std::uint64_t> calls_;
  std::function<void(const CallResult&)> back_;
  std::unique_ptr<Timer> settle_;
};

// What the old process passes on; descriptors stay its own.
struct HandoverOffer {
  HandoverState state;
  int lock = -1, listener = -1, events_listener = -1, peers = -1;
  std::vector<HttpServer::ClientToTransfer> clients, event_clients;
};

class Successor {
 public:
  struct Callbacks {
    std::function<bool()> settled;                      // nothing waits for the journal or for an answer
    std::function<std::string()> refusal;               // empty: may be handed over
    std::function<HandoverOffer()> offer;               // all that is due has been carried out
    std::function<bool()> taken_back;                   // the new process has died: whether we can go on
    std::function<void()> let_go;                       // it has all of it now
    std::function<void()> lost;                         // it has died, and the journal is not as it was
    std::function<void(std::uint64_t)> cancel, recall;  // a call of ours, by its number
  };
  // Throws std::runtime_error if it can't listen in the state folder.
  Successor(EventLoop& loop, Logger& log, const Config& config, Callbacks heard);

  // After let_go: the outcome of a call that stayed with us.
  void Report(const CallResult& result) { channel_.Send('r', EncodeCallResult(result)); }

 private:
  void Came(HandoverChannel channel);
  void Hello(const Packet& packet);
  void Try();
  void Pass();
  bool Decide();

  Logger& log_;
  const std::string name_;
  const Callbacks heard_;
  EventLoop& loop_;
  HandoverChannel channel_;
  Timer again_, mute_;
  std::chrono::steady_clock::time_point asked_{};
  std::unique_ptr<HandoverListener> listener_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_HANDOVER_SESSION_H_
