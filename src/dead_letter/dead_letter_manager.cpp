#include "dead_letter/dead_letter_manager.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sagetally::dead_letter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBatchMessages = 128, kBatchBytes = 512 * 1024;
constexpr int kCandidates = 64;
constexpr Duration kRetry = milliseconds(100), kLongestRetry = seconds(5);
constexpr Duration kLookAtLeast = seconds(30);  // rules are looked at again so often, whatever is due

std::uint64_t Hash(const std::string& text) {
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

}  // namespace

std::uint64_t IdentityOf(const Request& r) {
  if (r.protocol == IngressProtocol::kCloudEvents) return Hash("e" + r.id);
  if (r.idempotency_key.empty()) return 0;
  return Hash("k" + std::to_string(r.destination) + "/" + std::to_string(r.message_class) + "/" +
              r.idempotency_key);
}

DeadLetterManager::DeadLetterManager(Settings settings, JobRunner& jobs, MessageTable& ledger,
                                     const Clock& clock, Logger& log,
                                     std::function<void(Duration)> wake_after)
    : settings_(std::move(settings)),
      jobs_(jobs),
      ledger_(ledger),
      clock_(clock),
      log_(log),
      wake_after_(std::move(wake_after)),
      planner_(settings_.limits, settings_.seed, clock.Now()) {
  // Numbers name kept messages for good, so none may come again, whatever the journal forgot.
  ledger_.SkipNumbersBelow(static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock.Now().count())));
}

const std::string& DeadLetterManager::ClassName(const Message& m) const {
  static const std::string kGone = "(not configured any more)";
  if (m.request.message_class == kNoClass) return kGone;
  return settings_.review->class_names[static_cast<std::size_t>(m.request.message_class)];
}
double DeadLetterManager::WorthOf(const Message& m) const {
  if (m.request.message_class == kNoClass) return 0;
  return settings_.review->classes[static_cast<std::size_t>(m.request.message_class)].priority_weight;
}

void DeadLetterManager::Start(Pipeline chain, bool journal_lost) {
  chain_ = std::move(chain);
  lost_ = journal_lost;
  started_ = true;
  for (const auto& [number, m] : ledger_.messages()) {
    if (m.redrive_number != 0 && m.final_status == FinalStatus::kPending)
      planner_.Adopt(m.request.destination);
    const std::uint64_t identity = IdentityOf(m.request);
    if (identity == 0) continue;
    if (m.redrive_number == 0) {
      // It may have been taken just before the process ended, with its kept twin not told yet.
      handed_in_.push_back({identity, number});
    } else if (m.final_status == FinalStatus::kPending) {
      resending_.insert(identity);
    }
  }
  RunDueWork();
}

void DeadLetterManager::SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text) {
  next_rules_ = std::move(rules);
  next_hash_ = Hash(text);
  fetch_at_ = Time(0);
  if (started_) RunDueWork();
}

void DeadLetterManager::ScheduleReview() {
  fetch_at_ = Time(0);
  blocked_.clear();
  RunDueWork();
}

void DeadLetterManager::WakeAt(Time at) { wake_after_(std::max(Duration(0), at - clock_.Now())); }

void DeadLetterManager::RunDueWork() {
  if (!started_) return;
  const Time now = clock_.Now();
  if (now < retry_at_) return WakeAt(retry_at_);
  if (!reconciled_) Reconcile();
  Transfer();
  TellHandedIn();
  if (reconciled_ && !stopping_) Fetch();
  // With all places taken, or an answer on its way, what ends or arrives calls Turn by itself.
  const bool waits = fetching_ || claiming_ > 0 || !reconciled_ || stopping_ || rules_ == nullptr ||
                     planner_.in_flight_count() >= planner_.MaxInFlight();
  Time next = waits ? Time::max() : fetch_at_;
  if (now < retry_at_) next = retry_at_;
  if (next != Time::max()) WakeAt(next);
}

void DeadLetterManager::Failed(const JobError& error) {
  ++failures_;
  ++counters_.transfers_failed;
  if (error.set_aside) {
    ++counters_.stores_begun_anew;
    log_.Error("kept.begun_anew", {{"why", error.what}});
    failures_ = 0;
    reconciled_ = false;                    // and the rules' generation is to be asked for again
    retry_at_ = clock_.Now() + seconds(1);  // a disk that spoils all it gets fills with files slowly
    return;
  }
  const Duration wait = std::min(kLongestRetry, kRetry * (1 << std::min(failures_ - 1, 6)));
  retry_at_ = clock_.Now() + wait;
  log_.Warn("kept.store_failed", {{"why", error.what},
                                  {"owed", pending_transfers()},
                                  {"again_ms", wait.count() / 1000},
                                  {"failures", failures_}});
}

