// The program on the real file system, killed at seeded moments under traffic, most of them as its journal's
// files change. Arguments: the program, how many kills, a seed, durability.
#include <sys/inotify.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <fstream>

#include "../app/process.h"
#include "../dead_letter/partner.h"

namespace sagetally {
namespace {

// Calls back at the n-th change of a file in a folder.
class Watcher {
 public:
  Watcher(EventLoop& loop, const std::string& folder, std::function<void()> reached)
      : reached_(std::move(reached)),
        fd_(::inotify_init1(IN_NONBLOCK | IN_CLOEXEC)),
        event_(event_new(loop.base(), fd_.get(), EV_READ | EV_PERSIST, Heard, this)) {
    ::inotify_add_watch(fd_.get(), folder.c_str(), IN_CREATE | IN_MOVED_TO | IN_DELETE | IN_CLOSE_WRITE);
    event_add(event_.get(), nullptr);
  }
  void After(int changes) { left_ = changes; }
  int left() const { return left_; }

 private:
  static void Heard(evutil_socket_t fd, short, void* self) {
    auto* w = static_cast<Watcher*>(self);
    alignas(inotify_event) char bytes[4096];
    const ssize_t n = ::read(fd, bytes, sizeof bytes);
    for (ssize_t at = 0; at + static_cast<ssize_t>(sizeof(inotify_event)) <= n;) {
      const auto* e = reinterpret_cast<const inotify_event*>(bytes + at);
      at += static_cast<ssize_t>(sizeof(inotify_event) + e->len);
      if (w->left_ > 0 && --w->left_ == 0) w->reached_();
    }
  }
  const std::function<void()> reached_;
  FileDescriptor fd_;
  EventPtr event_;
  int left_ = 0;
};

void Run(const std::string& program, int kills, std::uint64_t seed, const std::string& durability) {
  World w(0, 24, 150);
  Partner partner(w.loop, seed, 10s);
  w.ports.resize(8, partner.port);
  w.spread = true;
  w.disk_mb = 0.45;
  w.sockets = 1024;
  w.rate = 2000;
  std::ofstream(w.folder.path + "/config.json") << w.ConfigText();
  std::ofstream(w.folder.path + "/node.json")
      << R"({"journal":{"segment_kb":8,"durability":")" << durability << R"("}})";
  using enum Partner::Fault;
  partner.menu = {kFull, kRefuse, kError, kError, kReset, kReset, kSpoilt, kLate, kSilent};
  partner.menu.resize(30, kWell);
  std::map<std::string, std::set<std::string>> told;
  w.agent.keep_notices = false;
  w.agent.on_notice = [&](const std::string& id, const std::string& status) { told[id].insert(status); };
  auto process = std::make_unique<Process>(program, w.folder.path);
  Clients clients(
      w.loop, [&] { return process->Port(); }, seed);
  clients.destinations = 8;
  clients.deadline_ms = 500;
  boost::random::mt19937_64 random(seed);
  const auto draw = [&](int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); };
  Until(w.loop, [&] { return process->Port() != 0; });
  bool killed = false;
  int at_changes = 0;
  Watcher watcher(w.loop, w.folder.path + "/journal", [&] {
    process->child.Signal(SIGKILL);
    killed = true;
    ++at_changes;
  });
  for (int kill = 0; kill < kills; ++kill) {
    Until(w.loop, [&] { return process->Port() != 0; });
    killed = false;
    clients.Start(2ms);
    if (draw(4) > 0) watcher.After(1 + draw(40));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(20 + draw(900));
    Until(w.loop, [&] { return killed || std::chrono::steady_clock::now() >= until; });
    watcher.After(0);
    clients.Pause();
    process->End(SIGKILL);
    process = std::make_unique<Process>(program, w.folder.path);
  }
  Until(w.loop, [&] { return process->Port() != 0; });
  partner.menu = {kWell};
  const auto taken = clients.Taken();
  const auto open = [&] {
    int n = 0;
    for (const std::string& name : taken)
      n += partner.delivered.contains(name) || told.contains(name) ? 0 : 1;
    return n;
  };
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  Until(w.loop, [&] { return open() == 0 || std::chrono::steady_clock::now() >= give_up; });
  const int status = process->End(SIGTERM);
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  int two_ends = 0;
  for (const auto& [name, statuses] : told) two_ends += statuses.size() > 1 ? 1 : 0;
  std::printf(
      "%d kills (%d as the journal's files changed), %d handed in, %zu taken, %zu delivered, %zu told; lost "
      "%d, two "
      "ends %d, forbidden repeats %d, second copies %d\n",
      kills, at_changes, clients.posted, taken.size(), partner.delivered.size(), told.size(), open(),
      two_ends, partner.forbidden_repeats, partner.Broken("second copy"));
  std::fflush(stdout);
  assert(open() == 0 && two_ends == 0 && partner.forbidden_repeats == 0);
  assert(partner.Broken("too many attempts") == 0 && partner.most_out() <= 24 + 1);
  assert(at_changes > kills / 4 && taken.size() > static_cast<std::size_t>(kills));
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  assert(argc == 5);
  sagetally::Run(argv[1], std::atoi(argv[2]), std::strtoull(argv[3], nullptr, 10), argv[4]);
  std::puts("1 passed, 0 failed");
}
