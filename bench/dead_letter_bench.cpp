// Measures the cost of dead letters for live traffic, and the store with a million of them.
//
//   dead_letter_bench take off|on|stalled|synced SECONDS [RATE]
//       Live messages at RATE a second (400 if not given): times to the 202 response, and number of calls.
//       Dead letters are off, on, or on with the store locked (stalled). With synced they are off, and each
//       202 waits for the disk.
//   dead_letter_bench store COUNT
//       Fills a store and then lists it with filters: times, and memory in each phase.
//   dead_letter_bench resend RATE|0 SECONDS
//       Live traffic beside the redrive of 20,000 dead letters at RATE a second, or with no redrive at 0.
#include <sqlite3.h>

#include <fstream>
#include <iostream>

#include "../tests/app/world.h"
#include "dead_letter/rule_files.h"
#include "loadtest/report/histogram.h"

namespace sagetally {
namespace {

using Clock = std::chrono::steady_clock;

// Response times in microseconds.
struct ResponseTimes {
  loadtest::LatencyHistogram histogram;
  void Add(Clock::duration d) { histogram.Add(std::chrono::duration<double, std::micro>(d).count()); }
  void Print(const char* label, double seconds) const {
    std::printf("%s: %ld, %.0f a second, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms\n", label, histogram.count(),
                static_cast<double>(histogram.count()) / seconds, histogram.Quantile(0.5) / 1000,
                histogram.Quantile(0.99) / 1000, histogram.Quantile(0.999) / 1000);
  }
};

// Returns the resident memory of this process in MB, or 0 if it cannot be read.
double ResidentMb() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1e3;
  }
  return 0;
}

// Open-loop client: sends messages at fixed times over keep-alive connections, and measures each response
// time from the intended sending time.
class OpenLoopClient {
 public:
  // Sends `rate` messages a second, of which `failing_fraction` go to destination 8 and fail.
  OpenLoopClient(World& w, double rate, double failing_fraction)
      : world_(w),
        interval_(1.0 / rate),
        failing_fraction_(failing_fraction),
        next_send_(w.loop, [this] { Send(); }) {}
  void Start() {
    start_ = Clock::now();
    Send();
  }
  void Stop() { next_send_.Stop(); }
  ResponseTimes times;
  int rejected = 0;

 private:
  struct PendingRequest {
    OpenLoopClient* client = nullptr;
    evhttp_connection* connection = nullptr;
    Clock::time_point intended;
  };
  void Send() {
    while (true) {
      const auto intended = start_ + std::chrono::duration_cast<Clock::duration>(interval_ * sent_);
      const auto now = Clock::now();
      if (intended > now) return next_send_.Schedule(std::chrono::duration_cast<Duration>(intended - now));
      Post(intended);
      ++sent_;
    }
  }
  void Post(Clock::time_point intended) {
    if (idle_connections_.empty()) {
      connections_.emplace_back(
          evhttp_connection_base_new(world_.loop.base(), nullptr, "127.0.0.1", world_.dispatcher->port()));
      idle_connections_.push_back(connections_.back().get());
    }
    evhttp_connection* connection = idle_connections_.back();
    idle_connections_.pop_back();
    evhttp_request* request = evhttp_request_new(OnResponse, new PendingRequest{this, connection, intended});
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    const bool failing = sent_ % 1000 < failing_fraction_ * 1000;
    evhttp_add_header(headers, "Host", "b");
    evhttp_add_header(headers, "X-Request-Id", ("b" + std::to_string(sent_)).c_str());
    evhttp_add_header(headers, "X-Deadline", failing ? "300m" : "5000m");
    evhttp_add_header(headers, "X-Envelope", failing ? "dest=8" : "dest=7");
    evbuffer_add(evhttp_request_get_output_buffer(request), body_.data(), body_.size());
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/aviso");
  }
  static void OnResponse(evhttp_request* request, void* raw) {
    const std::unique_ptr<PendingRequest> pending(static_cast<PendingRequest*>(raw));
    if (request == nullptr || evhttp_request_get_response_code(request) != 202) {
      ++pending->client->rejected;
    } else {
      pending->client->times.Add(Clock::now() - pending->intended);
    }
    pending->client->idle_connections_.push_back(pending->connection);
  }
  World& world_;
  const std::chrono::duration<double> interval_;
  const double failing_fraction_;
  const std::string body_ = std::string(200, 'b');
  Clock::time_point start_;
  std::int64_t sent_ = 0;
  Timer next_send_;
  std::vector<ConnectionPtr> connections_;
  std::vector<evhttp_connection*> idle_connections_;
};

