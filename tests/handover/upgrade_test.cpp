// The program replaced by itself under traffic, on real processes and sockets. Arguments: the program, how
// many upgrades, a seed.
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
constexpr bool kOwnMemory = false;  // the sanitizer's memory is not the program's
#else
constexpr bool kOwnMemory = true;
#endif

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct Upgrades : World {
  Upgrades(std::string program, std::uint64_t seed)
      : World(0, 24, 150), program(std::move(program)), partner(loop, seed, 10s), seed(seed) {
    ports.resize(8, partner.port);
    spread = true;
    sockets = 512;
    rate = 2000;
    admin = true;
    std::ofstream(folder.path + "/config.json") << ConfigText();
    std::ofstream(folder.path + "/node.json") << "{}";
    agent.keep_notices = false;
    agent.on_notice = [this](const std::string& id, const std::string& status) { told[id].insert(status); };
    serving = Start();
    Until(loop, [this] { return serving->Port() != 0; });
    clients = std::make_unique<Clients>(
        loop, [this] { return serving->Port(); }, this->seed);
    clients->destinations = 8;
    clients->deadline_ms = 3000;
  }
  std::unique_ptr<Process> Start(const std::string& config = "config.json") {
    return std::make_unique<Process>(program, folder.path, "log" + std::to_string(++lives), config);
  }
  void Gone(Process& process) {  // without holding up the loop, on which its partner stands
    Until(loop, [&] { return !process.child.Running(); });
  }
  // By `signal`, or left alone with 0.
  // One call at the door that a process has named in its log.
  std::string Ask(Process& process, const std::string& line) {
    const std::string log = ReadFile(process.child.log());
    const std::size_t at = log.find(" admin.ready ");
    assert(at != log.npos);
    const int port = std::atoi(log.c_str() + log.find("port=", at) + 5);
    RawClient client(loop, static_cast<std::uint16_t>(port), line);
    Until(loop, [&] { return client.closed; });
    return client.got;
  }
  void Upgrade(int signal) {
    auto next = Start();
    Until(loop, [&] { return next->Port() != 0 || !next->child.Running(); });
    assert(next->Port() == serving->Port());
    assert(ReadFile(next->child.log()).find(" handover.received ") != std::string::npos);
    auto old = std::exchange(serving, std::move(next));
    if (signal != 0) old->child.Signal(signal);
    leaving.push_back(std::move(old));
  }
  std::size_t Open() {
    std::size_t n = 0;
    for (const std::string& name : clients->Taken()) {
      n += partner.delivered.contains(name) || told.contains(name) ? 0 : 1;
    }
    return n;
  }
  void Finish(std::size_t most_unknown) {
    clients->Pause();
    partner.menu = {Partner::Fault::kWell};
    // The last ones asked may still wait for their answer.
    Until(loop, [&] { return clients->Unknown().size() <= most_unknown && Open() == 0; });
    int two_ends = 0;
    for (const auto& [name, statuses] : told) two_ends += statuses.size() > 1 ? 1 : 0;
    for (const auto& old : leaving) {
      Gone(*old);
      assert(old->child.Wait() == 0 || old->child.Wait() == 128 + SIGKILL);
    }
    assert(serving->End(SIGTERM) == 0);
    std::printf(
        "%d handed in, %zu taken, %zu delivered, %zu told; unanswered %zu, two ends %d, forbidden repeats "
        "%d, "
        "second copies %d, most calls out %d\n",
        clients->posted, clients->Taken().size(), partner.delivered.size(), told.size(),
        clients->Unknown().size(), two_ends, partner.forbidden_repeats, partner.Broken("second copy"),
        partner.most_out());
    std::fflush(stdout);
    assert(clients->Unknown().size() <= most_unknown && two_ends == 0 && partner.forbidden_repeats == 0);
    assert(partner.Broken("too many attempts") == 0 && partner.Broken("second copy") == 0);
    assert(partner.most_out() <= slots);
  }

  const std::string program;
  Partner partner;
  const std::uint64_t seed;
  int lives = 0;
  std::map<std::string, std::set<std::string>> told;
  std::unique_ptr<Process> serving;
  std::vector<std::unique_ptr<Process>> leaving;
  std::unique_ptr<Clients> clients;
};

