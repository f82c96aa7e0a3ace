// Measures dead letters: what they cost live traffic, and how the store does with a million of them.
//   dead_letter_bench take off|on|stalled|synced SECONDS [RATE]    live messages (400 a second): time to the
//   202, calls dead_letter_bench store COUNT                    fills a store, then lists with filters;
//   memory by phase dead_letter_bench resend RATE|0 SECONDS          live traffic beside the redrive of
//   20,000 dead letters
#include <sqlite3.h>

#include <fstream>
#include <iostream>

#include "../tests/app/world.h"
#include "dead_letter/rule_files.h"
#include "loadtest/report/histogram.h"

namespace sagetally {
namespace {

using Clock = std::chrono::steady_clock;

struct Times {
  loadtest::LatencyHistogram all;
  void Add(Clock::duration d) { all.Add(std::chrono::duration<double, std::micro>(d).count()); }
  void Print(const char* what, double seconds) const {
    std::printf("%s: %ld, %.0f a second, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms\n", what, all.count(),
                static_cast<double>(all.count()) / seconds, all.Quantile(0.5) / 1000,
                all.Quantile(0.99) / 1000, all.Quantile(0.999) / 1000);
  }
};

double ResidentMb() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1e3;
  }
  return 0;
}

// An open-loop client: messages at fixed times over kept-alive connections, timed from when each should have
// gone.
class Load {
 public:
  Load(World& w, double rate, double failing_share)
      : w_(w), every_(1.0 / rate), failing_(failing_share), next_(w.loop, [this] { Send(); }) {}
  void Start() {
    start_ = Clock::now();
    Send();
  }
  void Stop() { next_.Stop(); }
  Times times;
  int rejected = 0;

 private:
  struct One {
    Load* load = nullptr;
    evhttp_connection* connection = nullptr;
    Clock::time_point intended;
  };
  void Send() {
    while (true) {
      const auto intended = start_ + std::chrono::duration_cast<Clock::duration>(every_ * sent_);
      const auto now = Clock::now();
      if (intended > now) return next_.Schedule(std::chrono::duration_cast<Duration>(intended - now));
      Post(intended);
      ++sent_;
    }
  }
  void Post(Clock::time_point intended) {
    if (idle_.empty()) {
      all_.emplace_back(
          evhttp_connection_base_new(w_.loop.base(), nullptr, "127.0.0.1", w_.dispatcher->port()));
      idle_.push_back(all_.back().get());
    }
    evhttp_connection* connection = idle_.back();
    idle_.pop_back();
    evhttp_request* request = evhttp_request_new(Done, new One{this, connection, intended});
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    const bool failing = sent_ % 1000 < failing_ * 1000;
    evhttp_add_header(headers, "Host", "b");
    evhttp_add_header(headers, "X-Request-Id", ("b" + std::to_string(sent_)).c_str());
    evhttp_add_header(headers, "X-Deadline", failing ? "300m" : "5000m");
    evhttp_add_header(headers, "X-Envelope", failing ? "dest=8" : "dest=7");
    evbuffer_add(evhttp_request_get_output_buffer(request), body_.data(), body_.size());
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/aviso");
  }
  static void Done(evhttp_request* request, void* raw) {
    const std::unique_ptr<One> one(static_cast<One*>(raw));
    if (request == nullptr || evhttp_request_get_response_code(request) != 202) {
      ++one->load->rejected;
    } else {
      one->load->times.Add(Clock::now() - one->intended);
    }
    one->load->idle_.push_back(one->connection);
  }
  World& w_;
  const std::chrono::duration<double> every_;
  const double failing_;
  const std::string body_ = std::string(200, 'b');
  Clock::time_point start_;
  std::int64_t sent_ = 0;
  Timer next_;
  std::vector<ConnectionPtr> all_;
  std::vector<evhttp_connection*> idle_;
};

// Destination 7 answers at once; destination 8 is a closed port, so that its messages end undelivered.
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

