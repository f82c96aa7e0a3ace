// The real stages, journal, manager and store on a clock of the test's own, with a crash after every single
// step.
#include <set>

#include "../app/world.h"
#include "dead_letter/rule_files.h"
#include "dead_letter/storage/worker.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/segment_journal.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {
namespace {

using dead_letter::DeadLetterManager;
using dead_letter::DeadLetterState;

struct TestClock : Clock {
  Time Now() const override { return now; }
  Timestamp CurrentTimestamp() const override { return {now + step, now, 9}; }
  Time now{1'700'000'000'000'000};
  Duration step{0};
};

// What outlives a crash: the folder, the clock, the partner with all that took effect there.
struct Outside {
  Folder folder;
  TestClock clock;
  std::map<std::string, int> effects, calls;
  std::set<std::string> delivered, told;
};

// One life of a node. Calls wait in `calls` until the test answers them.
struct QuietJournalHost : JournalHost {
  void ScheduleTurn(Duration) override {}
  void OnProgress() override {}
  void SyncInBackground(std::shared_ptr<File>, std::function<void(int)>) override {}
  void OnFenced() override {}
};

struct Life : EndpointClient, Notifier, Scheduler, QuietJournalHost {
  Life(Outside& outside, const Config& config, const DeadLetterSettings& settings, bool on = true)
      : outside(outside),
        store(files, JournalOf(config), ledger, outside.clock, log, *this),
        jobs([&] {
          std::filesystem::create_directory(config.state_folder + "/kept");
          return dead_letter::DatabaseSettings(settings, config.state_folder + "/kept");
        }()),
        manager(dead_letter::MakeManagerSettings(config, settings), jobs, ledger, outside.clock, log,
                [this](Duration d) { wake_keeper = this->outside.clock.now + d; }),
        chain(config.site, 1, ledger, store, *this, *this, *this, outside.clock, on ? &manager : nullptr) {
    manager.SetRules(
        std::make_shared<dead_letter::RuleSet>(dead_letter::ParseRules(
            "rule all: when true then resend rate 100/s times 9 window 1h deadline 2s after 0s;", {})),
        "all");
    chain.router.OnEndpointListUpdate(config.cached_endpoint_list);
    if (on) {
      manager.Start(
          {.accept_redrive = [this](Message m) { return chain.admission.AcceptRedrive(std::move(m)); },
           .has_usable_endpoint =
               [this](int destination) { return chain.router.HasUsableEndpoint(destination); },
           .on_dead_lettered =
               [this](std::uint64_t number) { chain.completion_handler.OnDeadLettered(number); }},
          store.is_new());
    }
    chain.ResumeAfterRestart();
  }

  void StartCall(const CallRequest& order) override {
    calls.push_back(order);
    ++outside.calls[order.request->body];
    names[order.number] = order.request->body;
  }
  void CancelCall(std::uint64_t) override {}
  void CancelCallIfUnsent(std::uint64_t) override {}
  void CloseIdleConnections(const std::string&) override {}
  void UpdateEndpoint(const EndpointUpdate&) override {}
  void RemoveEndpoint(const std::string&) override {}
  void Notify(const Message& m) override { notices.push_back(m.number); }
  void SchedulePolicyRun() override { step_due = true; }
  void ScheduleTimer(Duration d) override { wake_module = outside.clock.now + d; }
  void SendGossip(const std::string&) override {}
  void ScheduleTurn(Duration d) override { wake_journal = outside.clock.now + d; }
  static JournalSettings JournalOf(const Config& config) {
    JournalSettings s;
    s.folder = config.state_folder + "/journal";
    s.disk_budget = 5'000'000;
    s.class_names = config.site.classes;
    return s;
  }
  void WriteLogLine(const std::string&) override {}