// --- From the journal to the store ---

void DeadLetterManager::BeforeCompletion(Message& m, enum FinalStatus end) {
  const ClassSettings& c = settings_.review->classes[static_cast<std::size_t>(m.request.message_class)];
  if (end == FinalStatus::kFailed || end == FinalStatus::kRejected) {
    m.failure_reason = ReasonOf(m, c, settings_.review->policy.max_attempts, clock_.Now());
    if (forbidden_.erase(m.number) > 0) m.failure_reason = FailureReason::kRedriveForbiddenAfterRestart;
  }
  if (m.redrive_number != 0) {
    m.dead_letter_pending = true;
  } else {
    m.dead_letter_pending = (end == FinalStatus::kFailed && settings_.undeliverable) ||
                            (end == FinalStatus::kRejected && settings_.deferred);
  }
}

void DeadLetterManager::TakeOver(const Message& m) {
  if (!known_owed_.insert(m.number).second) return;
  Waiting w;
  w.number = m.number;
  w.bytes = m.request.body.size() + 600;
  w.worth = WorthOf(m);
  w.resent = m.redrive_number != 0;
  const std::uint64_t identity = IdentityOf(m.request);
  if (w.resent) {
    const bool delivered =
        m.final_status == FinalStatus::kDelivered || m.final_status == FinalStatus::kExpired;
    planner_.OnMessageCompleted(m.request.destination, delivered, clock_.Now());
    if (const auto at = resending_.find(identity); at != resending_.end()) resending_.erase(at);
    if (!delivered) w.not_before = planner_.BackoffUntil(m.redrive_incarnation + 1, clock_.Now());
    ++(delivered ? counters_.delivered : counters_.kept_again);
    std::erase_if(blocked_, [](const auto& b) { return b.second == Time::max(); });
    fetch_at_ = Time(0);
    log_.Info("kept.resent", {{"kept", Print(DeadLetterId{m.redrive_node, m.redrive_number})},
                              {"end", std::string(Name(m.final_status))},
                              {"reason", std::string(Name(m.failure_reason))},
                              {"attempts", m.attempts}});
  } else if (identity != 0) {
    identities_.insert(identity);
  }
  owed_bytes_ += w.bytes;
  owed_.push_back(w);
  if (owed_bytes_ > settings_.owed_bytes) DropOwed();
  if (started_) RunDueWork();
}

// The journal's room is for delivery: while the store can't take them, only so much may wait there. What a
// resend came to is never dropped.
void DeadLetterManager::DropOwed() {
  while (owed_bytes_ > settings_.owed_bytes) {
    auto least = owed_.end();
    for (auto at = owed_.begin(); at != owed_.end(); ++at) {
      if (!at->resent && (least == owed_.end() || at->worth < least->worth)) least = at;
    }
    if (least == owed_.end()) return;
    const std::uint64_t number = least->number;
    owed_bytes_ -= least->bytes;
    owed_.erase(least);
    known_owed_.erase(number);
    ++counters_.owed_dropped;
    if (const Message* m = ledger_.Find(number)) {
      log_.Error("kept.lost", {{"number", number},
                               {"id", m->request.id},
                               {"class", ClassName(*m)},
                               {"reason", std::string(Name(m->failure_reason))},
                               {"lost", counters_.owed_dropped}});
    }
    chain_.on_dead_lettered(number);
  }
}

Database::Entry DeadLetterManager::EntryOf(const Message& m, const Waiting& w) const {
  Database::Entry entry;
  entry.dead_letter = FromMessage(m, settings_.node, ClassName(m), w.worth);
  entry.redriven = w.resent;
  entry.not_before = w.not_before;
  entry.identity = IdentityOf(m.request);
  return entry;
}