void Take(const std::string& mode, double seconds, double rate) {
  BenchWorld w;
  if (mode == "on" || mode == "stalled") w.EnableDeadLetters();
  w.journal.synced = mode == "synced";
  w.Start();
  RunFor(w.loop, 300ms);
  sqlite3* lock = nullptr;
  if (mode == "stalled") {  // another process holds the store's lock all the time
    sqlite3_open((w.folder.path + "/kept/kept.db").c_str(), &lock);
    sqlite3_exec(lock, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
  }
  Load load(w, rate, 0.2);
  load.Start();
  RunFor(w.loop, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
  load.Stop();
  load.times.Print(("take, kept " + mode).c_str(), seconds);
  std::printf("  refused %d, called %zu", load.rejected, w.CountCalls());
  if (w.dispatcher->dead_letters() != nullptr) {
    dead_letter::DeadLetterManager& manager = w.dispatcher->dead_letters()->manager();
    std::printf(", kept %ld, owed %zu, lost %ld", manager.counters().stored, manager.pending_transfers(),
                manager.counters().transfers_given_up);
  }
  std::printf("\n");
  sqlite3_close(lock);
}

dead_letter::Database::Entry Sample(std::int64_t n) {
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

void Million(std::int64_t count) {
  const TemporaryFolder folder;
  dead_letter::Database::Settings settings;
  settings.path = folder.path + "/kept.db";
  settings.budget_bytes = 8'000'000'000;
  std::printf("memory before: %.1f MB\n", ResidentMb());
  dead_letter::Database db(settings);
  const auto start = Clock::now();
  for (std::int64_t n = 0; n < count;) {
    std::vector<dead_letter::Database::Entry> batch;
    for (int i = 0; i < 128 && n < count; ++i, ++n) batch.push_back(Sample(n));
    db.Store(batch);
  }
  const double filled = std::chrono::duration<double>(Clock::now() - start).count();
  std::printf("kept %ld in %.1f s, %.0f a second; store %.0f MB, memory %.1f MB\n", count, filled,
              static_cast<double>(count) / filled, static_cast<double>(db.UsedBytes()) / 1e6, ResidentMb());
  settings.read_only = true;
  dead_letter::Database reader(settings);
  for (const char* filter :
       {"true", "class = aviso and destination = 7", "reason = shed and class = pagamento",
        "destination = 3 and attempts >= 2 and age > 1h", "id = \"m999999\"", "body_size > 1kb"}) {
    const dead_letter::Condition condition = dead_letter::ParseCondition(filter, {});
    const Time now(1'700'000'000'000'000 + count * 1000 + 7'200'000'000);
    std::vector<double> took;
    std::size_t found = 0;
    for (int i = 0; i < 5; ++i) {
      const auto begin = Clock::now();
      found = reader.List(condition, now, std::nullopt, 50).messages.size();
      took.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
    }
    std::sort(took.begin(), took.end());
    std::printf("first page, %s: %zu messages, median %.1f ms, min %.1f, max %.1f\n", filter, found, took[2],
                took[0], took[4]);
  }
  std::printf("memory after: %.1f MB\n", ResidentMb());
}

void Resend(double rate, double seconds) {
  BenchWorld w;
  w.EnableDeadLetters();
  {  // as an earlier process of the node left them
    std::filesystem::create_directory(w.folder.path + "/kept");
    dead_letter::Database::Settings settings;
    settings.path = w.folder.path + "/kept/kept.db";
    settings.budget_bytes = 2'000'000'000;
    dead_letter::Database db(settings);
    std::vector<dead_letter::Database::Entry> all;
    for (std::int64_t n = 0; n < 20'000; ++n) {
      dead_letter::Database::Entry entry = Sample(n);
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
  Load load(w, 400, 0);
  load.Start();
  RunFor(w.loop, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
  load.Stop();
  load.times.Print("live", seconds);
  const auto delivered = w.dispatcher->dead_letters()->manager().counters().delivered - before;
  std::printf("  resent at %.0f/s asked: %.0f a second, live refused %d\n", rate,
              static_cast<double>(delivered) / seconds, load.rejected);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "take" && (argc == 4 || argc == 5)) {
    sagetally::Take(argv[2], std::atof(argv[3]), argc == 5 ? std::atof(argv[4]) : 400);
  } else if (what == "store" && argc == 3) {
    sagetally::Million(std::atoll(argv[2]));
  } else if (what == "resend" && argc == 4) {
    sagetally::Resend(std::atof(argv[2]), std::atof(argv[3]));
  } else {
    std::cerr
        << "usage: dead_letter_bench take off|on|stalled|synced SECONDS [RATE] | store COUNT | resend RATE "
           "SECONDS\n";
    return 2;
  }
}
