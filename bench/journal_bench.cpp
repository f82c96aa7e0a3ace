// Measures the journal on a disk of the caller's choice: FOLDER is a folder on that disk.
//
//   journal_bench append COUNT FOLDER
//       Records a second, compared with raw writes, raw writes with syncs, and SQLite.
//   journal_bench pause LIVE SECONDS FOLDER
//       Longest journal call at 120 messages a second beside LIVE pending messages.
//   journal_bench recover LIVE FOLDER
//       Time and memory of a start with LIVE pending messages. The first run writes the journal, and later
//       runs recover from it.
#include <sqlite3.h>
#include <sys/resource.h>

#include <fstream>
#include <iostream>

#include "../tests/app/world.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/segment_journal.h"
#include "loadtest/report/histogram.h"

namespace sagetally {
namespace {

using SteadyClock = std::chrono::steady_clock;
// Returns the seconds that have passed since the given time.
double SecondsSince(SteadyClock::time_point since) {
  return std::chrono::duration<double>(SteadyClock::now() - since).count();
}

// Runs syncs at once in the calling thread, and records when the journal next has work due.
struct BenchHost : JournalHost {
  void ScheduleWork(Duration d) override { due_at = clock.Now() + d; }
  void OnDurabilityProgress() override {}
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    done(file->Sync());
  }
  void OnFenced() override {}
  SystemClock clock;
  Time due_at = Time::max();
};

// A journal and its message table in the given folder, with a disk budget in bytes.
struct JournalFixture {
  explicit JournalFixture(const std::string& folder, std::uint64_t budget) {
    JournalSettings settings;
    settings.folder = folder + "/journal";
    settings.node_name = "bench";
    settings.disk_budget = budget;
    settings.class_names = {"aviso"};
    journal = std::make_unique<SegmentJournal>(files, settings, messages, host.clock, log, host);
  }
  Message& Accept(std::uint64_t n) {
    Message m;
    m.request.id = "m" + std::to_string(n);
    m.request.body = std::string(200, 'b');
    m.deadline = host.clock.Now() + std::chrono::seconds(10);
    Message& added = messages.Add(std::move(m));
    const Message* batch[] = {&added};
    if (!journal->AppendAccepted(batch)) throw std::runtime_error("the journal has no room for a message");
    return added;
  }
  void Attempt(Message& m) {
    m.is_in_flight = true;
    m.attempts = 1;
    m.in_flight_since = host.clock.Now();
    m.in_flight_endpoint = "s-0";
    journal->AppendAttempt(m);
  }
  void Deliver(Message& m) {
    m.is_in_flight = false;
    messages.Complete(m, FinalStatus::kDelivered, Duration(0), host.clock.Now());
    journal->AppendCompletion(m);
    messages.RemoveIfFinished(m);
  }
  PosixFileSystem files;
  BenchHost host;
  Logger log{LogOptions{LogFormat::kText, LogLevel::kError}};
  MessageTable messages;
  std::unique_ptr<SegmentJournal> journal;
};

// Measures plain appends to a file, each followed by a sync if `synced`.
void MeasureRawWrites(const std::string& folder, std::uint64_t count, bool synced) {
  PosixFileSystem files;
  int error = 0;
  const auto file = files.Open(folder + "/raw", FileSystem::Mode::kCreate, error);
  const std::string bytes(430, 'r');  // as long as the journal's record of one message's state
  const auto begun = SteadyClock::now();
  for (std::uint64_t i = 0; i < count; ++i) {
    WriteAll(*file, bytes);
    if (synced) file->Sync();
  }
  std::printf("raw write%s: %.0f records a second\n", synced ? " and fdatasync" : "",
              static_cast<double>(count) / SecondsSince(begun));
  files.Remove(folder + "/raw");
}

// Measures inserts of the same records into SQLite, one transaction a record.
void MeasureSqlite(const std::string& folder, std::uint64_t count) {
  sqlite3* db = nullptr;
  const std::string path = folder + "/experiment.db";
  sqlite3_open(path.c_str(), &db);
  sqlite3_exec(
      db, "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF; CREATE TABLE r(n INTEGER PRIMARY KEY, b BLOB)",
      nullptr, nullptr, nullptr);
  sqlite3_stmt* insert = nullptr;
  sqlite3_prepare_v2(db, "INSERT INTO r(b) VALUES(?)", -1, &insert, nullptr);
  const std::string bytes(430, 'r');
  loadtest::LatencyHistogram times;
  const auto begun = SteadyClock::now();
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto insert_begun = SteadyClock::now();
    sqlite3_bind_blob(insert, 1, bytes.data(), static_cast<int>(bytes.size()), SQLITE_STATIC);
    sqlite3_step(insert);
    sqlite3_reset(insert);
    times.Add(SecondsSince(insert_begun) * 1e6);
  }
  std::printf(
      "SQLite, WAL, synchronous off, a transaction a record: %.0f records a second, longest %.2f ms\n",
      static_cast<double>(count) / SecondsSince(begun), times.max() / 1000);
  sqlite3_finalize(insert);
  sqlite3_close(db);
  for (const char* suffix : {"", "-wal", "-shm"}) std::filesystem::remove(path + suffix);
}

