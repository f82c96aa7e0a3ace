// Measurements of the journal, on a disk that the caller names.
//   journal_bench append COUNT FOLDER      records a second against raw writes, syncs and SQLite
//   journal_bench pause LIVE SECONDS FOLDER   longest call at 120 messages a second beside LIVE pending ones
//   journal_bench recover LIVE FOLDER      time and memory of a start
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

using Steady = std::chrono::steady_clock;
double Seconds(Steady::time_point since) {
  return std::chrono::duration<double>(Steady::now() - since).count();
}

struct Host : JournalHost {
  void ScheduleWork(Duration d) override { due = clock.Now() + d; }
  void OnDurabilityProgress() override {}
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override {
    done(file->Sync());
  }
  void OnFenced() override {}
  SystemClock clock;
  Time due = Time::max();
};

struct Bench {
  explicit Bench(const std::string& folder, std::uint64_t budget) {
    JournalSettings s;
    s.folder = folder + "/journal";
    s.node_name = "bench";
    s.disk_budget = budget;
    s.class_names = {"aviso"};
    journal = std::make_unique<SegmentJournal>(files, s, messages, host.clock, log, host);
  }
  Message& Take(std::uint64_t n) {
    Message m;
    m.request.id = "m" + std::to_string(n);
    m.request.body = std::string(200, 'b');
    m.deadline = host.clock.Now() + std::chrono::seconds(10);
    Message& added = messages.Add(std::move(m));
    const Message* one[] = {&added};
    if (!journal->AppendAccepted(one)) throw std::runtime_error("no room");
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
  Host host;
  Logger log{LogOptions{LogFormat::kText, LogLevel::kError}};
  MessageTable messages;
  std::unique_ptr<SegmentJournal> journal;
};

void Raw(const std::string& folder, std::uint64_t count, bool synced) {
  PosixFileSystem files;
  int error = 0;
  const auto file = files.Open(folder + "/raw", FileSystem::Mode::kCreate, error);
  const std::string bytes(430, 'r');  // a state of the messages below
  const auto begun = Steady::now();
  for (std::uint64_t i = 0; i < count; ++i) {
    WriteAll(*file, bytes);
    if (synced) file->Sync();
  }
  std::printf("raw write%s: %.0f records a second\n", synced ? " and fdatasync" : "",
              static_cast<double>(count) / Seconds(begun));
  files.Remove(folder + "/raw");
}

void Sqlite(const std::string& folder, std::uint64_t count) {
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
  const auto begun = Steady::now();
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto one = Steady::now();
    sqlite3_bind_blob(insert, 1, bytes.data(), static_cast<int>(bytes.size()), SQLITE_STATIC);
    sqlite3_step(insert);
    sqlite3_reset(insert);
    times.Add(Seconds(one) * 1e6);
  }
  std::printf(
      "SQLite, WAL, synchronous off, a transaction a record: %.0f records a second, longest %.2f ms\n",
      static_cast<double>(count) / Seconds(begun), times.max() / 1000);
  sqlite3_finalize(insert);
  sqlite3_close(db);
  for (const char* suffix : {"", "-wal", "-shm"}) std::filesystem::remove(path + suffix);
}

void Append(std::uint64_t count, const std::string& folder) {
  Raw(folder, count, false);
  Raw(folder, std::min<std::uint64_t>(count, 2000), true);
  Sqlite(folder, count);
  Bench b(folder, 3'000'000);
  const auto begun = Steady::now();
  for (std::uint64_t i = 0; i < count; ++i) {
    Message& m = b.Take(i);
    b.Attempt(m);
    b.Deliver(m);
  }
  const double seconds = Seconds(begun);
  const auto& c = b.journal->counters();
  std::printf(
      "journal of 3 MB: %.0f messages a second (three records each), %.0f bytes a message, %.2f bytes copied "
      "for each appended, %llu segments dropped\n",
      static_cast<double>(count) / seconds,
      static_cast<double>(c.bytes_appended) / static_cast<double>(count),
      static_cast<double>(c.bytes_copied) / static_cast<double>(c.bytes_appended - c.bytes_copied),
      static_cast<unsigned long long>(c.segments_dropped));
}

