#include "loadtest/report/account.h"

#include <algorithm>
#include <string>

namespace sagetally::loadtest {
namespace {

// The protocol's leeway: a message is lost 300 ms after its time is up.
constexpr std::int64_t kLeewayUs = 300'000;
constexpr std::size_t kMostFindings = 100;
constexpr std::int64_t kWaitedUs = 20'000;

struct Ends {  // what stand-ins saw of one message
  std::int64_t delivered_us = kNever, undeliverable_us = kNever, deferred_us = kNever;
  int deliveries = 0, notices = 0, effects = 0, effects_of_one_hand_in = 0;
  std::int32_t effect_hand_in = -1;
};

class Settling {
 public:
  Settling(const Scenario& scenario, bool watched, std::int64_t over_us, std::span<const FaultSpan> faults)
      : scenario_(scenario), watched_(watched), over_us_(over_us), faults_(faults) {
    account_.met.resize(faults.size());
    for (const ClassMix& c : scenario.classes) account_.classes[c.name] = {};
  }

  void See(std::span<const Record> records, std::span<const Sighting> sightings, std::size_t messages,
           std::uint32_t run) {
    ends_.resize(messages);
    taken_hand_in_.assign(messages, -1);
    for (const Record& r : records)
      taken_hand_in_[static_cast<std::size_t>(r.planned.number)] = r.taken_hand_in;
    for (const Sighting& s : sightings) {
      const auto id = ParseHandInId(s.id);
      if (!id || id->run != run) {
        ++account_.strangers;
        continue;
      }
      if (static_cast<std::size_t>(id->number) >= messages) {
        Find("unknown message", s.id, "a stand-in saw a message that was never offered");
        continue;
      }
      One(*id, s);
    }
  }

  void Add(const Record& r) {
    const std::size_t bucket =
        static_cast<std::size_t>(std::max<std::int64_t>(0, r.planned.at_us) / kBucketUs);
    if (account_.series.size() <= bucket) account_.series.resize(bucket + 1);
    const Fate fate = FateOf(r);
    ++account_.offered;
    ++account_.fates[static_cast<std::size_t>(fate)];
    ++account_.classes[ClassOf(r).name][static_cast<std::size_t>(fate)];
    ++account_.destinations[r.planned.destination];
    account_.hand_ins += r.hand_ins;
    Latencies(r);
    Count(account_.series[bucket], r, fate);
    for (std::size_t i = 0; i < faults_.size(); ++i) {
      const FaultSpan& fault = faults_[i];
      const double at_ms = static_cast<double>(r.planned.at_us) / 1000;
      const bool there = !fault.destination || *fault.destination == r.planned.destination;
      if (there && at_ms >= fault.from_ms && at_ms < fault.from_ms + fault.for_ms)
        Meet(account_.met[i], r, fate);
    }
  }

  // Records by intended time: one histogram serves bucket after bucket.
  void Series(std::span<const Record* const> sorted) {
    LatencyHistogram corrected, as_sent;
    for (std::size_t i = 0; i < sorted.size();) {
      const std::int64_t bucket = sorted[i]->planned.at_us / kBucketUs;
      corrected.Clear();
      as_sent.Clear();
      for (; i < sorted.size() && sorted[i]->planned.at_us / kBucketUs == bucket; ++i) {
        const Record& r = *sorted[i];
        if (r.answered_us == kNever || r.sent_us == kNever) continue;
        corrected.Add(static_cast<double>(r.answered_us - r.intended_us));
        as_sent.Add(static_cast<double>(r.answered_us - r.sent_us));
      }
      Bucket& b = account_.series[static_cast<std::size_t>(bucket)];
      b.corrected_p50 = corrected.Quantile(0.5);
      b.corrected_p99 = corrected.Quantile(0.99);
      b.corrected_max = corrected.max();
      b.as_sent_p99 = as_sent.Quantile(0.99);
      b.as_sent_max = as_sent.max();
    }
  }

  Account Take() { return std::move(account_); }

 private:
  void Find(const std::string& rule, const std::string& id, const std::string& detail) {
    ++account_.findings_count;
    if (account_.findings.size() < kMostFindings) account_.findings.push_back({rule, id, detail});
  }

  void One(const HandInId& id, const Sighting& s) {
    const auto at = static_cast<std::size_t>(id.number);
    Ends& e = ends_[at];
    if (s.kind != SeenKind::kEffect && id.hand_in != taken_hand_in_[at]) {
      ++account_.given_up;  // counts for nothing
      return;
    }
    const auto first = [&](std::int64_t& at) { at = at == kNever ? s.at_us : std::min(at, s.at_us); };
    switch (s.kind) {
      case SeenKind::kDelivered:
        first(e.delivered_us);
        ++e.deliveries;
        break;
      case SeenKind::kEffect:
        ++e.effects;
        e.effects_of_one_hand_in = e.effect_hand_in == id.hand_in ? e.effects_of_one_hand_in + 1 : 1;
        e.effect_hand_in = id.hand_in;
        if (id.repeat == Repeat::kNever && e.effects_of_one_hand_in == 2)
          Find("took effect twice", s.id, "a message that may not be repeated took effect twice");
        break;
      case SeenKind::kUndeliverable:
        first(e.undeliverable_us);
        ++e.notices;
        break;
      case SeenKind::kDeferred:
        first(e.deferred_us);
        ++e.notices;
        break;
    }
  }

