// Fixtures for tests of the journal: the real journal and message table on an in-memory file system with a
// manual clock, a random workload, and descriptions of the messages that must be recovered.
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

// Describes what a recovery must know of a message. The text is the same whether an attempt is in flight or a
// restart has marked it as uncertain.
inline std::string Describe(const Message& message) {
  const bool is_uncertain = message.final_status != FinalStatus::kDelivered &&
                            (message.first_uncertain_attempt.has_value() || message.is_in_flight);
  return message.request.id + " class " + std::to_string(message.request.message_class) + " body " +
         std::to_string(message.final_status == FinalStatus::kPending ? message.request.body.size() : 0) +
         " attempts " + std::to_string(message.attempts) + (is_uncertain ? " uncertain" : "") + " status " +
         std::to_string(static_cast<int>(message.final_status)) +
         (message.notification_pending ? " notification pending" : "") +
         (message.dead_letter_pending ? " dead letter pending" : "") + " history " +
         std::to_string(message.history.size());
}
// The descriptions of messages, by message number.
using Descriptions = std::map<std::uint64_t, std::string>;
// Describes all messages that a restart does not remove.
inline Descriptions DescribeAll(const MessageTable& messages) {
  Descriptions descriptions;
  for (const auto& [number, message] : messages.messages()) {
    // A message that ended while an attempt was in flight stays in the table until the attempt ends. A
    // restart removes it.
    const bool is_removed_by_restart = message.final_status != FinalStatus::kPending &&
                                       !message.notification_pending && !message.dead_letter_pending &&
                                       message.request.protocol == IngressProtocol::kPlatform;
    if (!is_removed_by_restart) descriptions[number] = Describe(message);
  }
  return descriptions;
}

// One process that has opened the journal, together with its event loop.
struct JournalProcess : JournalHost {
  JournalProcess(FaultInjectingFileSystem& disk, TestClock& clock, const JournalSettings& settings)
      : clock(clock), journal(disk, settings, messages, clock, log, *this) {}

  void ScheduleWork(Duration delay) override { due = clock.now + delay; }
  void OnDurabilityProgress() override { ++progress; }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> on_done) override {
    syncs.emplace_back(std::move(file), std::move(on_done));
  }
  void OnFenced() override { fenced = true; }

  // Advances the clock by `duration` and runs the journal's work at the times at which it is due.
  void AdvanceTime(Duration duration) {
    const Time end = clock.now + duration;
    while (due <= end) {
      clock.now = std::max(clock.now, due);
      due = Time::max();
      journal.RunDueWork();
      FinishSyncs();
    }
    clock.now = end;
  }
  // Runs the syncs that the journal has requested.
  void FinishSyncs() {
    for (auto& [file, on_done] : std::exchange(syncs, {})) on_done(file->Sync());
  }

  // Accepts a message with a body of this many bytes. Returns null if the journal rejects it.
  Message* Accept(const std::string& id, std::size_t body_bytes, int message_class = 0) {
    Message message;
    message.request.id = id;
    message.request.idempotency_key = "key-" + id;
    message.request.message_class = message_class;
    message.request.body = std::string(body_bytes, 'b');
    message.deadline = clock.now + std::chrono::seconds(10);
    Message& added = messages.Add(std::move(message));
    const Message* accepted[] = {&added};
    if (journal.AppendAccepted(accepted)) return &added;
    messages.Remove(added.number);
    return nullptr;
  }
  // Accepts `count` CloudEvents as one batch. Returns false if the journal rejects it.
  bool AcceptBatch(const std::string& id, int count, std::size_t body_bytes) {
    std::vector<const Message*> batch;
    for (int i = 0; i < count; ++i) {
      Message message;
      message.request.id = id + "." + std::to_string(i);
      message.request.protocol = IngressProtocol::kCloudEvents;
      message.request.body = std::string(body_bytes, 'e');
      message.request.attributes = {{"source", "/test"}, {"id", message.request.id}};
      batch.push_back(&messages.Add(std::move(message)));
    }
    if (journal.AppendAccepted(batch)) return true;
    for (const Message* message : batch) messages.Remove(message->number);
    return false;
  }
  void StartAttempt(Message& message) {
    message.is_in_flight = true;
    message.attempts += 1;
    message.in_flight_since = clock.now;
    message.in_flight_endpoint = "s-1";
    journal.AppendAttempt(message);
  }
  void FinishAttempt(Message& message, sagetally::Outcome outcome) {
    message.is_in_flight = false;
    if (MayHaveRun(outcome) && !message.first_uncertain_attempt) {
      message.first_uncertain_attempt = message.in_flight_since;
    }
    journal.AppendOutcome(message, outcome);
  }
  void Complete(Message& message, enum FinalStatus final_status) {
    messages.Complete(message, final_status, Duration(0), clock.now);
    journal.AppendCompletion(message);
    messages.RemoveIfFinished(message);
  }
  void AcknowledgeNotification(Message& message) {
    if (message.is_in_flight) MarkUncertainAttempt(message);
    message.is_in_flight = false;
    message.notification_pending = false;
    journal.AppendNotified(message);
    messages.RemoveIfFinished(message);
  }

  TestClock& clock;
  Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
  MessageTable messages;
  Time due = Time::max();  // when the journal's work is due
  // The syncs that the journal has requested, each with the function that receives its errno value.
  std::vector<std::pair<std::shared_ptr<File>, std::function<void(int)>>> syncs;
  int progress = 0;     // number of calls of OnDurabilityProgress
  bool fenced = false;  // whether OnFenced was called
  SegmentJournal journal;
};