void Pause(std::uint64_t live, double seconds, const std::string& folder) {
  Bench b(folder, std::max<std::uint64_t>(3'000'000, live * 4000));
  for (std::uint64_t i = 0; i < live; ++i) b.Take(i);
  loadtest::LatencyHistogram calls, turns;
  const auto timed = [](loadtest::LatencyHistogram& to, const auto& call) {
    const auto begun = Steady::now();
    call();
    to.Add(Seconds(begun) * 1e6);
  };
  std::deque<std::uint64_t> out;
  const auto begun = Steady::now();
  std::uint64_t n = live;
  // The steps of 120 messages a second, without the waits between them: as many as come in `seconds`.
  const auto all = static_cast<std::uint64_t>(seconds * 120);
  for (std::uint64_t i = 0; i < all; ++i) {
    Message* m = nullptr;
    timed(calls, [&] { m = &b.Take(n++); });
    timed(calls, [&] { b.Attempt(*m); });
    out.push_back(m->number);
    if (out.size() > 60) {
      timed(calls, [&] { b.Deliver(*b.messages.Find(out.front())); });
      out.pop_front();
    }
    if (b.host.due <= b.host.clock.Now()) {
      b.host.due = Time::max();
      timed(turns, [&] { b.journal->RunDueWork(); });
    }
  }
  const auto& c = b.journal->counters();
  std::printf(
      "%llu live, %llu messages in %.1f s: longest call %.3f ms (p99.9 %.3f), longest turn %.3f ms of %ld; "
      "%.2f "
      "bytes copied for each appended, %llu segments dropped\n",
      static_cast<unsigned long long>(live), static_cast<unsigned long long>(all), Seconds(begun),
      calls.max() / 1000, calls.Quantile(0.999) / 1000, turns.max() / 1000, turns.count(),
      static_cast<double>(c.bytes_copied) /
          static_cast<double>(std::max<std::uint64_t>(1, c.bytes_appended - c.bytes_copied)),
      static_cast<unsigned long long>(c.segments_dropped));
}

long PeakKb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

void Recover(std::uint64_t live, const std::string& folder) {
  const std::uint64_t budget = std::max<std::uint64_t>(3'000'000, live * 4000);
  if (!std::filesystem::exists(folder + "/journal")) {
    Bench b(folder, budget);
    for (std::uint64_t i = 0; i < live; ++i) b.Attempt(b.Take(i));
    std::puts("written; run it again for the start");
    return;
  }
  const long before = PeakKb();
  const auto begun = Steady::now();
  Bench b(folder, budget);
  const double seconds = Seconds(begun);
  const double mb = static_cast<double>(b.journal->report().bytes) / 1e6;
  std::printf(
      "%d messages held, %.1f MB in %llu records: %.3f s, %.0f MB/s, peak memory %.1f MB (%.1f before)\n",
      b.messages.pending_count(), mb, static_cast<unsigned long long>(b.journal->report().records), seconds,
      mb / seconds, static_cast<double>(PeakKb()) / 1000, static_cast<double>(before) / 1000);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  using namespace sagetally;
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "append" && argc == 4) {
    Append(std::strtoull(argv[2], nullptr, 10), argv[3]);
  } else if (what == "pause" && argc == 5) {
    Pause(std::strtoull(argv[2], nullptr, 10), std::atof(argv[3]), argv[4]);
  } else if (what == "recover" && argc == 4) {
    Recover(std::strtoull(argv[2], nullptr, 10), argv[3]);
  } else {
    std::cerr << "journal_bench append COUNT FOLDER | pause LIVE SECONDS FOLDER | recover LIVE FOLDER | take "
                 "HOW SECONDS\n";
    return 2;
  }
}
