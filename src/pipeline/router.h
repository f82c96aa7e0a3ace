// Route: hands all events to the decision module and carries out what it decides. It decides nothing itself.
#ifndef SAGETALLY_SRC_PIPELINE_ROUTER_H_
#define SAGETALLY_SRC_PIPELINE_ROUTER_H_

#include <map>
#include <set>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "pipeline/attempt_sender.h"
#include "pipeline/completion_handler.h"
#include "sagetally/dispatch_policy.h"
#include "time/clock.h"

namespace sagetally {

class Route {
 public:
  Route(Sender sender, Ledger& ledger, SendStage& send, Book& book, Caller& caller, Host& host,
        const Clock& clock)
      : sender_(std::move(sender)),
        ledger_(ledger),
        send_(send),
        book_(book),
        caller_(caller),
        host_(host),
        clock_(clock) {}

  void Listed(const ListNews& news);
  void Taken(const Message& message);
  void Withdrawn(const Message& message);
  void Add(Event event);
  // The list as it stands.
  std::vector<EndpointNews> List() const;
  // Before the first Step: lets the module learn from events of an earlier process, at their own times.
  void Rehearse(Time at, const std::vector<Event>& events);
  void Rehearsed();  // that was the last of them
  // Whether a list has ever named an endpoint of it.
  bool Knows(int destination) const { return destinations_.contains(destination); }
  // Whether the list names an endpoint of it that takes new work.
  bool Up(int destination) const;
  std::size_t known_endpoints() const { return endpoints_.size(); }  // in the list, draining ones too
  // How many of these the module avoids.
  std::size_t skipped_endpoints() const { return static_cast<std::size_t>(sender_.Avoided()); }
  // One round: all events since the last go in, and the actions are carried out in order.
  void Step();

 private:
  void Do(const Send& action);
  void Do(const Refuse& action);
  void Do(const Fail& action);
  void Do(const Cancel& action);
  void Do(const Recall& action);
  void Do(const Probe&) {}  // the module asks for none
  void Do(const CloseIdle& action) { caller_.CloseIdle(action.endpoint); }
  void Do(const Wake& action) { host_.WakeAfter(action.after); }
  void Do(const Track&) {}      // the watch is always on
  void Do(const FetchList&) {}  // and brings whole lists by itself
  void Do(const TellPeers& action) { host_.TellPeers(action.body); }
  void Do(const Log& action) { host_.Log(action.line); }

  Sender sender_;
  Ledger& ledger_;
  SendStage& send_;
  Book& book_;
  Caller& caller_;
  Host& host_;
  const Clock& clock_;
  std::vector<Event> events_;
  std::set<int> destinations_;
  std::map<std::string, EndpointNews> endpoints_;  // that the list names
  Time rehearsed_wake_ = Time::max();
};

// The module's name for a message.
std::string ModuleId(std::uint64_t number);
std::uint64_t NumberOf(const std::string& module_id);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ROUTER_H_
