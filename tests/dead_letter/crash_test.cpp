// Crash tests of dead letters with the real pipeline, journal, manager and store: the node crashes after each
// single step, its store fails, its journal is read after a restart, and dead letters are disabled and
// enabled. Also tests resubmissions and the limits of attempts and of the deduplication window.
#include "simulated_node.h"

namespace sagetally {
namespace {

using dead_letter::DeadLetterState;
using std::chrono::seconds;

constexpr int kMaxAttempts = 6;  // as in the configuration of World

using StateCounts = std::array<int, dead_letter::kDeadLetterStateCount>;

std::map<std::string, dead_letter::DeadLetter> StoredByRequestId(const SimulatedWorld& environment) {
  std::map<std::string, dead_letter::DeadLetter> stored;
  OpenStore(environment)
      .ForEach(dead_letter::Condition(), Time(0), false, [&](const dead_letter::DeadLetter& dead_letter) {
        assert(stored.emplace(dead_letter.request.id, dead_letter).second);  // none is stored twice
        return true;
      });
  return stored;
}

// Checks that each accepted message was delivered, or is stored as delivered or held, and that no message was
// sent too often.
void CheckAllDeliveredOrHeld(SimulatedWorld& environment, const std::set<std::string>& accepted,
                             StateCounts& states) {
  const std::map<std::string, dead_letter::DeadLetter> stored = StoredByRequestId(environment);
  for (const std::string& name : accepted) {
    const auto found = stored.find(name);
    assert(environment.delivered.contains(name) || found != stored.end());
    if (found != stored.end()) {
      const dead_letter::DeadLetter& dead_letter = found->second;
      assert(dead_letter.state == DeadLetterState::kDelivered || dead_letter.state == DeadLetterState::kHeld);
      assert(dead_letter.attempts <= kMaxAttempts);
      states[static_cast<std::size_t>(dead_letter.state)] += 1;
    }
    if (name.starts_with("pagamento")) assert(environment.effects[name] <= 1);
    assert(environment.calls[name] <= kMaxAttempts);
  }
}

// Makes the first 8 calls fail. One in four is rejected; another one in four takes effect although it fails.
class FirstCallsFail {
 public:
  Outcome outcome() const {
    if (failures_left_ == 0) return Outcome::kOk;
    return failures_left_ % 4 == 0 ? Outcome::kRejected : Outcome::kReset;
  }
  bool has_run() const { return failures_left_ % 4 == 1; }
  void OnAnswered() { failures_left_ -= failures_left_ > 0 ? 1 : 0; }

