// Connects the dispatch policy with the service: queues events for it, runs it, and carries out its actions.
// Decides nothing itself.
//
// Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_PIPELINE_ROUTER_H_
#define SAGETALLY_SRC_PIPELINE_ROUTER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/endpoint_client.h"
#include "core/message_table.h"
#include "core/scheduler.h"
#include "pipeline/attempt_sender.h"
#include "pipeline/completion_handler.h"
#include "sagetally/dispatch_policy.h"
#include "time/clock.h"

namespace sagetally {

class Router {
 public:
  // All references outlive this object.
  Router(DispatchPolicy policy, MessageTable& messages, AttemptSender& attempt_sender,
         CompletionHandler& completion_handler, EndpointClient& endpoint_client, Scheduler& scheduler,
         const Clock& clock)
      : policy_(std::move(policy)),
        messages_(messages),
        attempt_sender_(attempt_sender),
        completion_handler_(completion_handler),
        endpoint_client_(endpoint_client),
        scheduler_(scheduler),
        clock_(clock) {}

  // Queues an event for the next RunPolicy(), and schedules that.
  void QueueEvent(Event event);
  // Gives all queued events to the policy and carries out its actions in order.
  void RunPolicy();

  // A message was accepted; its attempts of an earlier process go with it.
  void OnAccepted(const Message& message);
  // Nobody waits for the message any more.
  void OnWithdrawn(const Message& message);

  // Takes over a new endpoint list, or changes to it.
  void OnEndpointListUpdate(const EndpointListUpdate& update);
  // The endpoint list as it stands, in order of names.
  std::vector<EndpointUpdate> EndpointList() const;
  // Whether any list has named an endpoint of this destination, even one that is removed by now.
  bool KnowsDestination(int destination) const { return known_destinations_.contains(destination); }
  // Whether the list names an endpoint of this destination that takes new messages.
  bool HasUsableEndpoint(int destination) const;
  // The number of endpoints in the list, draining ones included.
  std::size_t known_endpoint_count() const { return endpoints_.size(); }
  // How many of these the policy avoids: draining or ejected ones.
  std::size_t avoided_endpoint_count() const {
    return static_cast<std::size_t>(policy_.AvoidedEndpointCount());
  }

  // Gives the policy events of an earlier process, at their own time `now`, which must not go back from call
  // to call. Timers that the policy asked for fire in between; its other actions are dropped. Before the
  // first RunPolicy() only.
  void ReplayEvents(Time now, const std::vector<Event>& events);
  // Ends the replay: schedules the timer that the policy asked for last.
  void FinishReplay();

 private:
  void Execute(const StartAttempt& action);
  void Execute(const RejectMessage& action);
  void Execute(const FailMessage& action);
  void Execute(const CancelAttempt& action);
  void Execute(const CancelIfUnsent& action);
  void Execute(const CloseIdleConnections& action) { endpoint_client_.CloseIdleConnections(action.endpoint); }
  void Execute(const ScheduleTimer& action) { scheduler_.ScheduleTimer(action.delay); }
  void Execute(const SendGossip& action) { scheduler_.SendGossip(action.body); }
  void Execute(const WriteLogLine& action) { scheduler_.WriteLogLine(action.line); }
  // The settings allow no health checks, and the endpoint list is always watched.
  void Execute(const StartHealthCheck&) {}
  void Execute(const SubscribeEndpointList&) {}
  void Execute(const FetchEndpointList&) {}

  // Returns the message behind an id of the policy, or null.
  Message* FindMessage(const std::string& policy_id);
  // Returns the message of this id if its latest attempt is number `attempt`, counted from 0; else null.
  const Message* FindLatestAttempt(const std::string& policy_id, int attempt);
  void ProcessReplayed(Time now, const std::vector<Event>& events);

  DispatchPolicy policy_;
  MessageTable& messages_;
  AttemptSender& attempt_sender_;
  CompletionHandler& completion_handler_;
  EndpointClient& endpoint_client_;
  Scheduler& scheduler_;
  const Clock& clock_;
  std::vector<Event> pending_events_;
  std::map<std::string, EndpointUpdate> endpoints_;  // the current list, by endpoint name
  std::set<int> known_destinations_;
  Time replay_timer_ = Time::max();  // when the timer fires that the replay asked for; max: none
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ROUTER_H_
