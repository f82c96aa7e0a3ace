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

class Router {
 public:
  Router(DispatchPolicy sender, MessageTable& ledger, AttemptSender& send, CompletionHandler& book,
         EndpointClient& caller, Scheduler& host, const Clock& clock)
      : policy_(std::move(sender)),
        messages_(ledger),
        attempt_sender_(send),
        completion_handler_(book),
        endpoint_client_(caller),
        scheduler_(host),
        clock_(clock) {}

  void OnEndpointListUpdate(const EndpointListUpdate& news);
  void OnAccepted(const Message& message);
  void OnWithdrawn(const Message& message);
  void QueueEvent(Event event);
  // The list as it stands.
  std::vector<EndpointUpdate> EndpointList() const;
  // Before the first Step: lets the module learn from events of an earlier process, at their own times.
  void ReplayEvents(Time at, const std::vector<Event>& events);
  void FinishReplay();  // that was the last of them
  // Whether a list has ever named an endpoint of it.
  bool KnowsDestination(int destination) const { return destinations_.contains(destination); }
  // Whether the list names an endpoint of it that takes new work.
  bool HasUsableEndpoint(int destination) const;
  std::size_t known_endpoint_count() const { return endpoints_.size(); }  // in the list, draining ones too
  // How many of these the module avoids.
  std::size_t avoided_endpoint_count() const {
    return static_cast<std::size_t>(policy_.AvoidedEndpointCount());
  }
  // One round: all events since the last go in, and the actions are carried out in order.
  void RunPolicy();

 private:
  void Execute(const StartAttempt& action);
  void Execute(const RejectMessage& action);
  void Execute(const FailMessage& action);
  void Execute(const CancelAttempt& action);
  void Execute(const CancelIfUnsent& action);
  void Execute(const StartHealthCheck&) {}  // the module asks for none
  void Execute(const CloseIdleConnections& action) { endpoint_client_.CloseIdleConnections(action.endpoint); }
  void Execute(const ScheduleTimer& action) { scheduler_.ScheduleTimer(action.delay); }
  void Execute(const SubscribeEndpointList&) {}  // the watch is always on
  void Execute(const FetchEndpointList&) {}      // and brings whole lists by itself
  void Execute(const SendGossip& action) { scheduler_.SendGossip(action.body); }
  void Execute(const WriteLogLine& action) { scheduler_.WriteLogLine(action.line); }

  DispatchPolicy policy_;
  MessageTable& messages_;
  AttemptSender& attempt_sender_;
  CompletionHandler& completion_handler_;
  EndpointClient& endpoint_client_;
  Scheduler& scheduler_;
  const Clock& clock_;
  std::vector<Event> pending_events_;
  std::set<int> destinations_;
  std::map<std::string, EndpointUpdate> endpoints_;  // that the list names
  Time replayed_timer_ = Time::max();
};

// The module's name for a message.
std::string PolicyMessageId(std::uint64_t number);
std::uint64_t MessageNumberOf(const std::string& module_id);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ROUTER_H_
