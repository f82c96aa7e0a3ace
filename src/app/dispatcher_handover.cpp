// The member functions of Dispatcher that take part in a handover, as the new process and as the old one.
#include <utility>

#include "app/dispatcher.h"
#include "app/handover_transfer.h"

namespace sagetally {

FileDescriptor Dispatcher::TakeJournalLock() {
  return predecessor_ ? std::move(received()->journal_lock) : FileDescriptor();
}

void Dispatcher::TakeOver() {
  const ReceivedHandover& offer = *received();
  predecessor_->TrackCalls(loop_, RestoreHandoverState(offer.state, config_.site, pipeline_),
                           [this](const CallResult& result) { OnCallResult(result); });
  log_.Info("handover.received", {{"pending", messages_.pending_count()},
                                  {"calls_in_flight", offer.state.in_flight_calls.size()},
                                  {"clients", offer.platform_clients.size()},
                                  {"attempts", offer.state.recent_attempts.size()}});
}

void Dispatcher::CancelCall(std::uint64_t number) {
  if (predecessor_ && predecessor_->CancelCall(number)) return;
  endpoint_pool_.CancelCall(number);
}

void Dispatcher::CancelCallIfUnsent(std::uint64_t number) {
  if (predecessor_ && predecessor_->CancelCallIfUnsent(number)) return;
  endpoint_pool_.CancelCallIfUnsent(number);
}

void Dispatcher::OfferHandover() {
  Successor::Callbacks callbacks;
  callbacks.pause_clients = [this] { client_servers_.PauseReading(); };
  callbacks.resume_clients = [this] { client_servers_.ResumeReading(); };
  callbacks.find_obstacles = [this] { return FindHandoverObstacles(); };
  callbacks.rejection_reason = [this] { return HandoverRejectionReason(); };
  callbacks.make_offer = [this] { return MakeHandoverOffer(); };
  callbacks.reclaim_journal = [this] { return journal_.journal().Reclaim(); };
  callbacks.on_handed_over = [this] { OnHandedOver(); };
  callbacks.on_journal_lost = [this] {
    Fail("the process that was taking over has died, and its journal can't be reclaimed");
  };
  callbacks.cancel_call = [this](std::uint64_t number) { endpoint_pool_.CancelCall(number); };
  callbacks.cancel_call_if_unsent = [this](std::uint64_t number) {
    endpoint_pool_.CancelCallIfUnsent(number);
  };
  successor_ = std::make_unique<Successor>(loop_, log_, config_, std::move(callbacks));
}

HandoverObstacles Dispatcher::FindHandoverObstacles() {
  pipeline_.RunPolicy();
  const WaitingWork waiting = pipeline_.CountWaitingWork();
  HandoverObstacles obstacles;
  obstacles.open_requests = client_servers_.CountOpenRequests();
  obstacles.unread_responses = client_servers_.CountUnreadResponses();
  obstacles.waiting_submissions = waiting.submissions;
  obstacles.waiting_attempts = waiting.attempts;
  obstacles.waiting_completions = waiting.completions;
  // Cancels the calls of messages that are complete. The successor does not know these messages, so it would
  // use the slots of their calls for other calls.
  for (const auto& [number, message] : messages_.messages()) {
    if (!message.is_in_flight || message.final_status == FinalStatus::kPending) continue;
    CancelCall(number);
    ++obstacles.ended_calls;
  }
  return obstacles;
}

std::optional<std::string> Dispatcher::HandoverRejectionReason() {
  const SegmentJournal& journal = journal_.journal();
  if (journal.is_writable() && !journal.has_unwritten_records()) return std::nullopt;
  return "its journal can't be written";
}

HandoverOffer Dispatcher::MakeHandoverOffer() {
  HandoverOffer offer;
  const std::int64_t revision =
      endpoint_list_source_->revision().value_or(config_.cached_endpoint_list.revision);
  offer.state = CaptureHandoverState(pipeline_, config_.site, revision, clock_.CurrentTimestamp());
  offer.journal_lock = journal_.journal().lock_descriptor();
  offer.gossip_socket = gossip_->descriptor();
  client_servers_.AddToOffer(offer);
  return offer;
}

void Dispatcher::OnHandedOver() {
  readiness_.HandOver();
  journal_.journal().Retire();
  policy_run_timer_.Stop();
  policy_timer_.Stop();
  admin_.CancelDrain();
  client_servers_.ReleaseTransferred();
  client_servers_.SetOnClosed([this] { shutdown_.ExitIfDone(); });
  platform_notifications_.Shutdown();
  if (result_events_) result_events_->Shutdown();
  endpoint_list_source_.reset();
  gossip_.reset();
  endpoint_pool_.Shutdown();
  shutdown_.BeginAfterHandover();
}

}  // namespace sagetally