void DeadLetterManager::Transfer() {
  if (!in_transfer_.empty() || owed_.empty()) return;
  const auto entries = std::make_shared<std::vector<Database::Entry>>();
  std::size_t bytes = 0;
  while (!owed_.empty() && in_transfer_.size() < kBatchMessages && bytes < kBatchBytes) {
    const Waiting w = owed_.front();
    owed_.pop_front();
    const Message* m = ledger_.Find(w.number);
    if (m == nullptr || !m->dead_letter_pending) {  // its client knows its end after all
      known_owed_.erase(w.number);
      owed_bytes_ -= w.bytes;
      continue;
    }
    entries->push_back(EntryOf(*m, w));
    in_transfer_.push_back(w);
    bytes += w.bytes;
  }
  if (in_transfer_.empty()) return;
  const auto evicted = std::make_shared<Database::Evicted>();
  const bool queued = jobs_.Run(
      [entries, evicted, now = clock_.Now()](Database& db) {
        db.Store(*entries);
        *evicted = db.Evict(now);
      },
      [this, evicted](const JobError* error) { Transferred(error, *evicted); });
  if (queued) return;
  owed_.insert(owed_.begin(), in_transfer_.begin(), in_transfer_.end());
  in_transfer_.clear();
  retry_at_ = clock_.Now() + kRetry;
}

void DeadLetterManager::Transferred(const JobError* error, const Database::Evicted& evicted) {
  if (error != nullptr) {
    // Taking them in twice changes nothing, so what may be in already goes again.
    owed_.insert(owed_.begin(), in_transfer_.begin(), in_transfer_.end());
    in_transfer_.clear();
    Failed(*error);
    return RunDueWork();
  }
  if (failures_ > 0) log_.Info("kept.store_back", {{"owed", pending_transfers()}});
  failures_ = 0;
  for (const Waiting& w : std::exchange(in_transfer_, {})) {
    owed_bytes_ -= w.bytes;
    known_owed_.erase(w.number);
    if (!w.resent) ++counters_.kept;
    chain_.on_dead_lettered(w.number);
  }
  if (evicted.messages + evicted.by_age > 0) {
    counters_.evicted += evicted.messages + evicted.by_age;
    std::vector<LogField> fields = {{"for_room", evicted.messages}, {"for_age", evicted.by_age}};
    for (const auto& [name, n] : evicted.by_class) fields.emplace_back(name, n);
    log_.Warn("kept.evicted", fields);
  }
  fetch_at_ = Time(0);
  RunDueWork();
}

// --- The same message from its client ---

void DeadLetterManager::OnAccepted(const Message& m) {
  const std::uint64_t identity = IdentityOf(m.request);
  if (identity == 0 || (reconciled_ && !identities_.contains(identity))) return;
  identities_.erase(identity);
  handed_in_.push_back({identity, m.number});
  if (started_) RunDueWork();
}

bool DeadLetterManager::IsBeingRedriven(const Request& request) const {
  if (resending_.empty()) return false;
  const std::uint64_t identity = IdentityOf(request);
  return identity != 0 && resending_.contains(identity);
}

void DeadLetterManager::TellHandedIn() {
  if (telling_ || handed_in_.empty() || !reconciled_) return;
  telling_ = true;
  const auto told = std::make_shared<std::vector<HandedIn>>(handed_in_);
  const auto changed = std::make_shared<int>(0);
  const bool queued = jobs_.Run(
      [told, changed](Database& db) {
        for (const HandedIn& h : *told) *changed += db.MarkResubmitted(h.identity, h.number);
      },
      [this, told, changed](const JobError* error) {
        telling_ = false;
        if (error != nullptr) {
          Failed(*error);
        } else {
          handed_in_.erase(handed_in_.begin(),
                           handed_in_.begin() + static_cast<std::ptrdiff_t>(told->size()));
          counters_.handed_in_again += *changed;
          if (*changed > 0) log_.Info("kept.handed_in_again", {{"messages", *changed}});
        }
        RunDueWork();
      });
  if (!queued) telling_ = false;
}

// --- Sending again ---

bool DeadLetterManager::MayContinueAfterRestart(const Message& m) {
  if (m.attempts == 0 || !m.first_uncertain_attempt) return true;
  DeadLetter k = FromMessage(m, settings_.node, ClassName(m), WorthOf(m));
  k.final_status = FinalStatus::kFailed;
  RedrivePolicySettings judge = settings_.review->policy;
  judge.max_attempts = m.attempts + 1;  // the module counts them
  const RedriveDecisionResult judgement =
      DecideRedrive(k, &settings_.review->classes[static_cast<std::size_t>(m.request.message_class)], judge,
                    clock_.CurrentTimestamp());
  const bool forbidden = m.redrive_number != 0
                             ? judgement.decision == RedriveDecision::kForbidden
                             : !m.history.empty() && judgement.reason == DecisionReason::kClockUncertain;
  if (forbidden) forbidden_.insert(m.number);
  return !forbidden;
}

void DeadLetterManager::OnCallCompleted(const Message& m, const CallResult& result) {
  planner_.OnCallCompleted(m.request.destination, result.outcome, result.retry_after, clock_.Now());
}