  // One thing at a time; false if there is nothing left to do but wait.
  bool DoOne(Outcome outcome, bool ran) {
    if (wake_journal <= outside.clock.now) {
      wake_journal = Time::max();
      store.RunDueWork();
    }
    if (std::exchange(step_due, false)) return chain.RunPolicy(), true;
    if (!calls.empty()) {
      const CallRequest order = calls.back();
      calls.pop_back();
      const std::string name = names[order.number];
      if (ran || outcome == Outcome::kOk) ++outside.effects[name];
      if (outcome == Outcome::kOk) outside.delivered.insert(name);
      CallResult result;
      result.number = order.number;
      result.outcome = outcome;
      chain.outcome_handler.OnCallResult(result);
      return true;
    }
    if (!notices.empty()) {
      const std::uint64_t number = notices.back();
      notices.pop_back();
      if (const Message* m = ledger.Find(number)) outside.told.insert(m->request.body);
      chain.completion_handler.OnNotificationAcknowledged(number);
      return true;
    }
    return jobs.Deliver();
  }
  void Wait() {  // until the next timer is due
    const Time next = std::min({wake_module, wake_keeper, outside.clock.now + std::chrono::seconds(5)});
    outside.clock.now = std::max(outside.clock.now + std::chrono::milliseconds(1), next);
    if (outside.clock.now >= wake_module) wake_module = Time::max(), chain.router.QueueEvent(TimerFired{});
    if (outside.clock.now >= wake_keeper) wake_keeper = Time::max(), manager.RunDueWork();
  }
  bool Post(const std::string& cls, const std::string& name,
            IngressProtocol form = IngressProtocol::kPlatform) {
    Request r;
    r.id = form == IngressProtocol::kCloudEvents ? "event" : name;
    r.body = name;
    r.message_class = cls == "aviso" ? 0 : cls == "pedido" ? 1 : 2;
    r.destination = 7;
    r.time_left = std::chrono::milliseconds(700);
    if (form == IngressProtocol::kPlatform) r.idempotency_key = "key-" + name;
    r.protocol = form;
    bool taken = false;
    std::vector<Request> one;
    one.push_back(std::move(r));
    chain.validator.Submit(std::move(one), [&](const AdmissionResult& a) {
      return taken = a.status == AdmissionStatus::kAccepted, true;
    });
    chain.RunPolicy();
    return taken;
  }

