#include "dead_letter/redrive_loop.h"

#include <algorithm>
#include <utility>

#include "dead_letter/text_hash.h"
#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxCandidatesPerFetch = 64;
// The time from one fetch to the next is at most kMaxReviewInterval, even if no message becomes due earlier,
// and at least kMinReviewInterval if it depends on a message's next review.
constexpr Duration kMaxReviewInterval = seconds(30);
constexpr Duration kMinReviewInterval = milliseconds(10);
constexpr Duration kPipelineRetryTime = seconds(1);  // after the pipeline rejected a redrive

// Returns the number of classes if no class has that name.
int ClassIndex(const ReviewSettings& settings, const std::string& name) {
  const auto found = std::find(settings.class_names.begin(), settings.class_names.end(), name);
  return static_cast<int>(found - settings.class_names.begin());
}

}  // namespace

RedriveLoop::RedriveLoop(ManagerContext& context, StoreHealth& health,
                         const ResubmissionTracker& resubmissions)
    : context_(context),
      health_(health),
      resubmissions_(resubmissions),
      planner_(context.settings.limits, context.settings.seed, context.clock.Now()) {}

void RedriveLoop::SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text) {
  next_rules_ = std::move(rules);
  rules_hash_ = HashText(text);
  ReviewSoon();
}

void RedriveLoop::ReviewAllSoon() {
  blocked_destinations_.clear();
  ReviewSoon();
}

void RedriveLoop::AdoptRedrive(const Message& message) {
  planner_.AdoptRedrive(message.request.destination);
  if (const std::optional<std::uint64_t> identity = IdentityOf(message.request)) {
    redriven_identities_.insert(*identity);
  }
}

void RedriveLoop::OnCallCompleted(const Message& message, const CallResult& result) {
  planner_.OnCallCompleted(message.request.destination, result.outcome, result.retry_after,
                           context_.clock.Now());
}

Time RedriveLoop::OnRedriveCompleted(const Message& message) {
  const Time now = context_.clock.Now();
  const bool is_delivered =
      message.final_status == FinalStatus::kDelivered || message.final_status == FinalStatus::kExpired;
  planner_.OnMessageCompleted(message.request.destination, is_delivered, now);
  if (const std::optional<std::uint64_t> identity = IdentityOf(message.request)) {
    const auto redriven = redriven_identities_.find(*identity);
    if (redriven != redriven_identities_.end()) redriven_identities_.erase(redriven);
  }
  Time not_before{0};
  if (is_delivered) {
    ++context_.counters.delivered;
  } else {
    not_before = planner_.BackoffUntil(message.redrive_incarnation + 1, now);
    ++context_.counters.redrives_failed;
  }
  // These destinations were blocked until a redrive completed.
  std::erase_if(blocked_destinations_, [](const auto& blocked) { return blocked.second == Time::max(); });
  ReviewSoon();
  context_.log.Info("dead_letter.redriven",
                    {{"dead_letter", ToString(DeadLetterId{message.redrive_node, message.redrive_number})},
                     {"final_status", std::string(Name(message.final_status))},
                     {"reason", std::string(Name(message.failure_reason))},
                     {"attempts", message.attempts}});
  return not_before;
}

void RedriveLoop::RunDueWork() {
  if (is_stopping_ || is_fetching_ || is_claiming()) return;
  if (next_rules_ != nullptr || (rules_ != nullptr && generation_ == 0)) return LookUpGeneration();
  const Time now = context_.clock.Now();
  if (rules_ == nullptr || next_fetch_ > now || !HasFreeSlots()) return;
  StartFetch(now);
}

Time RedriveLoop::NextRunAt() const {
  const bool waits_for_event =
      is_fetching_ || is_claiming() || is_stopping_ || rules_ == nullptr || !HasFreeSlots();
  return waits_for_event ? Time::max() : next_fetch_;
}