RedrivePlanner::Load DeadLetterManager::Load() const {
  RedrivePlanner::Load load;
  load.pending_messages = ledger_.pending_count();
  for (const auto& [number, m] : ledger_.messages()) load.calls_in_flight += m.is_in_flight ? 1 : 0;
  return load;
}

// What the store says is under way and no resend carries is kept again. Only while no claim is on its way.
void DeadLetterManager::Reconcile() {
  if (reconciling_ || claiming_ > 0) return;
  std::set<DeadLetterId> under_way;
  for (const auto& [number, m] : ledger_.messages()) {
    if (m.redrive_number != 0 && (m.final_status == FinalStatus::kPending || m.dead_letter_pending))
      under_way.insert({m.redrive_node, m.redrive_number});
  }
  struct Found {
    int stray = 0;
    std::vector<std::uint64_t> identities;
    std::uint64_t highest = 0;
  };
  const auto found = std::make_shared<Found>();
  reconciling_ = true;
  const bool queued = jobs_.Run(
      [found, under_way, lost = lost_, now = clock_.Now(), node = settings_.node](Database& db) {
        found->stray = db.Reconcile(under_way, lost, now);
        found->identities = db.Identities();
        found->highest = db.HighestNumber(node);
      },
      [this, found](const JobError* error) {
        reconciling_ = false;
        if (error != nullptr) {
          Failed(*error);
          return RunDueWork();
        }
        failures_ = 0;
        reconciled_ = true;
        lost_ = false;
        generation_ = 0;  // to be asked for
        identities_.insert(found->identities.begin(), found->identities.end());
        ledger_.SkipNumbersBelow(found->highest + 1);
        log_.Info("kept.reconciled", {{"taken_back", found->stray}, {"under_way", resending_.size()}});
        RunDueWork();
      });
  if (!queued) reconciling_ = false;
}

void DeadLetterManager::Fetch() {
  if (fetching_ || claiming_ > 0) return;
  if (next_rules_ != nullptr || (rules_ != nullptr && generation_ == 0)) {
    if (next_rules_ != nullptr) rules_ = std::exchange(next_rules_, nullptr), paces_.clear();
    fetching_ = true;
    const auto generation = std::make_shared<std::int64_t>(0);
    const bool queued =
        jobs_.Run([generation, hash = next_hash_](Database& db) { *generation = db.Generation(hash); },
                  [this, generation](const JobError* error) {
                    fetching_ = false;
                    generation_ = *generation;
                    if (error != nullptr) Failed(*error);
                    RunDueWork();
                  });
    if (!queued) fetching_ = false;
    return;
  }
  const Time now = clock_.Now();
  if (rules_ == nullptr || fetch_at_ > now || planner_.in_flight_count() >= planner_.MaxInFlight()) return;
  std::erase_if(blocked_, [&](const auto& b) { return b.second <= now; });
  std::erase_if(paces_,
                [&](const auto& p) { return std::max(p.second.bound_until, p.second.spread) <= now; });
  std::vector<int> without;
  for (const auto& [destination, until] : blocked_) without.push_back(destination);
  fetching_ = true;
  struct Work {
    Database::Candidates due;
    std::map<std::string, Database::Pace> paces;
  };
  const auto work = std::make_shared<Work>();
  work->paces = paces_;
  const bool queued = jobs_.Run(
      [work, rules = rules_, review = settings_.review, generation = generation_,
       at = clock_.CurrentTimestamp(), without](Database& db) {
        work->due = db.Due(*rules, *review, generation, at, without, kCandidates, work->paces);
      },
      [this, work](const JobError* error) {
        fetching_ = false;
        for (const auto& [rule, pace] : work->paces) paces_[rule] = pace;
        Fetched(error, std::move(work->due));
      });
  if (!queued) {
    fetching_ = false;
    fetch_at_ = now + kRetry;
  }
}

