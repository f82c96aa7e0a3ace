// Upgrades: the program takes over from itself under traffic, on real processes and sockets. Arguments: the
// program, how many upgrades, a seed.
#include <filesystem>
#include <fstream>

#include "../app/process.h"
#include "../dead_letter/partner.h"
#include "../journal/format1_log.h"
#include "app/handover_predecessor.h"
#include "app/journal_settings.h"

namespace sagetally {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsMeaningful = false;  // it would include the sanitizer's
#else
constexpr bool kMemoryIsMeaningful = true;
#endif

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

// A serving process under the load of `clients`, and its successors.
struct Upgrades : World {
  Upgrades(std::string program, std::uint64_t seed)
      : World(0, 24, 150), program(std::move(program)), partner(loop, seed, 10s), seed(seed) {
    ports.resize(8, partner.port);
    one_destination_each = true;
    sockets = 512;
    rate = 2000;
    admin = true;
    std::ofstream(folder.path + "/config.json") << ConfigText();
    std::ofstream(folder.path + "/node.json") << "{}";
    agent.keep_notices = false;
    agent.on_notice = [this](const std::string& id, const std::string& status) {
      notified[id].insert(status);
    };
    serving = Start();
    RunUntil(loop, [this] { return serving->Port() != 0; });
    clients = std::make_unique<Clients>(
        loop, [this] { return serving->Port(); }, this->seed);
    clients->destinations = 8;
    clients->deadline_ms = 3000;
  }
  std::unique_ptr<Process> Start(const std::string& config = "config.json") {
    return std::make_unique<Process>(program, folder.path, "log" + std::to_string(++starts), config);
  }
  // Waits for its end while the loop, on which the partner runs, goes on.
  void WaitUntilEnded(Process& process) {
    RunUntil(loop, [&] { return !process.child.Running(); });
  }
  // The answer to one operator's request, at the address that the process has logged.
  std::string Ask(Process& process, const std::string& line) {
    const std::string log = ReadFile(process.child.log());
    const std::size_t at = log.find(" admin.ready ");
    assert(at != log.npos);
    const int port = std::atoi(log.c_str() + log.find("port=", at) + 5);
    RawClient client(loop, static_cast<std::uint16_t>(port), line);
    RunUntil(loop, [&] { return client.closed; });
    return client.received;
  }
  // Starts the next process, which takes over; then `signal` is sent to the old one, none with 0.
  void Upgrade(int signal) {
    auto next = Start();
    RunUntil(loop, [&] { return next->Port() != 0 || !next->child.Running(); });
    assert(next->Port() == serving->Port());
    assert(ReadFile(next->child.log()).find(" handover.received ") != std::string::npos);
    auto previous = std::exchange(serving, std::move(next));
    if (signal != 0) previous->child.Signal(signal);
    leaving.push_back(std::move(previous));
  }
  // Messages that were accepted and have no end yet.
  std::size_t CountOpen() {
    std::size_t count = 0;
    for (const std::string& name : clients->Taken()) {
      count += partner.delivered.contains(name) || notified.contains(name) ? 0 : 1;
    }
    return count;
  }
  void Finish(std::size_t most_unknown) {
    clients->Pause();
    partner.menu = {Partner::Fault::kNone};
    // The last clients may still wait for their answers.
    RunUntil(loop, [&] { return clients->Unknown().size() <= most_unknown && CountOpen() == 0; });
    int contradictions = 0;
    for (const auto& [name, statuses] : notified) contradictions += statuses.size() > 1 ? 1 : 0;
    for (const auto& previous : leaving) {
      WaitUntilEnded(*previous);
      assert(previous->child.Wait() == 0 || previous->child.Wait() == 128 + SIGKILL);
    }
    assert(serving->End(SIGTERM) == 0);
    std::printf(
        "%d submitted, %zu accepted, %zu delivered, %zu notified; unanswered %zu, contradictory ends %d, "
        "forbidden retries %d, second copies %d, most calls in flight %d\n",
        clients->posted, clients->Taken().size(), partner.delivered.size(), notified.size(),
        clients->Unknown().size(), contradictions, partner.forbidden_repeats, partner.Broken("second copy"),
        partner.most_out());
    std::fflush(stdout);
    assert(clients->Unknown().size() <= most_unknown && contradictions == 0 &&
           partner.forbidden_repeats == 0);
    assert(partner.Broken("too many attempts") == 0 && partner.Broken("second copy") == 0);
    assert(partner.most_out() <= max_concurrent_calls);
  }

