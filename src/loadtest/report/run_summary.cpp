#include "loadtest/report/run_summary.h"

#include <algorithm>
#include <string>

namespace sagetally::loadtest {
namespace {

// The protocol's tolerance: a message counts as lost from 300 ms after its deadline.
constexpr std::int64_t kLossGraceUs = 300'000;
// A message that waited longer for its first response counts as FaultImpact::waited_long.
constexpr std::int64_t kLongWaitUs = 20'000;

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// What the stub servers observed of one message.
struct ObservedOutcome {
  std::int64_t delivered_us = kNever;
  std::int64_t undeliverable_us = kNever;
  std::int64_t deferred_us = kNever;
  int deliveries = 0;
  int notices = 0;  // reports of the message as undeliverable or deferred
  int effects = 0;
  int effects_of_one_submission = 0;    // consecutive effects of `effect_submission`
  std::int32_t effect_submission = -1;  // the submission of the latest effect; -1 if there was none
};

void KeepEarliest(std::int64_t& time_us, std::int64_t observed_us) {
  time_us = time_us == kNever ? observed_us : std::min(time_us, observed_us);
}

std::int64_t AsCount(bool condition) { return condition ? 1 : 0; }

// Builds a summary in three steps: AddObservations(), AddRecord() for each record, AddBucketLatencies().
class SummaryBuilder {
 public:
  SummaryBuilder(const Scenario& scenario, bool outcomes_observed, std::int64_t ended_us,
                 std::span<const FaultSpan> faults)
      : scenario_(scenario), outcomes_observed_(outcomes_observed), ended_us_(ended_us), faults_(faults) {
    summary_.fault_impacts.resize(faults.size());
    for (const MessageClass& message_class : scenario.classes) summary_.classes[message_class.name] = {};
  }

  void AddObservations(std::span<const MessageRecord> records, std::span<const Observation> observations,
                       std::size_t messages, std::uint32_t run) {
    observed_outcomes_.resize(messages);
    accepted_submissions_.assign(messages, -1);
    for (const MessageRecord& record : records) {
      accepted_submissions_[static_cast<std::size_t>(record.planned.number)] = record.accepted_submission;
    }
    for (const Observation& observation : observations) {
      const auto id = ParseSubmissionId(observation.id);
      if (!id || id->run != run) {
        ++summary_.foreign_observations;
        continue;
      }
      if (static_cast<std::size_t>(id->number) >= messages) {
        AddViolation("unknown message", observation.id,
                     "a stub server observed a message that was never offered");
        continue;
      }
      AddObservation(*id, observation);
    }
  }

  void AddRecord(const MessageRecord& record) {
    const auto bucket = static_cast<std::size_t>(std::max<std::int64_t>(0, record.planned.at_us) / kBucketUs);
    if (summary_.buckets.size() <= bucket) summary_.buckets.resize(bucket + 1);
    const FinalOutcome outcome = OutcomeOf(record);
    ++summary_.offered;
    ++summary_.outcomes[static_cast<std::size_t>(outcome)];
    ++summary_.classes[ClassOf(record).name][static_cast<std::size_t>(outcome)];
    ++summary_.destinations[record.planned.destination];
    summary_.submissions += record.submissions;
    AddLatencies(record);
    AddToBucket(summary_.buckets[bucket], record, outcome);
    for (std::size_t i = 0; i < faults_.size(); ++i) {
      if (IsDueDuring(record, faults_[i])) AddToImpact(summary_.fault_impacts[i], record, outcome);
    }
  }

  // Computes the buckets' latencies. `sorted` is in order of intended time, so that the same two histograms
  // can be reused for one bucket after another.
  void AddBucketLatencies(std::span<const MessageRecord* const> sorted) {
    LatencyHistogram corrected;
    LatencyHistogram as_sent;
    for (std::size_t i = 0; i < sorted.size();) {
      const std::int64_t number = sorted[i]->planned.at_us / kBucketUs;
      corrected.Clear();
      as_sent.Clear();
      for (; i < sorted.size() && sorted[i]->planned.at_us / kBucketUs == number; ++i) {
        const MessageRecord& record = *sorted[i];
        if (record.responded_us == kNever || record.sent_us == kNever) continue;
        corrected.Add(static_cast<double>(record.responded_us - record.intended_us));
        as_sent.Add(static_cast<double>(record.responded_us - record.sent_us));
      }
      TimeBucket& bucket = summary_.buckets[static_cast<std::size_t>(number)];
      bucket.corrected_p50 = corrected.Quantile(0.5);
      bucket.corrected_p99 = corrected.Quantile(0.99);
      bucket.corrected_max = corrected.max();
      bucket.as_sent_p99 = as_sent.Quantile(0.99);
      bucket.as_sent_max = as_sent.max();
    }
  }

