// A simulated node without sockets, for tests that crash it. It combines the real pipeline, journal,
// dead-letter manager and store with a clock that the test controls. The test also takes the part of the
// endpoints and the clients.
#ifndef SAGETALLY_TESTS_DEAD_LETTER_SIMULATED_NODE_H_
#define SAGETALLY_TESTS_DEAD_LETTER_SIMULATED_NODE_H_

#include <set>

#include "../app/world.h"
#include "dead_letter/rule_files.h"
#include "dead_letter/storage/worker.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/segment_journal.h"
#include "pipeline/message_pipeline.h"

namespace sagetally {

class ManualClock : public Clock {
 public:
  Time Now() const override { return now; }
  Timestamp CurrentTimestamp() const override { return {now, now, 9}; }
  Time now{1'700'000'000'000'000};
};

// The state that survives a crash of the node: the folder, the clock, and what the partner has seen. The maps
// and the set are keyed by message name.
struct SimulatedWorld {
  TemporaryFolder folder;
  ManualClock clock;
  std::map<std::string, int> effects;
  std::map<std::string, int> calls;
  std::set<std::string> delivered;
};

struct IdleJournalHost : JournalHost {
  void ScheduleWork(Duration) override {}
  void OnDurabilityProgress() override {}
  void SyncInBackground(std::shared_ptr<File>, std::function<void(int)>) override {}
  void OnFenced() override {}
};

// Configures short backoffs, and no limit on redrives except that on concurrent calls, so that the tests see
// many redrives.
struct NodeConfig {
  explicit NodeConfig(const SimulatedWorld& environment) {
    World world(0, 4, 40);
    world.ports = {9};
    config = ParseConfig(world.ConfigText(), [](const char*) { return nullptr; });
    config.state_folder = environment.folder.path;
    settings.include_deferred = true;
    settings.redrive_deferred = true;
    settings.concurrency_fraction = 1;
    settings.destination_rate = 1000;
    settings.initial_backoff = std::chrono::milliseconds(50);
    settings.max_backoff = std::chrono::milliseconds(50);
  }
  Config config;
  DeadLetterSettings settings;
};

// One process of the node. Destroying it simulates a crash, which loses everything that is not on disk. Calls
// stay in `calls` until RunStep answers them.
class SimulatedNode : public EndpointClient, public Notifier, public Scheduler, public IdleJournalHost {
 public:
  SimulatedNode(SimulatedWorld& environment, const NodeConfig& node, bool stores_dead_letters = true)
      : environment(environment),
        journal(files, JournalSettingsOf(node.config), messages, environment.clock, log, *this),
        jobs(DatabaseSettingsOf(node)),
        manager(dead_letter::MakeManagerSettings(node.config, node.settings), jobs, messages,
                environment.clock, log,
                [this](Duration delay) { manager_wakeup = this->environment.clock.now + delay; }),
        pipeline(node.config.site, 1, messages, journal, *this, *this, *this, environment.clock,
                 stores_dead_letters ? &manager : nullptr) {
    constexpr const char* kRules =
        "rule all: when true then resend rate 100/s times 9 window 1h deadline 2s after 0s;";
    manager.SetRules(std::make_shared<dead_letter::RuleSet>(dead_letter::ParseRules(kRules, {})), "all");
    pipeline.router.OnEndpointListUpdate(node.config.cached_endpoint_list);
    if (stores_dead_letters) StartManager();
    pipeline.ResumeAfterRestart();
  }

  // EndpointClient, Notifier, Scheduler, JournalHost
  void StartCall(const CallRequest& call) override {
    calls.push_back(call);
    ++environment.calls[call.request->body];
    names[call.message_number] = call.request->body;
  }
  void CancelCall(std::uint64_t) override {}
  void CancelCallIfUnsent(std::uint64_t) override {}
  void CloseIdleConnections(const std::string&) override {}
  void UpdateEndpoint(const EndpointUpdate&) override {}
  void RemoveEndpoint(const std::string&) override {}
  void Notify(const Message& message) override { notifications.push_back(message.number); }
  void SchedulePolicyRun() override { policy_run_due = true; }
  void ScheduleTimer(Duration delay) override { policy_wakeup = environment.clock.now + delay; }
  void SendGossip(const std::string&) override {}
  void ScheduleWork(Duration delay) override { journal_wakeup = environment.clock.now + delay; }
  void WriteLogLine(const std::string&) override {}

  // Performs one step and returns whether there was one; otherwise the test has to wait. If the step answers
  // a call, the call gets `outcome`; `has_run` means that it takes effect even if the outcome is a failure.
  bool RunStep(Outcome outcome, bool has_run) {
    if (journal_wakeup <= environment.clock.now) {
      journal_wakeup = Time::max();
      journal.RunDueWork();
    }
    if (std::exchange(policy_run_due, false)) {
      pipeline.RunPolicy();
      return true;
    }
    if (!calls.empty()) {
      AnswerCall(outcome, has_run);
      return true;
    }
    if (!notifications.empty()) {
      const std::uint64_t number = notifications.back();
      notifications.pop_back();
      pipeline.completion_handler.OnNotificationAcknowledged(number);
      return true;
    }
    return jobs.Deliver();
  }