  const std::string program;
  Partner partner;
  const std::uint64_t seed;
  int starts = 0;
  std::map<std::string, std::set<std::string>> notified;
  std::unique_ptr<Process> serving;
  std::vector<std::unique_ptr<Process>> leaving;
  std::unique_ptr<Clients> clients;
};

void UpgradesUnderLoadLoseNothing(const std::string& program, int upgrades, std::uint64_t seed) {
  Upgrades w(program, seed);
  using Fault = Partner::Fault;
  w.partner.menu = {Fault::kTooManyRequests,   Fault::kServiceUnavailable, Fault::kError,     Fault::kReset,
                    Fault::kMalformedResponse, Fault::kLateExecution,      Fault::kNoResponse};
  w.partner.menu.resize(40, Fault::kNone);
  w.clients->Start(4ms);
  for (int i = 0; i < upgrades; ++i) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300 + 37 * (i % 7));
    RunUntil(w.loop, [&] { return std::chrono::steady_clock::now() >= until; });
    w.Upgrade(i % 3 == 0 ? 0 : SIGTERM);  // signalled or left to itself, often before the last one has ended
  }
  w.Finish(0);
}

// Half a request, and a connection that a client uses for all its messages, continue in the next process.
void ClientConnectionsContinueInTheNextProcess(const std::string& program) {
  Upgrades w(program, 1);
  const auto message = [](const std::string& id) {
    return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
           "\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 4\r\n\r\n";
  };
  RawClient half(w.loop, w.serving->Port(), message("half") + "ha");
  RawClient head(w.loop, w.serving->Port(), "POST /aviso HT");
  RawClient persistent(w.loop, w.serving->Port(), message("first") + "frst");
  RunUntil(w.loop, [&] { return persistent.received.find(" 202 ") != std::string::npos; });
  w.Upgrade(SIGTERM);
  half.Write("lf");
  head.Write(message("head").substr(14) + "head");
  persistent.received.clear();
  persistent.Write(message("second") + "scnd");
  const auto is_accepted = [](const RawClient& client) {
    return client.received.find(" 202 ") != std::string::npos;
  };
  RunUntil(w.loop, [&] { return is_accepted(half) && is_accepted(head) && is_accepted(persistent); });
  RunUntil(w.loop, [&] { return w.partner.delivered.size() == 4; });
  assert(w.partner.delivered.contains("half") && w.partner.delivered.contains("scnd"));
  // It is idle, and closed by the usual rule, not by the upgrade.
  assert(!persistent.closed && persistent.received.find("Connection: close") == std::string::npos);
  w.Finish(0);
}

// A payment that may have been executed is never sent again, whichever process ends first.
void InFlightNonIdempotentCallIsNotRepeated(const std::string& program) {
  for (const int signal : {SIGTERM, SIGKILL}) {
    Upgrades w(program, 2);
    w.partner.menu = {Partner::Fault::kNoResponse};
    w.client_requests.push_back(std::make_unique<ClientRequest>(w.loop, w.serving->Port(), "/pagamento",
                                                                Headers{{"X-Request-Id", "p0"},
                                                                        {"X-Class", "pagamento"},
                                                                        {"X-Deadline", "20000m"},
                                                                        {"X-Envelope", "dest=7"}},
                                                                "p0"));
    RunUntil(w.loop, [&] { return w.partner.calls["p0"] == 1; });
    w.partner.menu = {Partner::Fault::kNone};
    w.Upgrade(signal);
    RunUntil(w.loop, [&] { return w.notified["p0"].contains("undeliverable"); });
    assert(w.partner.calls["p0"] == 1);
    w.notified.erase("p0");
    w.Finish(0);
  }
}

void FailedStartsLeaveTheServingProcessUnchanged(const std::string& program) {
  Upgrades w(program, 3);
  w.clients->Start(5ms);
  // A configuration that can't be used, another node's name, an admin address that is in use.
  std::ofstream(w.folder.path + "/broken.json") << "{";
  std::string named = w.ConfigText();
  named.replace(named.find("\"n0\""), 4, "\"n9\"");
  std::ofstream(w.folder.path + "/named.json") << named;
  const RawClient unused(w.loop, w.serving->Port(), "");
  std::string same_admin = w.ConfigText();
  same_admin.insert(1, R"("admin":"127.0.0.1:)" + std::to_string(w.agent.port()) + R"(",)");
  std::ofstream(w.folder.path + "/same_admin.json") << same_admin;
  for (const char* config : {"broken.json", "named.json", "same_admin.json"}) {
    auto next = w.Start(config);
    w.WaitUntilEnded(*next);
    assert(next->child.Wait() == 1);
  }
  assert(w.serving->child.Running());
  // Killed at moments through its start: the process that has the journal then continues, or the next one
  // does.
  for (int ms = 0; ms < 40; ms += 4) {
    auto next = w.Start();
    RunFor(w.loop, std::chrono::milliseconds(ms));
    const bool took = ReadFile(next->child.log()).find(" handover.received ") != std::string::npos;
    next->End(SIGKILL);
    RunFor(w.loop, 20ms);
    if (!took && ReadFile(w.serving->child.log()).find(" handover.completed ") == std::string::npos) {
      assert(w.serving->child.Running());
      continue;
    }
    w.clients->Pause();
    w.leaving.push_back(std::exchange(w.serving, w.Start()));
    RunUntil(w.loop, [&] { return w.serving->Port() != 0; });
    w.clients->Start(5ms);
  }
  w.Finish(100);  // clients of a process that was killed
}

