// The real journal and message table on a file system in memory with a clock of the test's own, a random
// workload, and descriptions of what must be recovered.
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

// What is known of a message after a restart, whatever became of its last attempt.
inline std::string Describe(const Message& m) {
  const bool is_uncertain =
      m.final_status != FinalStatus::kDelivered && (m.first_uncertain_attempt.has_value() || m.is_in_flight);
  return m.request.id + " class " + std::to_string(m.request.message_class) + " body " +
         std::to_string(m.final_status == FinalStatus::kPending ? m.request.body.size() : 0) + " attempts " +
         std::to_string(m.attempts) + (is_uncertain ? " uncertain" : "") + " status " +
         std::to_string(static_cast<int>(m.final_status)) +
         (m.notification_pending ? " notification pending" : "") +
         (m.dead_letter_pending ? " dead letter pending" : "") + " history " +
         std::to_string(m.history.size());
}
// By message number.
using Descriptions = std::map<std::uint64_t, std::string>;
inline Descriptions DescribeAll(const MessageTable& messages) {
  Descriptions descriptions;
  for (const auto& [number, m] : messages.messages()) {
    // A message that ended with an attempt in flight stays until that ends; a restart removes it.
    const bool is_removed_by_restart = m.final_status != FinalStatus::kPending && !m.notification_pending &&
                                       !m.dead_letter_pending &&
                                       m.request.protocol == IngressProtocol::kPlatform;
    if (!is_removed_by_restart) descriptions[number] = Describe(m);
  }
  return descriptions;
}

// One process that has the journal open, and its event loop.
struct JournalProcess : JournalHost {
  JournalProcess(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings)
      : clock(clock), journal(disk, settings, messages, clock, log, *this) {}

  void ScheduleTurn(Duration d) override { due = clock.now + d; }
  void OnProgress() override { ++progress; }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    syncs.emplace_back(std::move(file), std::move(done));
  }
  void OnFenced() override { fenced = true; }

  // Does the journal's work as it falls due.
  void AdvanceTime(Duration d) {
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

  // Null if the journal rejects it.
  Message* Accept(const std::string& id, std::size_t body, int message_class = 0) {
    Message m;
    m.request.id = id;
    m.request.idempotency_key = "key-" + id;
    m.request.message_class = message_class;
    m.request.body = std::string(body, 'b');
    m.deadline = clock.now + std::chrono::seconds(10);
    Message& added = messages.Add(std::move(m));
    const Message* one[] = {&added};
    if (journal.AppendAccepted(one)) return &added;
    messages.Remove(added.number);
    return nullptr;
  }
  bool AcceptBatch(const std::string& id, int count, std::size_t body) {
    std::vector<const Message*> all;
    for (int i = 0; i < count; ++i) {
      Message m;
      m.request.id = id + "." + std::to_string(i);
      m.request.protocol = IngressProtocol::kCloudEvents;
      m.request.body = std::string(body, 'e');
      m.request.attributes = {{"source", "/test"}, {"id", m.request.id}};
      all.push_back(&messages.Add(std::move(m)));
    }
    if (journal.AppendAccepted(all)) return true;
    for (const Message* m : all) messages.Remove(m->number);
    return false;
  }
  void StartAttempt(Message& m) {
    m.is_in_flight = true;
    m.attempts += 1;
    m.in_flight_since = clock.now;
    m.in_flight_endpoint = "s-1";
    journal.AppendAttempt(m);
  }
  void FinishAttempt(Message& m, sagetally::Outcome outcome) {
    m.is_in_flight = false;
    if (MayHaveRun(outcome) && !m.first_uncertain_attempt) m.first_uncertain_attempt = m.in_flight_since;
    journal.AppendOutcome(m, outcome);
  }
  void Complete(Message& m, enum FinalStatus end) {
    messages.Complete(m, end, Duration(0), clock.now);
    journal.AppendCompletion(m);
    messages.RemoveIfFinished(m);
  }
  void AcknowledgeNotification(Message& m) {
    if (m.is_in_flight) MarkUncertainAttempt(m);
    m.is_in_flight = false;
    m.notification_pending = false;
    journal.AppendNotified(m);
    messages.RemoveIfFinished(m);
  }

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  MessageTable messages;
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

// One step of a workload drawn from `random`: messages are accepted, attempted, completed and their clients
// notified; some wait for long. `names` counts the names given so far.
inline void RunRandomStep(JournalProcess& process, boost::random::mt19937_64& random, int& names) {
  const auto draw = [&](int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); };
  process.AdvanceTime(std::chrono::milliseconds(draw(3)));
  std::vector<Message*> pending, unnotified;
  for (const auto& [number, m] : process.messages.messages()) {
    if (m.final_status == FinalStatus::kPending) pending.push_back(process.messages.Find(number));
    if (m.notification_pending) unnotified.push_back(process.messages.Find(number));
  }
  const int action = draw(9);
  if (pending.empty() || (action < 3 && pending.size() < 40)) {
    if (draw(9) == 0) {
      process.AcceptBatch("e" + std::to_string(names++), 3, 100);
    } else {
      process.Accept("m" + std::to_string(names++), draw(7) == 0 ? 3000 : 150, draw(2));
    }
    return;
  }
  if (!unnotified.empty() && action == 3)
    return process.AcknowledgeNotification(*unnotified[draw(static_cast<int>(unnotified.size()) - 1)]);
  // Mostly the latest messages, so that some old ones stay and must be copied forward.
  const std::size_t back = static_cast<std::size_t>(draw(draw(5) == 0 ? 39 : 4));
  Message& m = *pending[pending.size() - 1 - std::min(back, pending.size() - 1)];
  if (!m.is_in_flight && m.attempts < 6 && action < 7) return process.StartAttempt(m);
  if (m.is_in_flight && action < 8)
    return process.FinishAttempt(m, action % 2 == 0 ? Outcome::kRejected : Outcome::kReset);
  if (action == 8 && m.attempts == 0) return process.Complete(m, FinalStatus::kFailed);
  // A delivered message's attempt has ended; one that failed may end with an attempt in flight.
  const bool delivered = action % 2 != 0;
  if (delivered) m.is_in_flight = false;
  process.Complete(m, delivered ? FinalStatus::kDelivered : FinalStatus::kFailed);
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_JOURNAL_WORLD_H_