  // Advances the clock to the next timer, by 5 s at most, and runs the timers that are due.
  void Wait() {
    Time& now = environment.clock.now;
    const Time next = std::min({policy_wakeup, manager_wakeup, now + std::chrono::seconds(5)});
    now = std::max(now + std::chrono::milliseconds(1), next);
    if (now >= policy_wakeup) {
      policy_wakeup = Time::max();
      pipeline.router.QueueEvent(TimerFired{});
    }
    if (now >= manager_wakeup) {
      manager_wakeup = Time::max();
      manager.RunDueWork();
    }
  }

  // Runs steps until `duration` has passed on the test's clock.
  void RunFor(std::chrono::seconds duration, Outcome outcome, bool has_run = false) {
    const Time until = environment.clock.now + duration;
    while (environment.clock.now < until) {
      if (!RunStep(outcome, has_run)) Wait();
    }
  }
  // Runs steps until `done` returns true.
  template <typename Predicate>
  void RunUntil(Outcome outcome, Predicate done) {
    while (!done()) {
      if (!RunStep(outcome, false)) Wait();
    }
  }

  // Submits a message as a client and returns whether it was accepted.
  bool Submit(const std::string& class_name, const std::string& name,
              IngressProtocol protocol = IngressProtocol::kPlatform) {
    const bool is_event = protocol == IngressProtocol::kCloudEvents;
    Request request;
    request.id = is_event ? "event" : name;
    request.body = name;
    request.message_class = ClassNumber(class_name);
    request.destination = 7;
    request.time_left = std::chrono::milliseconds(700);
    if (!is_event) request.idempotency_key = "key-" + name;
    request.protocol = protocol;
    bool is_accepted = false;
    std::vector<Request> requests;
    requests.push_back(std::move(request));
    pipeline.request_validator.Submit(std::move(requests), [&](const AdmissionResult& result) {
      is_accepted = result.status == AdmissionStatus::kAccepted;
      return true;
    });
    pipeline.RunPolicy();
    return is_accepted;
  }

  SimulatedWorld& environment;
  Time policy_wakeup = Time::max();
  Time manager_wakeup = Time::max();
  Time journal_wakeup = Time::max();
  Logger log{LogOptions{LogFormat::kText, LogLevel::kError}};
  MessageTable messages;
  PosixFileSystem files;
  SegmentJournal journal;
  dead_letter::InlineJobRunner jobs;
  dead_letter::DeadLetterManager manager;
  MessagePipeline pipeline;
  std::vector<CallRequest> calls;
  std::map<std::uint64_t, std::string> names;  // names by message number, for messages with a started call
  std::vector<std::uint64_t> notifications;
  bool policy_run_due = false;

 private:
  static JournalSettings JournalSettingsOf(const Config& config) {
    JournalSettings settings;
    settings.folder = config.state_folder + "/journal";
    settings.disk_budget = 5'000'000;
    settings.class_names = config.site.classes;
    return settings;
  }
  static dead_letter::Database::Settings DatabaseSettingsOf(const NodeConfig& node) {
    const std::string folder = node.config.state_folder + "/kept";
    std::filesystem::create_directory(folder);
    return dead_letter::DatabaseSettings(node.settings, folder);
  }
  static int ClassNumber(const std::string& name) {
    if (name == "aviso") return 0;
    return name == "pedido" ? 1 : 2;
  }

  void StartManager() {
    manager.Start(
        {.accept_redrive =
             [this](Message m) { return pipeline.admission_controller.AcceptRedrive(std::move(m)); },
         .has_usable_endpoint =
             [this](int destination) { return pipeline.router.HasUsableEndpoint(destination); },
         .on_dead_lettered =
             [this](std::uint64_t number) { pipeline.completion_handler.OnDeadLettered(number); }},
        journal.is_new());
  }

  void AnswerCall(Outcome outcome, bool has_run) {
    const CallRequest call = calls.back();
    calls.pop_back();
    const std::string& name = names[call.message_number];
    if (has_run || outcome == Outcome::kOk) ++environment.effects[name];
    if (outcome == Outcome::kOk) environment.delivered.insert(name);
    CallResult result;
    result.message_number = call.message_number;
    result.outcome = outcome;
    pipeline.outcome_handler.OnCallResult(result);
  }
};

// Opens the store of a node that is not running.
inline dead_letter::Database OpenStore(const SimulatedWorld& environment) {
  dead_letter::Database::Settings settings;
  settings.path = environment.folder.path + "/kept/kept.db";
  return dead_letter::Database(settings);
}

inline std::int64_t CountStored(const SimulatedWorld& environment, const std::string& filter) {
  return OpenStore(environment).Count(dead_letter::ParseCondition(filter, {}), Time(0));
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_DEAD_LETTER_SIMULATED_NODE_H_