// Settings of a journal with a small budget and small segments, so that compaction runs often.
inline JournalSettings SmallJournal() {
  JournalSettings settings;
  settings.folder = "/state/journal";
  settings.format1_path = "/state/log";
  settings.node_name = "n0";
  settings.disk_budget = 160'000;
  settings.segment_bytes = 4'096;
  settings.class_names = {"aviso", "pedido", "pagamento"};
  return settings;
}

// Runs one random step of a workload, which accepts messages, starts and finishes attempts, completes
// messages and acknowledges notifications. Some messages stay pending for a long time. `next_name` numbers
// the ids of the messages and batches.
inline void RunRandomStep(JournalProcess& process, boost::random::mt19937_64& random, int& next_name) {
  const auto draw = [&](int max) { return boost::random::uniform_int_distribution<int>(0, max)(random); };
  process.AdvanceTime(std::chrono::milliseconds(draw(3)));
  std::vector<Message*> pending, unnotified;
  for (const auto& [number, message] : process.messages.messages()) {
    if (message.final_status == FinalStatus::kPending) pending.push_back(process.messages.Find(number));
    if (message.notification_pending) unnotified.push_back(process.messages.Find(number));
  }
  const int action = draw(9);
  if (pending.empty() || (action < 3 && pending.size() < 40)) {
    if (draw(9) == 0) {
      process.AcceptBatch("e" + std::to_string(next_name++), 3, 100);
    } else {
      process.Accept("m" + std::to_string(next_name++), draw(7) == 0 ? 3000 : 150, draw(2));
    }
    return;
  }
  if (!unnotified.empty() && action == 3)
    return process.AcknowledgeNotification(*unnotified[draw(static_cast<int>(unnotified.size()) - 1)]);
  // Mostly selects one of the latest messages, so that some old messages stay and compaction must copy them.
  const std::size_t age_rank = static_cast<std::size_t>(draw(draw(5) == 0 ? 39 : 4));
  Message& message = *pending[pending.size() - 1 - std::min(age_rank, pending.size() - 1)];
  if (!message.is_in_flight && message.attempts < 6 && action < 7) return process.StartAttempt(message);
  if (message.is_in_flight && action < 8)
    return process.FinishAttempt(message, action % 2 == 0 ? Outcome::kRejected : Outcome::kReset);
  if (action == 8 && message.attempts == 0) return process.Complete(message, FinalStatus::kFailed);
  // The attempt of a delivered message has ended. A failed message may have an attempt in flight.
  const bool delivered = action % 2 != 0;
  if (delivered) message.is_in_flight = false;
  process.Complete(message, delivered ? FinalStatus::kDelivered : FinalStatus::kFailed);
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_JOURNAL_WORLD_H_