void NothingIsLostUnderLoad(const std::string& program, int upgrades, std::uint64_t seed) {
  Upgrades w(program, seed);
  using enum Partner::Fault;
  w.partner.menu = {kFull, kRefuse, kError, kReset, kSpoilt, kLate, kSilent};
  w.partner.menu.resize(40, kWell);
  w.clients->Start(4ms);
  for (int i = 0; i < upgrades; ++i) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300 + 37 * (i % 7));
    Until(w.loop, [&] { return std::chrono::steady_clock::now() >= until; });
    w.Upgrade(i % 3 == 0 ? 0 : SIGTERM);  // told to end, or by itself, and often before the last one has gone
  }
  w.Finish(0);
}

// A request that is half there, and one connection for all of a client's messages, go on in the next process.
void ClientsKeepTheirConnections(const std::string& program) {
  Upgrades w(program, 1);
  const auto message = [](const std::string& id) {
    return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
           "\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 4\r\n\r\n";
  };
  RawClient half(w.loop, w.serving->Port(), message("half") + "ha");
  RawClient head(w.loop, w.serving->Port(), "POST /aviso HT");
  RawClient kept(w.loop, w.serving->Port(), message("first") + "frst");
  Until(w.loop, [&] { return kept.got.find(" 202 ") != std::string::npos; });
  w.Upgrade(SIGTERM);
  half.Write("lf");
  head.Write(message("head").substr(14) + "head");
  kept.got.clear();
  kept.Write(message("second") + "scnd");
  const auto taken = [](const RawClient& c) { return c.got.find(" 202 ") != std::string::npos; };
  Until(w.loop, [&] { return taken(half) && taken(head) && taken(kept); });
  Until(w.loop, [&] { return w.partner.delivered.size() == 4; });
  assert(w.partner.delivered.contains("half") && w.partner.delivered.contains("scnd"));
  // Idle as it was, and closed by the usual rule, not by the upgrade.
  assert(!kept.closed && kept.got.find("Connection: close") == std::string::npos);
  w.Finish(0);
}

// A payment that may have run is never sent again, whoever goes first.
void APaymentThatIsOutIsNotSentAgain(const std::string& program) {
  for (const int signal : {SIGTERM, SIGKILL}) {
    Upgrades w(program, 2);
    w.partner.menu = {Partner::Fault::kSilent};
    w.asks.push_back(std::make_unique<Ask>(w.loop, w.serving->Port(), "/pagamento",
                                           Headers{{"X-Request-Id", "p0"},
                                                   {"X-Class", "pagamento"},
                                                   {"X-Deadline", "20000m"},
                                                   {"X-Envelope", "dest=7"}},
                                           "p0"));
    Until(w.loop, [&] { return w.partner.calls["p0"] == 1; });
    w.partner.menu = {Partner::Fault::kWell};
    w.Upgrade(signal);
    Until(w.loop, [&] { return w.told["p0"].contains("undeliverable"); });
    assert(w.partner.calls["p0"] == 1);
    w.told.erase("p0");
    w.Finish(0);
  }
}

void WhoCannotTakeOverLeavesAllAsItWas(const std::string& program) {
  Upgrades w(program, 3);
  w.clients->Start(5ms);
  // A configuration that can't be used, another node's name, a door that is taken.
  std::ofstream(w.folder.path + "/broken.json") << "{";
  std::string named = w.ConfigText();
  named.replace(named.find("\"n0\""), 4, "\"n9\"");
  std::ofstream(w.folder.path + "/named.json") << named;
  RawClient door(w.loop, w.serving->Port(), "");
  std::string doors = w.ConfigText();
  doors.insert(1, R"("admin":"127.0.0.1:)" + std::to_string(w.agent.port()) + R"(",)");
  std::ofstream(w.folder.path + "/doors.json") << doors;
  for (const char* config : {"broken.json", "named.json", "doors.json"}) {
    auto next = w.Start(config);
    w.Gone(*next);
    assert(next->child.Wait() == 1);
  }
  assert(w.serving->child.Running());
  // Killed at moments through its start: whoever has the journal then goes on, or the next start does.
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
    Until(w.loop, [&] { return w.serving->Port() != 0; });
    w.clients->Start(5ms);
  }
  w.Finish(100);  // of those who asked one that was killed
}