  RunSummary TakeSummary() { return std::move(summary_); }

 private:
  void AddViolation(const std::string& rule, const std::string& id, const std::string& detail) {
    ++summary_.violation_count;
    if (summary_.violations.size() < kMaxRecordedViolations) {
      summary_.violations.push_back({rule, id, detail});
    }
  }

  void AddObservation(const SubmissionId& id, const Observation& observation) {
    const auto number = static_cast<std::size_t>(id.number);
    ObservedOutcome& outcome = observed_outcomes_[number];
    if (observation.kind != ObservationKind::kEffect && id.submission != accepted_submissions_[number]) {
      // The client has abandoned this submission, so this is no outcome of the message.
      ++summary_.abandoned_observations;
      return;
    }
    switch (observation.kind) {
      case ObservationKind::kDelivered:
        KeepEarliest(outcome.delivered_us, observation.at_us);
        ++outcome.deliveries;
        break;
      case ObservationKind::kEffect:
        AddEffect(id, observation, outcome);
        break;
      case ObservationKind::kUndeliverable:
        KeepEarliest(outcome.undeliverable_us, observation.at_us);
        ++outcome.notices;
        break;
      case ObservationKind::kDeferred:
        KeepEarliest(outcome.deferred_us, observation.at_us);
        ++outcome.notices;
        break;
    }
  }

  void AddEffect(const SubmissionId& id, const Observation& observation, ObservedOutcome& outcome) {
    ++outcome.effects;
    const bool is_same_submission = outcome.effect_submission == id.submission;
    outcome.effects_of_one_submission = is_same_submission ? outcome.effects_of_one_submission + 1 : 1;
    outcome.effect_submission = id.submission;
    if (id.idempotency == Idempotency::kNotIdempotent && outcome.effects_of_one_submission == 2) {
      AddViolation("took effect twice", observation.id,
                   "a message that may not be repeated took effect twice");
    }
  }

  const MessageClass& ClassOf(const MessageRecord& record) const {
    return scenario_
        .classes[static_cast<std::size_t>(record.planned.message_class) % scenario_.classes.size()];
  }

  FinalOutcome OutcomeOf(const MessageRecord& record) {
    if (record.sent_us == kNever) return FinalOutcome::kUnsent;
    if (record.accepted_us == kNever) return OutcomeOfUnaccepted(record);
    if (!outcomes_observed_) return FinalOutcome::kNotObserved;
    const ObservedOutcome& observed = observed_outcomes_[static_cast<std::size_t>(record.planned.number)];
    const MessageClass& message_class = ClassOf(record);
    const std::string id = std::to_string(record.planned.number);
    if (observed.delivered_us != kNever && observed.notices > 0) {
      AddViolation("two ends", id, "delivered, and also reported as undeliverable or deferred");
    }
    if (observed.delivered_us != kNever) {
      const auto objective_us = static_cast<std::int64_t>(message_class.latency_objective_ms * 1000);
      const bool is_within_objective = observed.delivered_us - record.intended_us <= objective_us;
      return is_within_objective ? FinalOutcome::kWithinObjective : FinalOutcome::kLate;
    }
    if (observed.undeliverable_us != kNever) return FinalOutcome::kUndeliverable;
    if (observed.deferred_us != kNever) return FinalOutcome::kDeferred;
    const auto deadline_us = static_cast<std::int64_t>(message_class.deadline_ms * 1000);
    if (ended_us_ <= record.intended_us + deadline_us + kLossGraceUs) return FinalOutcome::kPending;
    AddViolation("lost", id,
                 "accepted, but neither delivered nor reported as undeliverable or deferred in time");
    return FinalOutcome::kLost;
  }

  static FinalOutcome OutcomeOfUnaccepted(const MessageRecord& record) {
    if (record.last_status == 0) return FinalOutcome::kUnanswered;
    const bool is_rejected =
        record.last_status == kTooManyRequests || record.last_status == kServiceUnavailable;
    return is_rejected ? FinalOutcome::kRejected : FinalOutcome::kFailed;
  }