void RedriveLoop::LookUpGeneration() {
  if (next_rules_ != nullptr) {
    rules_ = std::exchange(next_rules_, nullptr);
    pacer_.Clear();
  }
  const auto generation = std::make_shared<std::int64_t>(0);
  is_fetching_ = context_.jobs.Run(
      [generation, hash = rules_hash_](Database& database) { *generation = database.Generation(hash); },
      [this, generation](const JobError* error) {
        is_fetching_ = false;
        generation_ = *generation;
        if (error != nullptr) context_.on_store_error(*error);
        context_.run_due_work();
      });
}

void RedriveLoop::StartFetch(Time now) {
  std::erase_if(blocked_destinations_, [&](const auto& blocked) { return blocked.second <= now; });
  pacer_.EraseExpired(now);
  std::vector<int> excluded;
  for (const auto& [destination, until] : blocked_destinations_) excluded.push_back(destination);
  struct Fetch {
    RulePacer pacer;
    Database::Candidates due;
  };
  const auto fetch = std::make_shared<Fetch>();
  fetch->pacer = pacer_;
  is_fetching_ = context_.jobs.Run(
      [fetch, rules = rules_, review = context_.settings.review, generation = generation_,
       timestamp = context_.clock.CurrentTimestamp(), excluded](Database& database) {
        fetch->due = database.Due({*rules, *review, generation, timestamp, excluded, kMaxCandidatesPerFetch},
                                  fetch->pacer);
      },
      [this, fetch](const JobError* error) {
        is_fetching_ = false;
        pacer_ = std::move(fetch->pacer);
        OnFetched(error, std::move(fetch->due));
      });
  if (!is_fetching_) next_fetch_ = now + kJobRetryTime;
}

void RedriveLoop::OnFetched(const JobError* error, Database::Candidates due) {
  if (error != nullptr) {
    context_.on_store_error(*error);
    context_.run_due_work();
    return;
  }
  health_.OnSuccess();
  const Time now = context_.clock.Now();
  Time next_attempt = now + kMaxReviewInterval;
  if (due.next_review) {
    next_attempt = std::min(next_attempt, std::max(*due.next_review, now + kMinReviewInterval));
  }
  if (due.held + due.dropped > 0) {
    context_.log.Info("dead_letter.reviewed", {{"held", due.held}, {"dropped", due.dropped}});
    next_attempt = now;
  }
  const bool has_more_to_review = due.has_more && due.list.empty();
  GrantRound round = RequestGrants(due.list, now, next_attempt);
  const bool fetch_again_now = !round.granted.empty() || has_more_to_review;
  next_fetch_ = fetch_again_now ? now : round.next_attempt;
  if (!round.granted.empty()) StartClaim(std::move(round.granted));
  context_.run_due_work();
}

// Requests a slot for each candidate. `next_attempt` is the latest time of the next fetch; blocks of
// destinations and rules make it earlier.
RedriveLoop::GrantRound RedriveLoop::RequestGrants(Candidates& candidates, Time now, Time next_attempt) {
  GrantRound round;
  RedrivePlanner::Load load = CurrentLoad();
  for (Database::Candidate& candidate : candidates) {
    const int destination = candidate.dead_letter.request.destination;
    if (is_stopping_) break;
    if (blocked_destinations_.contains(destination) || pacer_.IsBlocked(candidate.rule, now)) continue;
    const RedrivePlanner::Grant grant =
        planner_.RequestGrant(candidate.rule, candidate.redrive, destination,
                              context_.pipeline.has_usable_endpoint(destination), load, now);
    if (grant.granted()) {
      ++load.calls_in_flight;
      ++load.pending_messages;
      round.granted.push_back(std::move(candidate));
      continue;
    }
    next_attempt = std::min(next_attempt, grant.retry_after);
    if (grant.kind == RedrivePlanner::Grant::Kind::kAllBlocked) break;
    if (grant.kind == RedrivePlanner::Grant::Kind::kDestinationBlocked) {
      blocked_destinations_[destination] = grant.retry_after;
    } else {
      pacer_.BlockUntil(candidate.rule, grant.retry_after);
    }
  }
  for (const auto& [destination, until] : blocked_destinations_) next_attempt = std::min(next_attempt, until);
  round.next_attempt = next_attempt;
  return round;
}