// This test in the new process' place: it has the word, begins an epoch, and is gone before it says so.
void OneThatDiesWithTheWordInHandCostsNobodyAnything(const std::string& program) {
  Upgrades w(program, 10);
  w.clients->Start(5ms);
  struct Host : JournalHost {
    explicit Host(Predecessor& old) : old(old) {}
    void ScheduleTurn(Duration) override {}
    void OnProgress() override {}
    void SyncInBackground(std::shared_ptr<File>, std::function<void(int)>) override {}
    void BeforeFirstWrite() override { old.ConfirmReady(); }
    void OnFenced() override {}
    Predecessor& old;
  };
  const Config config = ParseConfig(w.ConfigText(), [](const char*) -> const char* { return nullptr; });
  for (std::uint64_t i = 1; i <= 3; ++i) {
    RunFor(w.loop, 100ms);
    {
      const auto old = Predecessor::Find(config);
      assert(old != nullptr);
      PosixFileSystem files;
      files.Adopt(std::move(old->received().journal_lock));
      MessageTable ledger;
      const SystemClock clock;
      Logger log{LogOptions{LogFormat::kText, static_cast<LogLevel>(9)}};
      Host host(*old);
      const SegmentJournal journal(files, MakeJournalSettings(config, {}), ledger, clock, log, host);
      assert(journal.epoch() == 2 * i);
    }
    const std::size_t before = w.partner.delivered.size();
    Until(w.loop, [&] { return w.partner.delivered.size() > before + 20; });
    assert(w.Ask(*w.serving, "STATUS\n") == "done ready\n");
  }
  w.Upgrade(SIGTERM);
  w.Finish(0);
}

// The next process serves, even if this one was paused, and goes on at the address that SIGHUP named just
// before.
void APausedOneAndOneThatWasJustReloaded(const std::string& program) {
  Upgrades w(program, 5);
  assert(w.Ask(*w.serving, "PAUSE\n").starts_with("done ") &&
         w.Ask(*w.serving, "STATUS\n") == "error drained\n");
  loadtest::Agent moved(w.loop);
  std::string config = w.ConfigText();
  const std::string was = At(w.agent.port());
  config.replace(config.find(was), was.size(), At(moved.port()));
  std::ofstream(w.folder.path + "/config.json") << config;
  w.serving->child.Signal(SIGHUP);  // a paused process hears it too, and stays paused
  Until(w.loop, [&] { return moved.watch != nullptr; });
  assert(w.Ask(*w.serving, "STATUS\n") == "error drained\n");
  moved.watch.reset();
  w.Upgrade(0);
  assert(w.Ask(*w.serving, "STATUS\n") == "done ready\n");
  Until(w.loop, [&] { return moved.watch != nullptr; });
  w.clients->Start(5ms);
  Until(w.loop, [&] { return w.partner.delivered.size() > 20; });
  w.Finish(0);
}

