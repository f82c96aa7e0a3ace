#include "app/handover_transfer.h"

#include <vector>

#include "handover/state_replay.h"

namespace sagetally {
namespace {

// Marks the messages whose calls are in flight, and returns their numbers. Calls of messages that are not in
// the journal any more are left out, because their results have no use.
std::set<std::uint64_t> MarkInFlightCalls(const HandoverState& state, MessageTable& messages) {
  std::set<std::uint64_t> in_flight;
  for (const InFlightCall& call : state.in_flight_calls) {
    Message* message = messages.Find(call.message_number);
    if (message == nullptr) continue;
    in_flight.insert(call.message_number);
    message->is_in_flight = true;
    message->in_flight_endpoint = call.endpoint;
    message->in_flight_since = call.sent_at;
    message->first_uncertain_attempt = call.first_uncertain_attempt;
    message->first_uncertain_endpoint = call.first_uncertain_endpoint;
  }
  return in_flight;
}

EndpointListUpdate MakeFullSnapshot(const HandoverState& state) {
  EndpointListUpdate update;
  update.is_full_snapshot = true;
  update.revision = state.endpoint_list_revision;
  update.endpoints = state.endpoints;
  return update;
}

}  // namespace

HandoverState CaptureHandoverState(const MessagePipeline& pipeline, const SiteSettings& site,
                                   std::int64_t revision, const Timestamp& now) {
  HandoverState state;
  state.now = now;
  state.class_names = site.classes;
  state.endpoint_list_revision = revision;
  state.endpoints = pipeline.router.EndpointList();
  state.recent_attempts = pipeline.attempt_history.Recent();
  for (const auto& [number, message] : pipeline.messages().messages()) {
    if (!message.is_in_flight) continue;
    state.in_flight_calls.push_back({number, message.in_flight_endpoint, message.in_flight_since,
                                     message.first_uncertain_attempt, message.first_uncertain_endpoint});
  }
  return state;
}

std::set<std::uint64_t> RestoreHandoverState(const HandoverState& state, const SiteSettings& site,
                                             MessagePipeline& pipeline) {
  std::set<std::uint64_t> in_flight = MarkInFlightCalls(state, pipeline.messages());
  Router& router = pipeline.router;
  ReplayHandoverState(
      state, site.classes, site.kinds.size(), pipeline.messages(),
      [&router](Time now, const std::vector<Event>& events) { router.ReplayEvents(now, events); });
  router.FinishReplay();
  for (const CompletedAttempt& attempt : state.recent_attempts) pipeline.attempt_history.Add(attempt);
  router.OnEndpointListUpdate(MakeFullSnapshot(state));
  return in_flight;
}

}  // namespace sagetally