  Outside& outside;
  Time wake_module = Time::max(), wake_keeper = Time::max(), wake_journal = Time::max();
  Logger log{LogOptions{LogFormat::kText, LogLevel::kError}};
  MessageTable ledger;
  PosixFileSystem files;
  SegmentJournal store;
  dead_letter::InlineJobRunner jobs;
  DeadLetterManager manager;
  MessagePipeline chain;
  std::vector<CallRequest> calls;
  std::map<std::uint64_t, std::string> names;
  std::vector<std::uint64_t> notices;
  bool step_due = false;
};

struct Site {
  explicit Site(Outside& outside) {
    World w(0, 4, 40);
    w.ports = {9};
    config = ParseConfig(w.ConfigText(), [](const char*) { return nullptr; });
    config.state_folder = outside.folder.path;
    settings.include_deferred = settings.redrive_deferred = true;
    settings.concurrency_fraction = 1;
    settings.destination_rate = 1000;
    settings.initial_backoff = settings.max_backoff = std::chrono::milliseconds(50);
  }
  Config config;
  DeadLetterSettings settings;
};

dead_letter::Database Reading(const Outside& outside) {
  dead_letter::Database::Settings settings;
  settings.path = outside.folder.path + "/kept/kept.db";
  return dead_letter::Database(settings);
}

// Three messages fail, are kept and sent again. The node dies after `crash` steps, twice if `again` more
// follow. Returns how many steps it took.
int Run(int crash, int again, int* states) {
  Outside outside;
  const Site site(outside);
  auto life = std::make_unique<Life>(outside, site.config, site.settings);
  std::set<std::string> taken;
  for (const char* cls : {"aviso", "pedido", "pagamento"}) {
    for (const char* n : {"1", "2"}) {
      if (life->Post(cls, std::string(cls) + n)) taken.insert(std::string(cls) + n);
    }
  }
  assert(taken.size() == 6);
  int steps = 0, failures = 8, deaths = 0;
  Time last = outside.clock.now;  // something happened
  while (outside.clock.now < last + std::chrono::seconds(40)) {
    if (steps == crash || (deaths == 1 && again > 0 && steps == crash + again)) {
      ++deaths;
      ++steps;
      life.reset();  // what is not on disk is gone
      life = std::make_unique<Life>(outside, site.config, site.settings);
    }
    // The first calls fail: half of them run all the same.
    const bool fail = failures > 0;
    const std::size_t before = life->calls.size();
    if (life->DoOne(fail ? (failures % 4 == 0 ? Outcome::kRejected : Outcome::kReset) : Outcome::kOk,
                    fail && failures % 4 == 1)) {
      if (life->calls.size() < before) --failures, last = outside.clock.now;
      ++steps;
    } else {
      life->Wait();
    }
  }
  life.reset();
  dead_letter::Database db = Reading(outside);
  std::map<std::string, dead_letter::DeadLetter> stored;
  db.ForEach(dead_letter::Condition(), Time(0), false, [&](const dead_letter::DeadLetter& k) {
    assert(stored.emplace(k.request.id, k).second);
    return true;
  });
  for (const std::string& name : taken) {
    const auto at = stored.find(name);
    const bool delivered = outside.delivered.contains(name);
    // A call that the crash cut off and that may not be repeated is kept; nothing is lost or under way for
    // ever.
    assert(delivered || at != stored.end());
    if (at != stored.end()) {
      assert(at->second.state == DeadLetterState::kDelivered || at->second.state == DeadLetterState::kHeld);
      assert(at->second.attempts <= 6);
      states[static_cast<int>(at->second.state)] += 1;
    }
    if (name.starts_with("pagamento")) assert(outside.effects[name] <= 1);
    assert(outside.calls[name] <= 6);
  }
  return steps;
}

void ACrashAfterEveryStepLeavesOneTruth() {
  int states[dead_letter::kDeadLetterStateCount] = {};
  const int steps = Run(-1, 0, states);
  assert(states[static_cast<int>(DeadLetterState::kDelivered)] > 0 && steps > 30);
  int crashes = 0;
  for (int crash = 0; crash < steps; ++crash) {
    for (const int again : {0, 1, 4}) {
      Run(crash, again, states);
      ++crashes;
    }
  }
  std::printf("%d runs with crashes over %d steps: %d delivered by resend, %d held\n", crashes, steps,
              states[static_cast<int>(DeadLetterState::kDelivered)],
              states[static_cast<int>(DeadLetterState::kHeld)]);
}

// Runs until nothing is left to do for `seconds` of the test's clock.
void Settle(Life& life, Outcome outcome, bool ran = false, int seconds = 20) {
  const Time until = life.outside.clock.now + std::chrono::seconds(seconds);
  while (life.outside.clock.now < until) {
    if (!life.DoOne(outcome, ran)) life.Wait();
  }
}

void AClientsOwnCopyEndsTheKeptOne() {
  Outside outside;
  Site site(outside);
  // First its kept twin waits; the client hands the event in anew, and only that copy is delivered.
  site.settings.initial_backoff = site.settings.max_backoff = std::chrono::seconds(30);
  auto life = std::make_unique<Life>(outside, site.config, site.settings);
  assert(life->Post("pagamento", "first", IngressProtocol::kCloudEvents));
  Settle(*life, Outcome::kRejected, false, 4);
  assert(life->ledger.pending_count() == 0);
  assert(life->Post("pagamento", "second", IngressProtocol::kCloudEvents));
  Settle(*life, Outcome::kOk, false, 100);
  assert(!outside.delivered.contains("first") && outside.delivered.contains("second"));
  life.reset();
  assert(Reading(outside).Count(dead_letter::ParseCondition("state = handed_in_again", {}), Time(0)) == 1);
}

void ACopyIsRefusedWhileTheKeptOneIsBeingSent() {
  Outside outside;
  const Site site(outside);
  Life life(outside, site.config, site.settings);
  assert(life.Post("pagamento", "first", IngressProtocol::kCloudEvents));
  while (life.manager.counters().kept == 0) {
    if (!life.DoOne(Outcome::kConnectFailed, false)) life.Wait();
  }
  while (life.calls.empty()) {  // until a resend is out
    if (!life.DoOne(Outcome::kConnectFailed, false)) life.Wait();
  }
  assert(life.ledger.pending_count() == 1);
  assert(!life.Post("pagamento", "second", IngressProtocol::kCloudEvents));
  Settle(life, Outcome::kOk);
  assert(outside.delivered.contains("first") && outside.effects.size() == 1);
  assert(life.Post("pagamento", "third",
                   IngressProtocol::kCloudEvents));  // the same answer as ever, and no second message
  Settle(life, Outcome::kOk);
  assert(outside.effects.size() == 1);
}

void FiveFailedResendsAreOneMessageWithAllItsAttempts() {
  Outside outside;
  const Site site(outside);
  auto life = std::make_unique<Life>(outside, site.config, site.settings);
  assert(life->Post("aviso", "a"));
  Settle(*life, Outcome::kError, true, 200);
  life.reset();
  dead_letter::Database db = Reading(outside);
  const auto page = db.List(dead_letter::Condition(), Time(0), std::nullopt, 9);
  assert(page.messages.size() == 1 && page.messages[0].attempts == 6 && page.messages[0].history.size() == 6);
  assert(page.messages[0].state == DeadLetterState::kHeld &&
         page.messages[0].decision_reason == "attempts_used_up");
  assert(outside.calls["a"] == 6);
}

// The store is away for long: delivery goes on, what fits stays owed, the rest is counted as lost, least
// worth first.
void AStalledStoreNeverStopsDelivery() {
  Outside outside;
  Site site(outside);
  site.settings.max_pending_bytes = 20 * 700;
  auto life = std::make_unique<Life>(outside, site.config, site.settings);
  Settle(*life, Outcome::kOk, false, 1);
  life->jobs.injected_error = dead_letter::JobError{dead_letter::StoreError::Kind::kFull, "no space", false};
  for (int i = 0; i < 60; ++i) {
    assert(life->Post(i % 2 == 0 ? "pagamento" : "aviso", std::to_string(i)));
    Settle(*life, Outcome::kReset, true, 2);
  }
  assert(life->manager.store_failing() && life->manager.pending_transfers() * 600 <= 20 * 700);
  const auto lost = life->manager.counters().owed_dropped;
  assert(lost >= 20 && life->store.disk_bytes() < 4'800'000);
  life->jobs.injected_error.reset();
  Settle(*life, Outcome::kReset, true, 10);
  assert(life->manager.pending_transfers() == 0 && !life->manager.store_failing());
  life.reset();
  dead_letter::Database db = Reading(outside);
  assert(db.Count(dead_letter::ParseCondition("class = pagamento", {}), Time(0)) >= 18);
}

// A window that ends while a resend waits for a slot or a destination that is gone.
void AWindowThatEndsMeanwhileForbids() {
  for (const bool gone : {false, true}) {
    Outside outside;
    Site site(outside);
    auto life = std::make_unique<Life>(outside, site.config, site.settings);
    assert(life->Post("pedido", "k"));
    while (life->calls.empty()) {
      if (!life->DoOne(Outcome::kOk, false)) life->Wait();
    }
    while (outside.effects["k"] == 0) life->DoOne(Outcome::kError, true);
    EndpointListUpdate news = site.config.cached_endpoint_list;
    news.is_cached = false;
    news.revision += 1;
    if (gone) news.endpoints.clear();
    if (gone) life->chain.router.OnEndpointListUpdate(news);
    // Full from now on: it is turned away until the window is over.
    Settle(*life, Outcome::kRejected, false, 30);
    Settle(*life, Outcome::kOk, false, 60);
    assert(outside.effects["k"] == 1);
    life.reset();
    assert(Reading(outside).Count(dead_letter::ParseCondition("state = held", {}), Time(0)) == 1);
  }
}

// Its time was up while its call was out, and the process died before the call came back.
void AMessageThatEndedWithItsCallOutMayHaveRun() {
  const Folder folder;
  for (const bool again : {false, true}) {
    MessageTable ledger;
    PosixFileSystem files;
    QuietJournalHost host;
    Logger log(LogOptions{LogFormat::kText, LogLevel::kError});
    const TestClock clock;
    JournalSettings settings;
    settings.folder = folder.path + "/journal";
    settings.class_names = {"aviso"};
    SegmentJournal store(files, settings, ledger, clock, log, host);
    if (again) {
      const Message& m = *ledger.Find(1);
      assert(m.dead_letter_pending && m.first_uncertain_attempt == Time(77));
      assert(dead_letter::FromMessage(m, "n0", "pagamento", 1).first_uncertain_attempt ==
             Timestamp({Time(77), Time(7), 9}));
      break;
    }
    Message& m = ledger.Add([] {
      Message held;
      held.request.id = "p";
      held.accepted_at = Time(70);
      return held;
    }());
    const Message* one[] = {&m};
    assert(store.AppendAccepted(one));
    m.is_in_flight = true;
    m.attempts = 1;
    m.in_flight_since = Time(77);
    m.history.push_back({{Time(77), Time(7), 9}, "s-0", {}, Duration(0)});
    store.AppendAttempt(m);
    m.dead_letter_pending = true;
    ledger.Complete(m, FinalStatus::kFailed, Duration(0), Time(80));
    store.AppendCompletion(m);
  }
}

// Switched off with a failed message owed to the store and a resend out, then on again.
void SwitchedOffAndOnNothingIsLostOrDoubled() {
  Outside outside;
  const Site site(outside);
  auto life = std::make_unique<Life>(outside, site.config, site.settings);
  assert(life->Post("pagamento", "first"));
  while (life->manager.counters().kept == 0) {
    if (!life->DoOne(Outcome::kConnectFailed, false)) life->Wait();
  }
  while (life->calls.empty()) {  // until its resend is out
    if (!life->DoOne(Outcome::kConnectFailed, false)) life->Wait();
  }
  life->calls.clear();  // its answer never comes
  life->jobs.injected_error = dead_letter::JobError{dead_letter::StoreError::Kind::kFull, "no space", false};
  assert(life->Post("pagamento", "second"));
  Settle(*life, Outcome::kReset, true, 5);
  life = nullptr;
  for (const bool on : {false, true}) {
    life = std::make_unique<Life>(outside, site.config, site.settings, on);
    Settle(*life, Outcome::kOk, false, 100);
    life = nullptr;
  }
  assert(outside.calls["first"] <= 6 && outside.effects["first"] <= 1 && outside.effects["second"] == 1);
  dead_letter::Database db = Reading(outside);
  assert(db.Count(dead_letter::Condition(), Time(0)) == 2);
  assert(db.Count(dead_letter::ParseCondition("id = \"first\" and state = held and may_have_run", {}),
                  Time(0)) == 1);
  assert(db.Count(dead_letter::ParseCondition("id = \"second\" and state = delivered", {}), Time(0)) == 1);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  ACrashAfterEveryStepLeavesOneTruth();
  AClientsOwnCopyEndsTheKeptOne();
  ACopyIsRefusedWhileTheKeptOneIsBeingSent();
  FiveFailedResendsAreOneMessageWithAllItsAttempts();
  AStalledStoreNeverStopsDelivery();
  AWindowThatEndsMeanwhileForbids();
  AMessageThatEndedWithItsCallOutMayHaveRun();
  SwitchedOffAndOnNothingIsLostOrDoubled();
  std::puts("8 passed, 0 failed");
}
