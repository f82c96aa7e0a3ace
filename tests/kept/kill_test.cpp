// The program as a process, killed by SIGKILL at seeded moments while messages fail, are kept and sent again.
// Arguments: the program, how many kills, a seed.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <fstream>

#include "kept/files.h"
#include "partner.h"

namespace sagetally {
namespace {

// The child, and the lines that it writes.
class Process {
 public:
  Process(Loop& loop, const std::string& program, const std::string& folder) {
    int ends[2];
    assert(::pipe2(ends, O_CLOEXEC) == 0);
    pid = ::fork();
    if (pid == 0) {
      ::dup2(ends[1], 1);
      std::vector<std::string> words = {
          program, "serve", "--config", folder + "/config.json", "--node-file", folder + "/node.json"};
      std::vector<char*> argv;
      for (std::string& word : words) argv.push_back(word.data());
      argv.push_back(nullptr);
      ::execv(program.c_str(), argv.data());
      ::_exit(127);
    }
    ::close(ends[1]);
    output_.reset(bufferevent_socket_new(loop.base(), ends[0], BEV_OPT_CLOSE_ON_FREE));
    evutil_make_socket_nonblocking(ends[0]);
    bufferevent_setcb(output_.get(), Read, nullptr, nullptr, this);
    bufferevent_enable(output_.get(), EV_READ);
  }
  ~Process() { End(SIGKILL); }
  int End(int signal) {
    if (pid <= 0) return 0;
    ::kill(pid, signal);
    int status = 0;
    ::waitpid(std::exchange(pid, 0), &status, 0);
    return status;
  }
  std::uint16_t port = 0;  // once it is ready
  pid_t pid = 0;

 private:
  static void Read(bufferevent* b, void* self) {
    auto* p = static_cast<Process*>(self);
    evbuffer* in = bufferevent_get_input(b);
    const std::size_t size = evbuffer_get_length(in);
    p->text_.append(reinterpret_cast<char*>(evbuffer_pullup(in, -1)), size);
    evbuffer_drain(in, size);
    const std::size_t at = p->text_.find(" ready name=n0 port=");
    if (p->port == 0 && at != p->text_.npos)
      p->port = static_cast<std::uint16_t>(std::stoi(p->text_.substr(at + 20)));
  }
  std::unique_ptr<bufferevent, Free<bufferevent_free>> output_;
  std::string text_;
};

void Run(const std::string& program, int kills, std::uint64_t seed) {
  World w(0, 24, 200);
  Partner partner(w.loop, seed, 10s);
  w.ports.resize(8, partner.port);
  w.spread = true;
  w.disk_mb = 30;
  w.sockets = 1024;
  w.rate = 2000;
  const auto write = [&](const char* name, const std::string& text) {
    std::ofstream(w.folder.path + "/" + name) << text;
  };
  write("config.json", w.ConfigText());
  write("rules", "rule all: when true then resend rate 500/s times 100 window 1h deadline 1s after 0s;");
  write("node.json",
        R"({"kept":{"ends":["undeliverable","deferred"],"resend_deferred":true,"rules":")" + w.folder.path +
            R"(/rules","slots_share":0.4,"destination_rate":1000,"backoff_ms":50,"backoff_most_ms":400}})");
  using enum Partner::Fault;
  partner.menu = {kFull,  kFull,  kRefuse, kRefuse, kError, kError,  kError, kError, kError,
                  kReset, kReset, kReset,  kSpoilt, kLate,  kSilent, kError, kReset};
  partner.menu.resize(30, kWell);
  auto process = std::make_unique<Process>(w.loop, program, w.folder.path);
  Clients clients(
      w.loop, [&] { return process->port; }, seed);
  clients.destinations = 8;
  clients.deadline_ms = 120;
  boost::random::mt19937_64 random(seed);
  for (int kill = 0; kill < kills; ++kill) {
    Until(w.loop, [&] { return process->port != 0; });
    clients.Start(3ms);
    RunFor(w.loop,
           std::chrono::microseconds(boost::random::uniform_int_distribution<int>(0, 300'000)(random)));
    clients.Pause();
    process->End(SIGKILL);
    process = std::make_unique<Process>(w.loop, program, w.folder.path);
  }
  Until(w.loop, [&] { return process->port != 0; });
  partner.menu = {kWell};
  kept::Database::Settings settings;
  settings.path = w.folder.path + "/kept/kept.db";
  settings.read_only = true;
  const auto count = [&](const std::string& filter) {
    return kept::Database(settings).Count(kept::ParseCondition(filter, {}), Time(0));
  };
  int quiet = 0;
  std::size_t calls = 0;
  Until(w.loop, [&] {  // all at rest, and no call for a while
    RunFor(w.loop, 200ms);
    const bool still =
        count("state in {kept, claimed}") == 0 && partner.calls.size() == calls && partner.out() == 0;
    calls = partner.calls.size();
    quiet = still ? quiet + 1 : 0;
    return quiet >= 8;
  });
  const int status = process->End(SIGTERM);
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  std::map<std::string, kept::KeptMessage> stored;
  kept::Database(settings).ForEach(kept::Condition(), Time(0), false, [&](const kept::KeptMessage& k) {
    assert(stored.emplace(k.request.id, k).second);
    return true;
  });
  std::map<kept::State, int> states;
  std::map<std::string, int> grounds;
  for (const auto& [name, k] : stored) ++grounds[k.ground];
  for (const auto& [ground, n] : grounds) std::printf("  ground '%s': %d\n", ground.c_str(), n);
  int lost = 0;
  const auto taken = clients.Taken();
  for (const std::string& name : taken) {
    const auto at = stored.find(name);
    const bool delivered = partner.delivered.contains(name);
    if (at == stored.end() && !delivered) std::fprintf(stderr, "lost: %s\n", name.c_str()), ++lost;
    if (at == stored.end()) continue;
    ++states[at->second.state];
    assert(at->second.state == kept::State::kDelivered || at->second.state == kept::State::kHeld);
    if (at->second.state == kept::State::kDelivered) assert(delivered);
  }
  std::printf(
      "%d kills, %d handed in, %zu taken, %zu kept, %d delivered by resend, %d held; forbidden repeats %d, "
      "second copies %d, lost %d\n",
      kills, clients.posted, taken.size(), stored.size(), states[kept::State::kDelivered],
      states[kept::State::kHeld], partner.forbidden_repeats, partner.Broken("second copy"), lost);
  std::fflush(stdout);
  assert(lost == 0 && partner.forbidden_repeats == 0 && partner.Broken("too many attempts") == 0);
  assert(taken.size() > static_cast<std::size_t>(kills) && states[kept::State::kDelivered] > 0);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  assert(argc == 4);
  sagetally::Run(argv[1], std::atoi(argv[2]), std::strtoull(argv[3], nullptr, 10));
  std::puts("1 passed, 0 failed");
}