// This test acts as the new process: it gets the permission, begins an epoch, and dies before it reports
// that.
void DeathAfterPermissionToBeginIsSurvived(const std::string& program) {
  Upgrades w(program, 10);
  w.clients->Start(5ms);
  struct Host : JournalHost {
    explicit Host(Predecessor& previous) : previous(previous) {}
    void ScheduleTurn(Duration) override {}
    void OnProgress() override {}
    void SyncInBackground(std::shared_ptr<File>, std::function<void(int)>) override {}
    void BeforeFirstWrite() override { previous.ConfirmReady(); }
    void OnFenced() override {}
    Predecessor& previous;
  };
  const Config config = ParseWithoutVariables(w.ConfigText());
  for (std::uint64_t i = 1; i <= 3; ++i) {
    RunFor(w.loop, 100ms);
    {
      const auto previous = Predecessor::Find(config);
      assert(previous != nullptr);
      PosixFileSystem files;
      files.Adopt(std::move(previous->received().journal_lock));
      MessageTable messages;
      const SystemClock clock;
      Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
      Host host(*previous);
      const SegmentJournal journal(files, MakeJournalSettings(config, {}), messages, clock, log, host);
      assert(journal.epoch() == 2 * i);
    }
    const std::size_t before = w.partner.delivered.size();
    RunUntil(w.loop, [&] { return w.partner.delivered.size() > before + 20; });
    assert(w.Ask(*w.serving, "STATUS\n") == "done ready\n");
  }
  w.Upgrade(SIGTERM);
  w.Finish(0);
}

// The next process serves even if this one was paused, and uses the discovery address of the reload just
// before.
void UpgradeOfPausedAndReloadedProcessServesAtNewAddress(const std::string& program) {
  Upgrades w(program, 5);
  assert(w.Ask(*w.serving, "PAUSE\n").starts_with("done ") &&
         w.Ask(*w.serving, "STATUS\n") == "error drained\n");
  loadtest::Agent moved(w.loop);
  std::string config = w.ConfigText();
  const std::string was = At(w.agent.port());
  config.replace(config.find(was), was.size(), At(moved.port()));
  std::ofstream(w.folder.path + "/config.json") << config;
  w.serving->child.Signal(SIGHUP);  // a paused process reloads too, and stays paused
  RunUntil(w.loop, [&] { return moved.watch != nullptr; });
  assert(w.Ask(*w.serving, "STATUS\n") == "error drained\n");
  moved.watch.reset();
  w.Upgrade(0);
  assert(w.Ask(*w.serving, "STATUS\n") == "done ready\n");
  RunUntil(w.loop, [&] { return moved.watch != nullptr; });
  w.clients->Start(5ms);
  RunUntil(w.loop, [&] { return w.partner.delivered.size() > 20; });
  w.Finish(0);
}

// Both processes together stay below the memory limit of one.
void BothProcessesStayBelowTheMemoryLimit(const std::string& program, std::size_t most_kb) {
  Upgrades w(program, 6);
  w.partner.menu = {Partner::Fault::kNoResponse};
  w.clients->deadline_ms = 20'000;
  w.clients->Start(2ms);
  RunUntil(w.loop, [&] { return w.clients->posted > 400; });
  w.clients->Pause();
  w.Upgrade(0);
  std::size_t both = 0;
  for (const Process* process : {w.serving.get(), w.leaving.back().get()}) {
    const std::string status = ReadFile("/proc/" + std::to_string(process->child.pid()) + "/status");
    both += std::strtoull(status.c_str() + status.find("VmRSS:") + 6, nullptr, 10);
  }
  std::printf("resident memory of both: %zu KB\n", both);
  assert(both > 0 && both < most_kb);
  w.Finish(0);
}