  const ClassMix& ClassOf(const Record& r) const {
    return scenario_.classes[static_cast<std::size_t>(r.planned.message_class) % scenario_.classes.size()];
  }

  Fate FateOf(const Record& r) {
    if (r.sent_us == kNever) return Fate::kUnsent;
    if (r.taken_us == kNever) {
      if (r.last_code == 0) return Fate::kUnanswered;
      return r.last_code == 429 || r.last_code == 503 ? Fate::kRefused : Fate::kFailed;
    }
    if (!watched_) return Fate::kUnwatched;
    const Ends& e = ends_[static_cast<std::size_t>(r.planned.number)];
    const ClassMix& c = ClassOf(r);
    const std::string id = std::to_string(r.planned.number);
    if (e.delivered_us != kNever && e.notices > 0)
      Find("two ends", id, "delivered, and told as undelivered too");
    if (e.delivered_us != kNever) {
      return e.delivered_us - r.intended_us <= static_cast<std::int64_t>(c.aim_ms * 1000) ? Fate::kInAim
                                                                                          : Fate::kLate;
    }
    if (e.undeliverable_us != kNever) return Fate::kUndeliverable;
    if (e.deferred_us != kNever) return Fate::kDeferred;
    if (over_us_ <= r.intended_us + static_cast<std::int64_t>(c.deadline_ms * 1000) + kLeewayUs)
      return Fate::kPending;
    Find("lost", id, "taken, and neither delivered nor ended in its time");
    return Fate::kLost;
  }

  void Latencies(const Record& r) {
    Account& a = account_;
    const auto since = [&](std::int64_t at) { return static_cast<double>(at - r.intended_us); };
    if (r.due_us != kNever) a.lag.Add(since(r.due_us));
    if (r.sent_us == kNever) return;
    a.connection_wait.Add(static_cast<double>(r.sent_us - r.due_us));
    if (r.answered_us != kNever) {
      a.answer_corrected.Add(since(r.answered_us));
      a.answer_as_sent.Add(static_cast<double>(r.answered_us - r.sent_us));
      if (r.first_code == 0) ++a.answers_cut;
    }
    if (r.taken_us == kNever) return;
    a.taken.Add(since(r.taken_us));
    const Ends& e = ends_[static_cast<std::size_t>(r.planned.number)];
    if (e.delivered_us != kNever) a.delivered.Add(since(e.delivered_us));
    const std::int64_t ended = std::max(e.undeliverable_us, e.deferred_us);
    if (e.delivered_us == kNever && ended != kNever) a.ended.Add(since(ended));
  }

  static void Meet(Met& met, const Record& r, Fate fate) {
    ++met.offered;
    met.taken += r.taken_us != kNever ? 1 : 0;
    met.in_aim += fate == Fate::kInAim ? 1 : 0;
    const bool answered = r.answered_us != kNever && r.first_code != 0;
    met.waited += !answered || r.answered_us - r.intended_us > kWaitedUs ? 1 : 0;
    if (r.answered_us != kNever)
      met.answer_max_us = std::max(met.answer_max_us, static_cast<double>(r.answered_us - r.intended_us));
  }

  static void Count(Bucket& b, const Record& r, Fate fate) {
    ++b.offered;
    if (r.taken_us != kNever) ++b.taken;
    b.unsent += fate == Fate::kUnsent ? 1 : 0;
    b.refused += fate == Fate::kRefused ? 1 : 0;
    b.failed += fate == Fate::kFailed ? 1 : 0;
    b.unanswered += fate == Fate::kUnanswered ? 1 : 0;
    b.delivered += fate == Fate::kInAim || fate == Fate::kLate ? 1 : 0;
    b.undelivered += fate == Fate::kUndeliverable || fate == Fate::kDeferred || fate == Fate::kLost ? 1 : 0;
  }

  const Scenario& scenario_;
  const bool watched_;
  const std::int64_t over_us_;
  const std::span<const FaultSpan> faults_;
  std::vector<Ends> ends_;
  std::vector<std::int8_t> taken_hand_in_;
  Account account_;
};

}  // namespace

const char* Name(Fate fate) {
  static constexpr const char* kNames[kFates] = {"unsent", "refused", "failed",        "unanswered",
                                                 "in_aim", "late",    "undeliverable", "deferred",
                                                 "lost",   "pending", "unwatched"};
  return kNames[static_cast<int>(fate)];
}

Account Settle(const Scenario& scenario, std::span<const Record> records, std::span<const Sighting> sightings,
               bool watched, std::int64_t over_us, std::uint32_t run, std::span<const FaultSpan> faults) {
  Settling settling(scenario, watched, over_us, faults);
  std::vector<const Record*> sorted;
  sorted.reserve(records.size());
  std::int64_t messages = 0;
  for (const Record& r : records) {
    sorted.push_back(&r);
    messages = std::max(messages, r.planned.number + 1);
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const Record* a, const Record* b) { return a->planned.number < b->planned.number; });
  settling.See(records, sightings, static_cast<std::size_t>(messages), run);
  for (const Record* r : sorted) settling.Add(*r);
  std::sort(sorted.begin(), sorted.end(),
            [](const Record* a, const Record* b) { return a->planned.at_us < b->planned.at_us; });
  settling.Series(sorted);
  return settling.Take();
}

}  // namespace sagetally::loadtest