// Destination 7 answers at once. Destination 8 is a closed port, so that its messages complete undelivered.
struct BenchWorld : World {
  BenchWorld() : World(1, 64, 2000) {
    ports.push_back(1);
    one_destination_each = true;
    rate = 100'000;
    disk_mb = 100;
    sockets = 4096;
  }
  void EnableDeadLetters() {
    dead_letters.emplace();
    dead_letters->include_deferred = true;
    dead_letters->redrive_deferred = true;
    dead_letters->max_pending_bytes = 10'000'000;
    dead_letters->budget_bytes = 2'000'000'000;
    dead_letters->concurrency_fraction = 0.25;
    dead_letters->destination_rate = 100'000;
    dead_letters->max_age = std::chrono::hours(24 * 9000);
  }
};

// Measures live traffic with dead letters in the given mode. 20% of the messages fail.
void MeasureLiveTraffic(const std::string& mode, double seconds, double rate) {
  BenchWorld w;
  if (mode == "on" || mode == "stalled") w.EnableDeadLetters();
  w.journal.synced = mode == "synced";
  w.Start();
  RunFor(w.loop, 300ms);
  sqlite3* lock = nullptr;
  if (mode == "stalled") {  // another connection holds the store's write lock during the whole measurement
    sqlite3_open((w.folder.path + "/kept/kept.db").c_str(), &lock);
    sqlite3_exec(lock, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
  }
  OpenLoopClient client(w, rate, 0.2);
  client.Start();
  RunFor(w.loop, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
  client.Stop();
  client.times.Print(("take, dead letters " + mode).c_str(), seconds);
  std::printf("  rejected %d, called %zu", client.rejected, w.CountCalls());
  if (w.dispatcher->dead_letters() != nullptr) {
    dead_letter::DeadLetterManager& manager = w.dispatcher->dead_letters()->manager();
    std::printf(", dead-lettered %ld, pending %zu, given up %ld", manager.counters().stored,
                manager.pending_transfers(), manager.counters().transfers_given_up);
  }
  std::printf("\n");
  sqlite3_close(lock);
}

// Returns the `n`th dead letter of the samples, which vary in class, destination, failure reason and
// attempts.
dead_letter::Database::Entry MakeSample(std::int64_t n) {
  constexpr const char* kClasses[] = {"aviso", "pedido", "pagamento"};
  dead_letter::Database::Entry entry;
  dead_letter::DeadLetter& k = entry.dead_letter;
  k.id = {"n0", static_cast<std::uint64_t>(n + 1)};
  k.class_name = kClasses[n % 3];
  k.request.id = "m" + std::to_string(n);
  k.request.destination = static_cast<int>(n * 7919 % 26);
  k.request.body = std::string(200, 'b');
  k.body_size = 200;
  k.accepted_at = k.ended_at = Time(1'700'000'000'000'000 + n * 1000);
  k.final_status = FinalStatus::kFailed;
  k.failure_reason = static_cast<FailureReason>(1 + n % 5);
  k.attempts = static_cast<int>(n % 4);
  for (int i = 0; i < k.attempts; ++i)
    k.history.push_back({{k.accepted_at, Time(i), 9}, "s-5be2a07c", Outcome::kRejected, {}});
  return entry;
}

// Measures the store itself with `count` dead letters: filling it, and the first page of lists with filters.
void MeasureStore(std::int64_t count) {
  const TemporaryFolder folder;
  dead_letter::Database::Settings settings;
  settings.path = folder.path + "/kept.db";
  settings.budget_bytes = 8'000'000'000;
  std::printf("memory before: %.1f MB\n", ResidentMb());
  dead_letter::Database db(settings);
  const auto start = Clock::now();
  for (std::int64_t n = 0; n < count;) {
    std::vector<dead_letter::Database::Entry> batch;
    for (int i = 0; i < 128 && n < count; ++i, ++n) batch.push_back(MakeSample(n));
    db.Store(batch);
  }
  const double filled = std::chrono::duration<double>(Clock::now() - start).count();
  std::printf("stored %ld in %.1f s, %.0f a second; store %.0f MB, memory %.1f MB\n", count, filled,
              static_cast<double>(count) / filled, static_cast<double>(db.UsedBytes()) / 1e6, ResidentMb());
  settings.read_only = true;
  dead_letter::Database reader(settings);
  for (const char* filter :
       {"true", "class = aviso and destination = 7", "reason = shed and class = pagamento",
        "destination = 3 and attempts >= 2 and age > 1h", "id = \"m999999\"", "body_size > 1kb"}) {
    const dead_letter::Condition condition = dead_letter::ParseCondition(filter, {});
    const Time now(1'700'000'000'000'000 + count * 1000 + 7'200'000'000);
    std::vector<double> times_ms;
    std::size_t found = 0;
    for (int i = 0; i < 5; ++i) {
      const auto begin = Clock::now();
      found = reader.List(condition, now, std::nullopt, 50).messages.size();
      times_ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
    }
    std::sort(times_ms.begin(), times_ms.end());
    std::printf("first page, %s: %zu messages, median %.1f ms, min %.1f, max %.1f\n", filter, found,
                times_ms[2], times_ms[0], times_ms[4]);
  }
  std::printf("memory after: %.1f MB\n", ResidentMb());
}

// Measures live traffic beside the redrive of dead letters at `rate` a second, or without redrive at 0.
void MeasureRedrive(double rate, double seconds) {
  BenchWorld w;
  w.EnableDeadLetters();
  {  // stores the dead letters before the start, as an earlier process of the node would have left them
    std::filesystem::create_directory(w.folder.path + "/kept");
    dead_letter::Database::Settings settings;
    settings.path = w.folder.path + "/kept/kept.db";
    settings.budget_bytes = 2'000'000'000;
    dead_letter::Database db(settings);
    std::vector<dead_letter::Database::Entry> all;
    for (std::int64_t n = 0; n < 20'000; ++n) {
      dead_letter::Database::Entry entry = MakeSample(n);
      entry.dead_letter.class_name = "aviso";
      entry.dead_letter.request.destination = 7;
      entry.dead_letter.attempts = 0;
      entry.dead_letter.history.clear();
      all.push_back(std::move(entry));
    }
    db.Store(all);
  }
  if (rate > 0) {
    w.dead_letters->rules_path = w.folder.path + "/rules";
    std::ofstream(w.dead_letters->rules_path)
        << "rule all: when true then resend rate " << static_cast<int>(rate) << "/s window 9000d after 0s;";
  }
  w.Start();
  RunFor(w.loop, 500ms);
  const auto before = w.dispatcher->dead_letters()->manager().counters().delivered;
  OpenLoopClient client(w, 400, 0);
  client.Start();
  RunFor(w.loop, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
  client.Stop();
  client.times.Print("live", seconds);
  const auto delivered = w.dispatcher->dead_letters()->manager().counters().delivered - before;
  std::printf("  redrive at %.0f/s requested: %.0f a second, live rejected %d\n", rate,
              static_cast<double>(delivered) / seconds, client.rejected);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "take" && (argc == 4 || argc == 5)) {
    sagetally::MeasureLiveTraffic(argv[2], std::atof(argv[3]), argc == 5 ? std::atof(argv[4]) : 400);
  } else if (command == "store" && argc == 3) {
    sagetally::MeasureStore(std::atoll(argv[2]));
  } else if (command == "resend" && argc == 4) {
    sagetally::MeasureRedrive(std::atof(argv[2]), std::atof(argv[3]));
  } else {
    std::cerr
        << "usage: dead_letter_bench take off|on|stalled|synced SECONDS [RATE] | store COUNT | resend RATE "
           "SECONDS\n";
    return 2;
  }
}