RedrivePlanner::Load RedriveLoop::CurrentLoad() const {
  RedrivePlanner::Load load;
  load.pending_messages = context_.messages.pending_count() - context_.messages.unconfirmed_count();
  for (const auto& [number, message] : context_.messages.messages()) {
    load.calls_in_flight += message.is_in_flight && !message.is_delivery_unconfirmed ? 1 : 0;
  }
  return load;
}

void RedriveLoop::StartClaim(Candidates granted) {
  struct Work {
    Candidates granted;
    std::vector<std::optional<DeadLetter>> claimed;  // one for each in `granted`; empty if it was not claimed
  };
  const auto work = std::make_shared<Work>();
  work->granted = std::move(granted);
  ++claim_jobs_;
  const bool is_queued = context_.jobs.Run(
      [work](Database& database) {
        for (const Database::Candidate& candidate : work->granted) {
          work->claimed.push_back(database.Claim(candidate.dead_letter.id, candidate.rule));
        }
      },
      [this, work](const JobError* error) {
        --claim_jobs_;
        if (error != nullptr) {
          // It is unknown which of the messages were claimed.
          ReleaseGrants(work->granted);
          context_.request_reconciliation();
          context_.on_store_error(*error);
        } else {
          for (std::size_t i = 0; i < work->granted.size(); ++i) {
            OnClaimed(work->granted[i], std::move(work->claimed[i]));
          }
        }
        context_.run_due_work();
      });
  if (is_queued) return;
  --claim_jobs_;
  ReleaseGrants(work->granted);
  next_fetch_ = context_.clock.Now() + kJobRetryTime;
}

void RedriveLoop::ReleaseGrants(const Candidates& granted) {
  for (const Database::Candidate& candidate : granted) {
    planner_.ReleaseGrant(candidate.dead_letter.request.destination);
  }
}

void RedriveLoop::OnClaimed(const Database::Candidate& candidate, std::optional<DeadLetter> claimed) {
  const int destination = candidate.dead_letter.request.destination;
  if (!claimed) return planner_.ReleaseGrant(destination);
  const ReviewSettings& review = *context_.settings.review;
  const DeadLetterId id = claimed->id;
  claimed->request.message_class = ClassIndex(review, claimed->class_name);
  const std::optional<std::uint64_t> identity = IdentityOf(claimed->request);
  // The policy decides again, because time has passed since the review, and the client may have submitted the
  // message again.
  claimed->state = DeadLetterState::kStored;
  const Timestamp now = context_.clock.CurrentTimestamp();
  const RedriveDecisionResult decision =
      DecideRedrive(*claimed, review.FindClass(claimed->class_name), review.policy, now);
  const bool is_allowed =
      decision.decision == RedriveDecision::kAllowed && !resubmissions_.HasLaterThan(id.number, identity);
  if (is_stopping_ || !is_allowed) return ReturnClaim(id, destination, Time(0));
  const Time deadline = std::min(now.wall_time + candidate.redrive.call_deadline,
                                 decision.latest_send_time.value_or(Time::max()));
  if (!context_.pipeline.accept_redrive(ToMessage(*claimed, deadline))) {
    return ReturnClaim(id, destination, now.wall_time + kPipelineRetryTime);
  }
  ++context_.counters.redrives;
  if (identity) redriven_identities_.insert(*identity);
}

void RedriveLoop::ReturnClaim(const DeadLetterId& id, int destination, Time not_before) {
  planner_.ReleaseGrant(destination);
  const bool is_queued =
      context_.jobs.Run([id, not_before](Database& database) { database.Unclaim(id, not_before); },
                        [this](const JobError* error) {
                          if (error == nullptr) return;
                          context_.request_reconciliation();
                          context_.on_store_error(*error);
                        });
  if (!is_queued) context_.request_reconciliation();
}

}  // namespace sagetally::dead_letter
