// The real journal and ledger on the disk in memory and a clock of the test's own, beside what must be known.
#ifndef SAGETALLY_TESTS_JOURNAL_JOURNAL_WORLD_H_
#define SAGETALLY_TESTS_JOURNAL_JOURNAL_WORLD_H_

#undef NDEBUG
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cassert>
#include <cerrno>
#include <cstdio>
#include <optional>

#include "journal/attempt_replay.h"
#include "journal/file_system/fault_injecting_file_system.h"
#include "journal/segment_journal.h"

namespace sagetally {

using Fault = FaultInjectingFileSystem::Fault;
using Step = FaultInjectingFileSystem::Step;

struct TestClock : Clock {
  Time Now() const override { return now; }
  Timestamp CurrentTimestamp() const override { return {now, now, 9}; }
  Time now{1'700'000'000'000'000};
};

// What a message is after a restart, whatever became of its last call.
inline std::string Canonical(const Message& m) {
  const bool may =
      m.final_status != FinalStatus::kDelivered && (m.first_uncertain_attempt.has_value() || m.is_in_flight);
  return m.request.id + " class " + std::to_string(m.request.message_class) + " body " +
         std::to_string(m.final_status == FinalStatus::kPending ? m.request.body.size() : 0) + " attempts " +
         std::to_string(m.attempts) + (may ? " may" : "") + " end " +
         std::to_string(static_cast<int>(m.final_status)) + (m.notification_pending ? " owed" : "") +
         (m.dead_letter_pending ? " kept" : "") + " notes " + std::to_string(m.history.size());
}
using View = std::map<std::uint64_t, std::string>;
inline View ViewOf(const MessageTable& ledger) {
  View view;
  for (const auto& [number, m] : ledger.messages()) {
    // With its call out an ended message waits; a restart lets it go.
    const bool goes = m.final_status != FinalStatus::kPending && !m.notification_pending &&
                      !m.dead_letter_pending && m.request.protocol == IngressProtocol::kPlatform;
    if (!goes) view[number] = Canonical(m);
  }
  return view;
}

// One process.
struct Life : JournalHost {
  Life(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings)
      : clock(clock), journal(disk, settings, ledger, clock, log, *this) {}

  void ScheduleTurn(Duration d) override { due = clock.now + d; }
  void OnProgress() override { ++progress; }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    syncs.emplace_back(std::move(file), std::move(done));
  }
  void OnFenced() override { fenced = true; }

  void Pass(Duration d) {  // lets time pass, turn by turn
    const Time until = clock.now + d;
    while (due <= until) {
      clock.now = std::max(clock.now, due);
      due = Time::max();
      journal.RunDueWork();
      FinishSyncs();
    }
    clock.now = until;
  }
  void FinishSyncs() {
    for (auto& [file, done] : std::exchange(syncs, {})) done(file->Sync());
  }

  Message* Take(const std::string& id, std::size_t body, int cls = 0) {
    Message m;
    m.request.id = id;
    m.request.idempotency_key = "key-" + id;
    m.request.message_class = cls;
    m.request.body = std::string(body, 'b');
    m.deadline = clock.now + std::chrono::seconds(10);
    Message& added = ledger.Add(std::move(m));
    const Message* one[] = {&added};
    if (journal.AppendAccepted(one)) return &added;
    ledger.Remove(added.number);
    return nullptr;
  }
  bool TakeBatch(const std::string& id, int count, std::size_t body) {
    std::vector<const Message*> all;
    for (int i = 0; i < count; ++i) {
      Message m;
      m.request.id = id + "." + std::to_string(i);
      m.request.protocol = IngressProtocol::kCloudEvents;
      m.request.body = std::string(body, 'e');
      m.request.attributes = {{"source", "/test"}, {"id", m.request.id}};
      all.push_back(&ledger.Add(std::move(m)));
    }
    if (journal.AppendAccepted(all)) return true;
    for (const Message* m : all) ledger.Remove(m->number);
    return false;
  }
  void Attempt(Message& m) {
    m.is_in_flight = true;
    m.attempts += 1;
    m.in_flight_since = clock.now;
    m.in_flight_endpoint = "s-1";
    journal.AppendAttempt(m);
  }
  void Outcome(Message& m, sagetally::Outcome outcome) {
    m.is_in_flight = false;
    if (MayHaveRun(outcome) && !m.first_uncertain_attempt) m.first_uncertain_attempt = m.in_flight_since;
    journal.AppendOutcome(m, outcome);
  }
  void End(Message& m, enum FinalStatus end) {
    ledger.Complete(m, end, Duration(0), clock.now);
    journal.AppendCompletion(m);
    ledger.RemoveIfFinished(m);
  }
  void Told(Message& m) {
    if (m.is_in_flight) MarkUncertainAttempt(m);
    m.is_in_flight = false;
    m.notification_pending = false;
    journal.AppendNotified(m);
    ledger.RemoveIfFinished(m);
  }

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  MessageTable ledger;
  Time due = Time::max();
  std::vector<std::pair<std::shared_ptr<File>, std::function<void(int)>>> syncs;
  int progress = 0;
  bool fenced = false;
  SegmentJournal journal;
};

inline JournalSettings SmallJournal() {
  JournalSettings s;
  s.folder = "/state/journal";
  s.format1_path = "/state/log";
  s.node_name = "n0";
  s.disk_budget = 160'000;
  s.segment_bytes = 4'096;
  s.class_names = {"aviso", "pedido", "pagamento"};
  return s;
}

// One step of a workload drawn from `random`: messages come, are called, end and are told, some wait for
// long.
inline void OneStep(Life& life, boost::random::mt19937_64& random, int& names) {
  const auto draw = [&](int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); };
  life.Pass(std::chrono::milliseconds(draw(3)));
  std::vector<Message*> live, owed;
  for (const auto& [number, m] : life.ledger.messages()) {
    if (m.final_status == FinalStatus::kPending) live.push_back(life.ledger.Find(number));
    if (m.notification_pending) owed.push_back(life.ledger.Find(number));
  }
  const int what = draw(9);
  if (live.empty() || (what < 3 && live.size() < 40)) {
    if (draw(9) == 0) {
      life.TakeBatch("e" + std::to_string(names++), 3, 100);
    } else {
      life.Take("m" + std::to_string(names++), draw(7) == 0 ? 3000 : 150, draw(2));
    }
    return;
  }
  if (!owed.empty() && what == 3) return life.Told(*owed[draw(static_cast<int>(owed.size()) - 1)]);
  // The latest ones mostly, so that some old ones stay and must be copied forward.
  const std::size_t back = static_cast<std::size_t>(draw(draw(5) == 0 ? 39 : 4));
  Message& m = *live[live.size() - 1 - std::min(back, live.size() - 1)];
  if (!m.is_in_flight && m.attempts < 6 && what < 7) return life.Attempt(m);
  if (m.is_in_flight && what < 8)
    return life.Outcome(m, what % 2 == 0 ? Outcome::kRejected : Outcome::kReset);
  if (what == 8 && m.attempts == 0) return life.End(m, FinalStatus::kFailed);
  // A delivered one's call has come back; one that failed may end with its call out.
  const bool delivered = what % 2 != 0;
  if (delivered) m.is_in_flight = false;
  life.End(m, delivered ? FinalStatus::kDelivered : FinalStatus::kFailed);
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_JOURNAL_WORLD_H_