// Both processes together stay under the memory of one.
void MemoryOfBothIsSmall(const std::string& program, std::size_t most_kb) {
  Upgrades w(program, 6);
  w.partner.menu = {Partner::Fault::kSilent};
  w.clients->deadline_ms = 20'000;
  w.clients->Start(2ms);
  Until(w.loop, [&] { return w.clients->posted > 400; });
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

// A disk that has no room for one more file: the new process can't begin, and the old one goes on.
void AFullDiskLeavesAllAsItWas(const std::string& program) {
  Upgrades w(program, 7);
  w.clients->Start(5ms);
  Until(w.loop, [&] { return w.partner.delivered.size() > 10; });
  const loadtest::Child next(
      {"/bin/sh", "-c", "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"", program, "serve", "--config",
       w.folder.path + "/config.json", "--node-file", w.folder.path + "/node.json"},
      "", w.folder.path + "/full");
  Until(w.loop, [&] { return !next.Running(); });
  assert(next.Wait() == 1 && w.serving->child.Running());
  assert(ReadFile(w.serving->child.log()).find(" handover.aborted ") != std::string::npos);
  assert(w.Ask(*w.serving, "STATUS\n") == "done ready\n");
  const std::size_t before = w.partner.delivered.size();
  Until(w.loop, [&] { return w.partner.delivered.size() > before + 20; });
  w.Finish(0);
}

// What an older program left in its one file is taken over, and then handed over with its calls out. (That
// program itself knows no handover: it is stopped first.)
void TheOlderJournalIsHandedOnAtOnce(const std::string& program) {
  Upgrades w(program, 9);
  assert(w.serving->End(SIGTERM) == 0);
  std::filesystem::remove_all(w.folder.path + "/journal");
  const Time deadline = SystemClock().Now() + 20s;
  std::ofstream(w.folder.path + "/log", std::ios::binary) << LegacyLog(30, false, deadline, 0);
  w.partner.menu = {Partner::Fault::kSilent};  // more than there are slots for: some wait
  w.serving = w.Start();
  Until(w.loop, [&] { return w.serving->Port() != 0; });
  assert(ReadFile(w.serving->child.log()).find(" journal.migrated ") != std::string::npos);
  Until(w.loop, [&] { return w.partner.out() == static_cast<std::size_t>(w.slots); });
  w.Upgrade(0);
  w.Upgrade(0);
  w.partner.menu = {Partner::Fault::kWell};
  Until(w.loop, [&] { return w.partner.delivered.size() == 30; });
  w.Finish(0);
}

// Killed before, amid and after it hands over: the next one has the journal all the same.
void TheOldOneIsKilledAmid(const std::string& program) {
  Upgrades w(program, 8);
  w.clients->Start(5ms);
  for (int ms = 0; ms < 36; ms += 4) {
    RunFor(w.loop, 50ms);
    auto next = w.Start();
    RunFor(w.loop, std::chrono::milliseconds(ms));
    w.clients->Pause();
    w.serving->End(SIGKILL);
    Until(w.loop, [&] { return next->Port() != 0; });
    w.leaving.push_back(std::exchange(w.serving, std::move(next)));
    w.clients->Start(5ms);
  }
  w.Finish(60);  // of those who had asked the one that was killed
}

// Two at once: one after the other takes over, and one serves in the end.
void TwoAtOnceTakeTurns(const std::string& program) {
  Upgrades w(program, 4);
  w.clients->Start(5ms);
  auto one = w.Start();
  auto two = w.Start();
  const auto handed = [](Process& p) {
    return ReadFile(p.child.log()).find(" handover.completed ") != std::string::npos;
  };
  Until(w.loop, [&] { return one->Port() != 0 && two->Port() != 0; });
  Until(w.loop, [&] { return handed(*one) != handed(*two); });
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
  NothingIsLostUnderLoad(argv[1], std::atoi(argv[2]), std::strtoull(argv[3], nullptr, 10));
  ClientsKeepTheirConnections(argv[1]);
  APaymentThatIsOutIsNotSentAgain(argv[1]);
  WhoCannotTakeOverLeavesAllAsItWas(argv[1]);
  OneThatDiesWithTheWordInHandCostsNobodyAnything(argv[1]);
  TwoAtOnceTakeTurns(argv[1]);
  APausedOneAndOneThatWasJustReloaded(argv[1]);
  if (kOwnMemory) MemoryOfBothIsSmall(argv[1], 32'000);
  AFullDiskLeavesAllAsItWas(argv[1]);
  TheOlderJournalIsHandedOnAtOnce(argv[1]);
  TheOldOneIsKilledAmid(argv[1]);
  std::puts("11 passed, 0 failed");
}