// The disk is full: the new process can't begin, and the old one continues.
void FullDiskAbortsTheHandover(const std::string& program) {
  Upgrades w(program, 7);
  w.clients->Start(5ms);
  RunUntil(w.loop, [&] { return w.partner.delivered.size() > 10; });
  const loadtest::Child next(
      {"/bin/sh", "-c", "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"", program, "serve", "--config",
       w.folder.path + "/config.json", "--node-file", w.folder.path + "/node.json"},
      "", w.folder.path + "/full");
  RunUntil(w.loop, [&] { return !next.Running(); });
  assert(next.Wait() == 1 && w.serving->child.Running());
  assert(ReadFile(w.serving->child.log()).find(" handover.aborted ") != std::string::npos);
  assert(w.Ask(*w.serving, "STATUS\n") == "done ready\n");
  const std::size_t before = w.partner.delivered.size();
  RunUntil(w.loop, [&] { return w.partner.delivered.size() > before + 20; });
  w.Finish(0);
}

// A journal of format 1 is migrated, and then handed over with its calls in flight. (The programs that wrote
// it can't hand over: they are stopped first.)
void Format1JournalIsMigratedAndHandedOver(const std::string& program) {
  Upgrades w(program, 9);
  assert(w.serving->End(SIGTERM) == 0);
  std::filesystem::remove_all(w.folder.path + "/journal");
  const Time deadline = SystemClock().Now() + 20s;
  std::ofstream(w.folder.path + "/log", std::ios::binary) << MakeFormat1Log(30, false, deadline, 0);
  w.partner.menu = {Partner::Fault::kNoResponse};  // more messages than slots: some wait
  w.serving = w.Start();
  RunUntil(w.loop, [&] { return w.serving->Port() != 0; });
  assert(ReadFile(w.serving->child.log()).find(" journal.migrated ") != std::string::npos);
  RunUntil(w.loop, [&] { return w.partner.out() == static_cast<std::size_t>(w.max_concurrent_calls); });
  w.Upgrade(0);
  w.Upgrade(0);
  w.partner.menu = {Partner::Fault::kNone};
  RunUntil(w.loop, [&] { return w.partner.delivered.size() == 30; });
  w.Finish(0);
}

// Killed before, during and after the handover: the next process has the journal in each case.
void OldProcessMayBeKilledDuringTheHandover(const std::string& program) {
  Upgrades w(program, 8);
  w.clients->Start(5ms);
  for (int ms = 0; ms < 36; ms += 4) {
    RunFor(w.loop, 50ms);
    auto next = w.Start();
    RunFor(w.loop, std::chrono::milliseconds(ms));
    w.clients->Pause();
    w.serving->End(SIGKILL);
    RunUntil(w.loop, [&] { return next->Port() != 0; });
    w.leaving.push_back(std::exchange(w.serving, std::move(next)));
    w.clients->Start(5ms);
  }
  w.Finish(60);  // of those who had asked the one that was killed
}

// Two start at once: one after the other takes over, and one serves in the end.
void TwoNewProcessesTakeOverInTurn(const std::string& program) {
  Upgrades w(program, 4);
  w.clients->Start(5ms);
  auto one = w.Start();
  auto two = w.Start();
  const auto handed = [](Process& p) {
    return ReadFile(p.child.log()).find(" handover.completed ") != std::string::npos;
  };
  RunUntil(w.loop, [&] { return one->Port() != 0 && two->Port() != 0; });
  RunUntil(w.loop, [&] { return handed(*one) != handed(*two); });
  w.leaving.push_back(std::move(w.serving));
  w.serving = std::move(handed(*one) ? two : one);
  w.leaving.push_back(std::move(one ? one : two));
  RunFor(w.loop, 200ms);
  w.Finish(0);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  using namespace sagetally;
  assert(argc == 4);
  UpgradesUnderLoadLoseNothing(argv[1], std::atoi(argv[2]), std::strtoull(argv[3], nullptr, 10));
  ClientConnectionsContinueInTheNextProcess(argv[1]);
  InFlightNonIdempotentCallIsNotRepeated(argv[1]);
  FailedStartsLeaveTheServingProcessUnchanged(argv[1]);
  DeathAfterPermissionToBeginIsSurvived(argv[1]);
  TwoNewProcessesTakeOverInTurn(argv[1]);
  UpgradeOfPausedAndReloadedProcessServesAtNewAddress(argv[1]);
  if (kMemoryIsMeaningful) BothProcessesStayBelowTheMemoryLimit(argv[1], 32'000);
  FullDiskAbortsTheHandover(argv[1]);
  Format1JournalIsMigratedAndHandedOver(argv[1]);
  OldProcessMayBeKilledDuringTheHandover(argv[1]);
  std::puts("11 passed, 0 failed");
}