void DeadLetterManager::Fetched(const JobError* error, Database::Candidates due) {
  if (error != nullptr) {
    Failed(*error);
    return RunDueWork();
  }
  failures_ = 0;
  const Time now = clock_.Now();
  Time next = now + kLookAtLeast;
  if (due.next) next = std::min(next, std::max(*due.next, now + milliseconds(10)));
  if (due.held + due.dropped > 0) {
    log_.Info("kept.reviewed", {{"held", due.held}, {"dropped", due.dropped}});
    next = now;
  }
  std::vector<Database::Candidate> granted;
  RedrivePlanner::Load load = Load();
  for (Database::Candidate& candidate : due.list) {
    const int destination = candidate.dead_letter.request.destination;
    if (stopping_) break;
    if (blocked_.contains(destination)) continue;
    if (const auto at = paces_.find(candidate.rule); at != paces_.end() && at->second.bound_until > now)
      continue;
    const RedrivePlanner::Grant grant = planner_.RequestGrant(
        candidate.rule, candidate.redrive, destination, chain_.has_usable_endpoint(destination), load, now);
    if (grant.granted()) {
      ++load.calls_in_flight;
      ++load.pending_messages;
      granted.push_back(std::move(candidate));
      continue;
    }
    next = std::min(next, grant.retry_after);
    if (grant.kind == RedrivePlanner::Grant::Kind::kAll) break;
    if (grant.kind == RedrivePlanner::Grant::Kind::kDestination) {
      blocked_[destination] = grant.retry_after;
    } else {
      paces_[candidate.rule].bound_until = grant.retry_after;
    }
  }
  for (const auto& [destination, until] : blocked_) next = std::min(next, until);
  fetch_at_ = granted.empty() && !(due.more && due.list.empty()) ? next : now;
  if (!granted.empty()) Claim(std::move(granted));
  RunDueWork();
}

void DeadLetterManager::Claim(std::vector<Database::Candidate> granted) {
  struct Work {
    std::vector<Database::Candidate> granted;
    std::vector<std::optional<DeadLetter>> claimed;
  };
  const auto work = std::make_shared<Work>();
  work->granted = std::move(granted);
  ++claiming_;
  const bool queued = jobs_.Run(
      [work](Database& db) {
        for (const Database::Candidate& c : work->granted)
          work->claimed.push_back(db.Claim(c.dead_letter.id, c.rule));
      },
      [this, work](const JobError* error) {
        --claiming_;
        if (error != nullptr) {
          // Which of them were claimed is not known: the store is asked once it works again.
          for (const Database::Candidate& c : work->granted)
            planner_.Returned(c.dead_letter.request.destination);
          reconciled_ = false;
          Failed(*error);
        } else {
          for (std::size_t i = 0; i < work->granted.size(); ++i) {
            Claimed(work->granted[i], std::move(work->claimed[i]));
          }
        }
        RunDueWork();
      });
  if (queued) return;
  --claiming_;
  for (const Database::Candidate& c : work->granted) planner_.Returned(c.dead_letter.request.destination);
  fetch_at_ = clock_.Now() + kRetry;
}

void DeadLetterManager::Claimed(const Database::Candidate& candidate, std::optional<DeadLetter> kept) {
  const int destination = candidate.dead_letter.request.destination;
  if (!kept) return planner_.Returned(destination);
  const DeadLetterId id = kept->id;
  const std::uint64_t identity = [&] {
    const auto at = std::find(settings_.review->class_names.begin(), settings_.review->class_names.end(),
                              kept->class_name);
    kept->request.message_class = static_cast<int>(at - settings_.review->class_names.begin());
    return IdentityOf(kept->request);
  }();
  // Time has passed since the review, and its client may have come.
  kept->state = DeadLetterState::kStored;
  const Timestamp now = clock_.CurrentTimestamp();
  const RedriveDecisionResult judgement =
      DecideRedrive(*kept, settings_.review->Class(kept->class_name), settings_.review->policy, now);
  const bool handed_in = std::any_of(handed_in_.begin(), handed_in_.end(), [&](const HandedIn& h) {
    return h.identity == identity && h.number > id.number;
  });
  if (stopping_ || handed_in || judgement.decision != RedriveDecision::kAllowed) {
    return GiveBack(id, destination, Time(0));
  }
  const Time deadline =
      std::min(now.wall_time + candidate.redrive.deadline, judgement.latest_send_time.value_or(Time::max()));
  if (!chain_.accept_redrive(ToMessage(*kept, deadline))) {
    return GiveBack(id, destination, now.wall_time + seconds(1));
  }
  ++counters_.resends;
  if (identity != 0) resending_.insert(identity);
}

void DeadLetterManager::GiveBack(const DeadLetterId& id, int destination, Time not_before) {
  planner_.Returned(destination);
  const bool queued = jobs_.Run([id, not_before](Database& db) { db.Unclaim(id, not_before); },
                                [this](const JobError* error) {
                                  if (error == nullptr) return;
                                  reconciled_ = false;
                                  Failed(*error);
                                });
  if (!queued) reconciled_ = false;
}

}  // namespace sagetally::dead_letter
