// Connects the dispatch policy with the service: queues events for the policy, runs it, and carries out its
// actions. Makes no decisions of its own.
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
  // All referenced objects must outlive this one.
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

  // Queues an event for the policy and schedules a RunPolicy().
  void QueueEvent(Event event);
  // Passes all queued events to the policy and carries out its actions in order. Also removes messages from
  // the table whose retention for deduplication has expired.
  void RunPolicy();

  // Queues the event that a message was accepted, with what is known of attempts made by an earlier process.
  void OnAccepted(const Message& message);
  // Queues the event that nobody waits for the message any more.
  void OnWithdrawn(const Message& message);

  // Applies a full snapshot or a delta of the endpoint list, and passes it on to the policy and the endpoint
  // client.
  void OnEndpointListUpdate(const EndpointListUpdate& update);
  // Returns the current endpoint list, ordered by endpoint name.
  std::vector<EndpointUpdate> EndpointList() const;
  // Whether any endpoint list had an endpoint of this destination, even if it has been removed since.
  bool KnowsDestination(int destination) const { return known_destinations_.contains(destination); }
  // Whether the current list has an endpoint of this destination that accepts new messages.
  bool HasUsableEndpoint(int destination) const;
  // The number of endpoints in the current list, including draining ones.
  std::size_t known_endpoint_count() const { return endpoints_.size(); }
  // The number of listed endpoints that the policy avoids because they are draining or ejected.
  std::size_t avoided_endpoint_count() const {
    return static_cast<std::size_t>(policy_.AvoidedEndpointCount());
  }

  // Replays events of an earlier process to the policy as of their time `now`, which must not decrease from
  // call to call. Timers that the policy schedules fire between the events as they fall due; its other
  // actions are ignored. May be called only before the first RunPolicy().
  void ReplayEvents(Time now, const std::vector<Event>& events);
  // Ends the replay, and schedules the timer that the policy requested last.
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
  // Ignored: the policy requests no health checks and no fetches of the endpoint list, and the service always
  // watches the endpoint list without being asked to.
  void Execute(const StartHealthCheck&) {}
  void Execute(const SubscribeEndpointList&) {}
  void Execute(const FetchEndpointList&) {}

  // Returns the message with this policy message id, or null if there is none.
  Message* FindMessage(const std::string& policy_id);
  // Returns the message with this policy message id if its latest attempt has the index `attempt`, counted
  // from 0; otherwise null.
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
  Time replay_timer_due_ = Time::max();  // when the timer scheduled during the replay fires; max: no timer
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ROUTER_H_