 private:
  int failures_left_ = 8;
};

// Runs a node on which calls of six messages fail, so that messages are stored and redriven. The node crashes
// after `crash_at` steps, and again `second_crash_after` steps later if that is not 0. Ends 40 s after the
// last answered call. Returns the number of steps.
int RunWithCrashes(int crash_at, int second_crash_after, StateCounts& states) {
  SimulatedWorld environment;
  const NodeConfig config(environment);
  auto node = std::make_unique<SimulatedNode>(environment, config);
  std::set<std::string> accepted;
  for (const char* class_name : {"aviso", "pedido", "pagamento"}) {
    for (const char* number : {"1", "2"}) {
      const std::string name = std::string(class_name) + number;
      if (node->Submit(class_name, name)) accepted.insert(name);
    }
  }
  assert(accepted.size() == 6);
  FirstCallsFail answers;
  int steps = 0;
  int crashes = 0;
  Time last_answer = environment.clock.now;
  while (environment.clock.now < last_answer + seconds(40)) {
    const bool crashes_again =
        crashes == 1 && second_crash_after > 0 && steps == crash_at + second_crash_after;
    if (steps == crash_at || crashes_again) {
      ++crashes;
      ++steps;
      node.reset();
      node = std::make_unique<SimulatedNode>(environment, config);
    }
    const std::size_t calls_before = node->calls.size();
    if (!node->RunStep(answers.outcome(), answers.has_run())) {
      node->Wait();
      continue;
    }
    ++steps;
    if (node->calls.size() < calls_before) {
      answers.OnAnswered();
      last_answer = environment.clock.now;
    }
  }
  node.reset();
  CheckAllDeliveredOrHeld(environment, accepted, states);
  return steps;
}

void EveryMessageIsDeliveredOrStoredAfterACrashAtAnyStep() {
  StateCounts states{};
  const int steps = RunWithCrashes(-1, 0, states);
  assert(states[static_cast<std::size_t>(DeadLetterState::kDelivered)] > 0 && steps > 30);
  int runs = 0;
  for (int crash_at = 0; crash_at < steps; ++crash_at) {
    for (const int second_crash_after : {0, 1, 4}) {
      RunWithCrashes(crash_at, second_crash_after, states);
      ++runs;
    }
  }
  std::printf("%d runs with crashes over %d steps: %d delivered by redrive, %d held\n", runs, steps,
              states[static_cast<std::size_t>(DeadLetterState::kDelivered)],
              states[static_cast<std::size_t>(DeadLetterState::kHeld)]);
}

void StoredDeadLetterIsNotRedrivenAfterItsClientResubmitsIt() {
  SimulatedWorld environment;
  NodeConfig config(environment);
  config.settings.initial_backoff = seconds(30);
  config.settings.max_backoff = seconds(30);
  auto node = std::make_unique<SimulatedNode>(environment, config);
  assert(node->Submit("pagamento", "first", IngressProtocol::kCloudEvents));
  node->RunFor(seconds(4), Outcome::kRejected);
  assert(node->messages.pending_count() == 0);
  assert(node->Submit("pagamento", "second", IngressProtocol::kCloudEvents));
  node->RunFor(seconds(100), Outcome::kOk);
  assert(!environment.delivered.contains("first") && environment.delivered.contains("second"));
  node.reset();
  assert(CountStored(environment, "state = handed_in_again") == 1);
}

void AResubmissionIsRejectedWhileTheDeadLetterIsRedriven() {
  SimulatedWorld environment;
  const NodeConfig config(environment);
  SimulatedNode node(environment, config);
  assert(node.Submit("pagamento", "first", IngressProtocol::kCloudEvents));
  node.RunUntil(Outcome::kConnectFailed, [&] { return node.manager.counters().stored > 0; });
  node.RunUntil(Outcome::kConnectFailed, [&] { return !node.calls.empty(); });  // a redrive is in flight
  assert(node.messages.pending_count() == 1);
  assert(!node.Submit("pagamento", "second", IngressProtocol::kCloudEvents));
  node.RunFor(seconds(20), Outcome::kOk);
  assert(environment.delivered.contains("first") && environment.effects.size() == 1);
  // A later submission gets the response of the redriven message and does not create a second message.
  assert(node.Submit("pagamento", "third", IngressProtocol::kCloudEvents));
  node.RunFor(seconds(20), Outcome::kOk);
  assert(environment.effects.size() == 1);
}

void AttemptLimitCountsTheAttemptsOfAllRedrives() {
  SimulatedWorld environment;
  const NodeConfig config(environment);
  auto node = std::make_unique<SimulatedNode>(environment, config);
  assert(node->Submit("aviso", "a"));
  node->RunFor(seconds(200), Outcome::kError, true);
  node.reset();
  const std::vector<dead_letter::DeadLetter> stored =
      OpenStore(environment).List(dead_letter::Condition(), Time(0), std::nullopt, 9).messages;
  assert(stored.size() == 1 && stored[0].attempts == kMaxAttempts && stored[0].history.size() == 6);
  assert(stored[0].state == DeadLetterState::kHeld && stored[0].decision_reason == "attempts_used_up");
  assert(environment.calls["a"] == kMaxAttempts);
}

const dead_letter::JobError kStoreIsFull = {dead_letter::StoreError::Kind::kFull, "no space", false};

constexpr std::size_t kMaxPendingBytes = std::size_t{20} * 700;  // about 20 messages

// While the store fails, messages wait up to a limit in bytes. Beyond it, the messages with the lowest
// priority weight are given up and counted.
void DeliveryContinuesWhileTheStoreFails() {
  SimulatedWorld environment;
  NodeConfig config(environment);
  config.settings.max_pending_bytes = kMaxPendingBytes;
  auto node = std::make_unique<SimulatedNode>(environment, config);
  node->RunFor(seconds(1), Outcome::kOk);
  node->jobs.injected_error = kStoreIsFull;
  for (int i = 0; i < 60; ++i) {
    assert(node->Submit(i % 2 == 0 ? "pagamento" : "aviso", std::to_string(i)));
    node->RunFor(seconds(2), Outcome::kReset, true);
  }
  assert(node->manager.store_failing() && node->manager.pending_transfers() * 600 <= kMaxPendingBytes);
  assert(node->manager.counters().transfers_given_up >= 20 && node->journal.disk_bytes() < 4'800'000);
  node->jobs.injected_error.reset();
  node->RunFor(seconds(10), Outcome::kReset, true);
  assert(node->manager.pending_transfers() == 0 && !node->manager.store_failing());
  node.reset();
  assert(CountStored(environment, "class = pagamento") >= 18);
}

// The deduplication window ends while the redrive waits for a slot, or for a destination without endpoints.
void RedriveIsForbiddenWhenTheDeduplicationWindowEndsWhileItWaits() {
  for (const bool removes_endpoints : {false, true}) {
    SimulatedWorld environment;
    const NodeConfig config(environment);
    auto node = std::make_unique<SimulatedNode>(environment, config);
    assert(node->Submit("pedido", "k"));
    node->RunUntil(Outcome::kOk, [&] { return !node->calls.empty(); });
    while (environment.effects["k"] == 0) node->RunStep(Outcome::kError, true);
    if (removes_endpoints) {
      EndpointListUpdate update = config.config.cached_endpoint_list;
      update.is_cached = false;
      update.revision += 1;
      update.endpoints.clear();
      node->pipeline.router.OnEndpointListUpdate(update);
    }
    node->RunFor(seconds(30), Outcome::kRejected);  // until the window has expired
    node->RunFor(seconds(60), Outcome::kOk);
    assert(environment.effects["k"] == 1);
    node.reset();
    assert(CountStored(environment, "state = held") == 1);
  }
}

// A message whose deadline passes while its call is in flight completes as failed. If the process then ends
// before the call does, the journal must still tell that the message may have run.
void MessageCompletedWithACallInFlightMayHaveRun() {
  const TemporaryFolder folder;
  for (const bool is_restarted : {false, true}) {
    MessageTable messages;
    PosixFileSystem files;
    IdleJournalHost host;
    Logger log(LogOptions{LogFormat::kText, LogLevel::kError});
    const ManualClock clock;
    JournalSettings settings;
    settings.folder = folder.path + "/journal";
    settings.class_names = {"aviso"};
    SegmentJournal journal(files, settings, messages, clock, log, host);
    if (is_restarted) {
      const Message& message = *messages.Find(1);
      assert(message.dead_letter_pending && message.first_uncertain_attempt == Time(77));
      assert(dead_letter::FromMessage(message, "n0", "pagamento", 1).first_uncertain_attempt ==
             Timestamp({Time(77), Time(7), 9}));
      break;
    }
    Message accepted;
    accepted.request.id = "p";
    accepted.accepted_at = Time(70);
    Message& message = messages.Add(std::move(accepted));
    const Message* batch[] = {&message};
    assert(journal.AppendAccepted(batch));
    message.is_in_flight = true;
    message.attempts = 1;
    message.in_flight_since = Time(77);
    message.history.push_back({{Time(77), Time(7), 9}, "s-0", {}, Duration(0)});
    journal.AppendAttempt(message);
    message.dead_letter_pending = true;
    messages.Complete(message, FinalStatus::kFailed, Duration(0), Time(80));
    journal.AppendCompletion(message);
  }
}

// Dead letters are disabled while a failed message waits for the store and a redrive is in flight, and then
// enabled again.
void DisablingAndEnablingDeadLettersLosesAndRepeatsNothing() {
  SimulatedWorld environment;
  const NodeConfig config(environment);
  auto node = std::make_unique<SimulatedNode>(environment, config);
  assert(node->Submit("pagamento", "first"));
  node->RunUntil(Outcome::kConnectFailed, [&] { return node->manager.counters().stored > 0; });
  node->RunUntil(Outcome::kConnectFailed, [&] { return !node->calls.empty(); });  // its redrive is in flight
  node->calls.clear();                                                            // and never answered
  node->jobs.injected_error = kStoreIsFull;
  assert(node->Submit("pagamento", "second"));
  node->RunFor(seconds(5), Outcome::kReset, true);
  node = nullptr;
  for (const bool stores_dead_letters : {false, true}) {
    node = std::make_unique<SimulatedNode>(environment, config, stores_dead_letters);
    node->RunFor(seconds(100), Outcome::kOk);
    node = nullptr;
  }
  assert(environment.calls["first"] <= kMaxAttempts && environment.effects["first"] <= 1);
  assert(environment.effects["second"] == 1);
  assert(CountStored(environment, "true") == 2);
  assert(CountStored(environment, "id = \"first\" and state = held and may_have_run") == 1);
  assert(CountStored(environment, "id = \"second\" and state = delivered") == 1);
}

// Guards against one dead letter that its partner never accepts and that keeps the others of its destination
// from being redriven.
void ADeadLetterThatIsNeverAcceptedHoldsUpNoOther() {
  SimulatedWorld environment;
  const NodeConfig config(environment);
  SimulatedNode node(environment, config);
  std::set<std::string> others;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "aviso" + std::to_string(i);
    assert(node.Submit("aviso", name));
    if (i != 0) others.insert(name);
  }
  node.RunFor(seconds(3), Outcome::kConnectFailed);  // until all are stored
  assert(StoredByRequestId(environment).size() == 20);
  const Time recovered_at = environment.clock.now;
  while (environment.delivered.size() < others.size()) {
    const bool is_refused = !node.calls.empty() && node.names[node.calls.back().message_number] == "aviso0";
    if (!node.RunStep(is_refused ? Outcome::kError : Outcome::kOk, false)) node.Wait();
    assert(environment.clock.now < recovered_at + std::chrono::minutes(2));
  }
  assert(environment.delivered == others);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  EveryMessageIsDeliveredOrStoredAfterACrashAtAnyStep();
  StoredDeadLetterIsNotRedrivenAfterItsClientResubmitsIt();
  AResubmissionIsRejectedWhileTheDeadLetterIsRedriven();
  AttemptLimitCountsTheAttemptsOfAllRedrives();
  DeliveryContinuesWhileTheStoreFails();
  RedriveIsForbiddenWhenTheDeduplicationWindowEndsWhileItWaits();
  MessageCompletedWithACallInFlightMayHaveRun();
  DisablingAndEnablingDeadLettersLosesAndRepeatsNothing();
  ADeadLetterThatIsNeverAcceptedHoldsUpNoOther();
  std::puts("9 passed, 0 failed");
}