  void AddLatencies(const MessageRecord& record) {
    const auto since_intended = [&](std::int64_t time_us) {
      return static_cast<double>(time_us - record.intended_us);
    };
    if (record.due_us != kNever) summary_.lag.Add(since_intended(record.due_us));
    if (record.sent_us == kNever) return;
    summary_.connection_wait.Add(static_cast<double>(record.sent_us - record.due_us));
    if (record.responded_us != kNever) {
      summary_.response_corrected.Add(since_intended(record.responded_us));
      summary_.response_as_sent.Add(static_cast<double>(record.responded_us - record.sent_us));
      if (record.first_status == 0) ++summary_.unanswered_count;
    }
    if (record.accepted_us == kNever) return;
    summary_.accepted.Add(since_intended(record.accepted_us));
    const ObservedOutcome& observed = observed_outcomes_[static_cast<std::size_t>(record.planned.number)];
    if (observed.delivered_us != kNever) summary_.delivered.Add(since_intended(observed.delivered_us));
    const std::int64_t notified_us = std::max(observed.undeliverable_us, observed.deferred_us);
    if (observed.delivered_us == kNever && notified_us != kNever) {
      summary_.undelivered.Add(since_intended(notified_us));
    }
  }

  static bool IsDueDuring(const MessageRecord& record, const FaultSpan& fault) {
    const double at_ms = static_cast<double>(record.planned.at_us) / 1000;
    const bool is_same_destination = !fault.destination || *fault.destination == record.planned.destination;
    return is_same_destination && at_ms >= fault.from_ms && at_ms < fault.from_ms + fault.for_ms;
  }

  static void AddToImpact(FaultImpact& impact, const MessageRecord& record, FinalOutcome outcome) {
    ++impact.offered;
    impact.accepted += AsCount(record.accepted_us != kNever);
    impact.within_objective += AsCount(outcome == FinalOutcome::kWithinObjective);
    const bool has_response = record.responded_us != kNever && record.first_status != 0;
    const std::int64_t waited_us = record.responded_us - record.intended_us;
    impact.waited_long += AsCount(!has_response || waited_us > kLongWaitUs);
    if (record.responded_us != kNever) {
      impact.max_response_us = std::max(impact.max_response_us, static_cast<double>(waited_us));
    }
  }

  static void AddToBucket(TimeBucket& bucket, const MessageRecord& record, FinalOutcome outcome) {
    const bool is_delivered = outcome == FinalOutcome::kWithinObjective || outcome == FinalOutcome::kLate;
    const bool is_undelivered = outcome == FinalOutcome::kUndeliverable ||
                                outcome == FinalOutcome::kDeferred || outcome == FinalOutcome::kLost;
    ++bucket.offered;
    bucket.accepted += AsCount(record.accepted_us != kNever);
    bucket.unsent += AsCount(outcome == FinalOutcome::kUnsent);
    bucket.rejected += AsCount(outcome == FinalOutcome::kRejected);
    bucket.failed += AsCount(outcome == FinalOutcome::kFailed);
    bucket.unanswered += AsCount(outcome == FinalOutcome::kUnanswered);
    bucket.delivered += AsCount(is_delivered);
    bucket.undelivered += AsCount(is_undelivered);
  }

  const Scenario& scenario_;
  const bool outcomes_observed_;
  const std::int64_t ended_us_;
  const std::span<const FaultSpan> faults_;
  std::vector<ObservedOutcome> observed_outcomes_;  // by message number
  std::vector<std::int8_t> accepted_submissions_;   // by message number; -1 if none
  RunSummary summary_;
};

}  // namespace

const char* Name(FinalOutcome outcome) {
  // Names in result files and tables, indexed by FinalOutcome.
  static constexpr const char* kNames[kFinalOutcomeCount] = {
      "unsent",        "refused",  "failed", "unanswered", "in_aim",   "late",
      "undeliverable", "deferred", "lost",   "pending",    "unwatched"};
  return kNames[static_cast<int>(outcome)];
}

RunSummary Summarize(const Scenario& scenario, std::span<const MessageRecord> records,
                     std::span<const Observation> observations, bool outcomes_observed, std::int64_t ended_us,
                     std::uint32_t run, std::span<const FaultSpan> faults) {
  SummaryBuilder builder(scenario, outcomes_observed, ended_us, faults);
  std::vector<const MessageRecord*> sorted;
  sorted.reserve(records.size());
  std::int64_t messages = 0;
  for (const MessageRecord& record : records) {
    sorted.push_back(&record);
    messages = std::max(messages, record.planned.number + 1);
  }
  std::sort(sorted.begin(), sorted.end(), [](const MessageRecord* a, const MessageRecord* b) {
    return a->planned.number < b->planned.number;
  });
  builder.AddObservations(records, observations, static_cast<std::size_t>(messages), run);
  for (const MessageRecord* record : sorted) builder.AddRecord(*record);
  std::sort(sorted.begin(), sorted.end(), [](const MessageRecord* a, const MessageRecord* b) {
    return a->planned.at_us < b->planned.at_us;
  });
  builder.AddBucketLatencies(sorted);
  return builder.TakeSummary();
}

}  // namespace sagetally::loadtest