void MeasureAppends(std::uint64_t count, const std::string& folder) {
  MeasureRawWrites(folder, count, false);
  MeasureRawWrites(folder, std::min<std::uint64_t>(count, 2000), true);
  MeasureSqlite(folder, count);
  JournalFixture fixture(folder, 3'000'000);
  const auto begun = SteadyClock::now();
  for (std::uint64_t i = 0; i < count; ++i) {
    Message& m = fixture.Accept(i);
    fixture.Attempt(m);
    fixture.Deliver(m);
  }
  const double seconds = SecondsSince(begun);
  const auto& c = fixture.journal->counters();
  std::printf(
      "journal of 3 MB: %.0f messages a second (three records each), %.0f bytes a message, %.2f bytes copied "
      "for each appended, %llu segments dropped\n",
      static_cast<double>(count) / seconds,
      static_cast<double>(c.bytes_appended) / static_cast<double>(count),
      static_cast<double>(c.bytes_copied) / static_cast<double>(c.bytes_appended - c.bytes_copied),
      static_cast<unsigned long long>(c.segments_dropped));
}

void MeasurePauses(std::uint64_t live, double seconds, const std::string& folder) {
  JournalFixture fixture(folder, std::max<std::uint64_t>(3'000'000, live * 4000));
  for (std::uint64_t i = 0; i < live; ++i) fixture.Accept(i);
  loadtest::LatencyHistogram calls, turns;
  const auto timed = [](loadtest::LatencyHistogram& histogram, const auto& call) {
    const auto begun = SteadyClock::now();
    call();
    histogram.Add(SecondsSince(begun) * 1e6);
  };
  std::deque<std::uint64_t> in_flight;
  const auto begun = SteadyClock::now();
  std::uint64_t next_id = live;
  // Runs the steps of as many messages as arrive in `seconds` at 120 messages a second, without the waits
  // between them.
  const auto message_count = static_cast<std::uint64_t>(seconds * 120);
  for (std::uint64_t i = 0; i < message_count; ++i) {
    Message* m = nullptr;
    timed(calls, [&] { m = &fixture.Accept(next_id++); });
    timed(calls, [&] { fixture.Attempt(*m); });
    in_flight.push_back(m->number);
    if (in_flight.size() > 60) {
      timed(calls, [&] { fixture.Deliver(*fixture.messages.Find(in_flight.front())); });
      in_flight.pop_front();
    }
    if (fixture.host.due_at <= fixture.host.clock.Now()) {
      fixture.host.due_at = Time::max();
      timed(turns, [&] { fixture.journal->RunDueWork(); });
    }
  }
  const auto& c = fixture.journal->counters();
  std::printf(
      "%llu live, %llu messages in %.1f s: longest call %.3f ms (p99.9 %.3f), longest turn %.3f ms of %ld; "
      "%.2f "
      "bytes copied for each appended, %llu segments dropped\n",
      static_cast<unsigned long long>(live), static_cast<unsigned long long>(message_count),
      SecondsSince(begun), calls.max() / 1000, calls.Quantile(0.999) / 1000, turns.max() / 1000,
      turns.count(),
      static_cast<double>(c.bytes_copied) /
          static_cast<double>(std::max<std::uint64_t>(1, c.bytes_appended - c.bytes_copied)),
      static_cast<unsigned long long>(c.segments_dropped));
}

// Returns the peak resident memory of this process in KB.
long PeakKb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

void MeasureRecovery(std::uint64_t live, const std::string& folder) {
  const std::uint64_t budget = std::max<std::uint64_t>(3'000'000, live * 4000);
  if (!std::filesystem::exists(folder + "/journal")) {
    JournalFixture fixture(folder, budget);
    for (std::uint64_t i = 0; i < live; ++i) fixture.Attempt(fixture.Accept(i));
    std::puts("written; run it again for the start");
    return;
  }
  const long before = PeakKb();
  const auto begun = SteadyClock::now();
  JournalFixture fixture(folder, budget);
  const double seconds = SecondsSince(begun);
  const double mb = static_cast<double>(fixture.journal->report().bytes) / 1e6;
  std::printf(
      "%d messages pending, %.1f MB in %llu records: %.3f s, %.0f MB/s, peak memory %.1f MB (%.1f before)\n",
      fixture.messages.pending_count(), mb,
      static_cast<unsigned long long>(fixture.journal->report().records), seconds, mb / seconds,
      static_cast<double>(PeakKb()) / 1000, static_cast<double>(before) / 1000);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  using namespace sagetally;
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "append" && argc == 4) {
    MeasureAppends(std::strtoull(argv[2], nullptr, 10), argv[3]);
  } else if (command == "pause" && argc == 5) {
    MeasurePauses(std::strtoull(argv[2], nullptr, 10), std::atof(argv[3]), argv[4]);
  } else if (command == "recover" && argc == 4) {
    MeasureRecovery(std::strtoull(argv[2], nullptr, 10), argv[3]);
  } else {
    std::cerr
        << "usage: journal_bench append COUNT FOLDER | pause LIVE SECONDS FOLDER | recover LIVE FOLDER\n";
    return 2;
  }
}
