// Runs the program on the real file system under traffic, kills it again and again at random times, mostly at
// a change of its journal's files, and checks that no accepted message is lost. Arguments: the program, the
// number of kills, a random seed, and the durability of the journal.
#include <sys/inotify.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <fstream>

#include "../app/process.h"
#include "../dead_letter/partner.h"

namespace sagetally {
namespace {

// Calls a function after a given number of file changes in a folder.
class FolderWatcher {
 public:
  FolderWatcher(EventLoop& loop, const std::string& folder, std::function<void()> on_count_reached)
      : on_count_reached_(std::move(on_count_reached)),
        descriptor_(::inotify_init1(IN_NONBLOCK | IN_CLOEXEC)),
        event_(event_new(loop.base(), descriptor_.get(), EV_READ | EV_PERSIST, OnReadable, this)) {
    ::inotify_add_watch(descriptor_.get(), folder.c_str(),
                        IN_CREATE | IN_MOVED_TO | IN_DELETE | IN_CLOSE_WRITE);
    event_add(event_.get(), nullptr);
  }
  // Calls the function at the change with this number, counted from now on. 0 means never.
  void CallAfter(int changes) { changes_left_ = changes; }

 private:
  static void OnReadable(evutil_socket_t descriptor, short, void* self) {
    auto* watcher = static_cast<FolderWatcher*>(self);
    alignas(inotify_event) char bytes[4096];
    const ssize_t size = ::read(descriptor, bytes, sizeof bytes);
    for (ssize_t offset = 0; offset + static_cast<ssize_t>(sizeof(inotify_event)) <= size;) {
      const auto* event = reinterpret_cast<const inotify_event*>(bytes + offset);
      offset += static_cast<ssize_t>(sizeof(inotify_event) + event->len);
      if (watcher->changes_left_ > 0 && --watcher->changes_left_ == 0) watcher->on_count_reached_();
    }
  }
  const std::function<void()> on_count_reached_;
  FileDescriptor descriptor_;
  EventPtr event_;
  int changes_left_ = 0;
};

// One node with clients that send messages and a partner that injects faults. Records which messages were
// delivered and of which final statuses the clients were notified.
class KillTest {
 public:
  KillTest(std::string program, std::uint64_t seed, const std::string& durability)
      : program_(std::move(program)), partner_(world_.loop, seed, 10s), random_(seed) {
    ConfigureNode(durability);
    ConfigurePartner();
    world_.agent.keep_notices = false;
    world_.agent.on_notice = [this](const std::string& id, const std::string& status) {
      notified_[id].insert(status);
    };
    process_ = std::make_unique<Process>(program_, world_.folder.path);
    clients_ = std::make_unique<Clients>(
        world_.loop, [this] { return process_->Port(); }, seed);
    clients_->destinations = 8;
    clients_->deadline_ms = 500;
  }

  void Run(int kills) {
    WaitUntilReady();
    FolderWatcher watcher(world_.loop, world_.folder.path + "/journal", [this] {
      process_->child.Signal(SIGKILL);
      is_killed_ = true;
      ++kills_at_changes_;
    });
    for (int kill = 0; kill < kills; ++kill) KillUnderTraffic(watcher);
    WaitUntilReady();
    partner_.fault_choices = {Fault::kNone};
    accepted_ = clients_->Taken();
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    RunUntil(world_.loop,
             [&] { return CountUnfinished() == 0 || std::chrono::steady_clock::now() >= give_up_at; });
    const int status = process_->End(SIGTERM);
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    Report(kills);
    Check(kills);
  }

 private:
  using Fault = Partner::Fault;

  void ConfigureNode(const std::string& durability) {
    world_.ports.resize(8, partner_.port);
    world_.one_destination_each = true;
    world_.disk_mb = 0.45;
    world_.sockets = 1024;
    world_.rate = 2000;
    std::ofstream(world_.folder.path + "/config.json") << world_.ConfigText();
    std::ofstream(world_.folder.path + "/node.json")
        << R"({"journal":{"segment_kb":8,"durability":")" << durability << R"("}})";
  }

  void ConfigurePartner() {
    partner_.fault_choices = {Fault::kTooManyRequests,
                              Fault::kServiceUnavailable,
                              Fault::kError,
                              Fault::kError,
                              Fault::kReset,
                              Fault::kReset,
                              Fault::kMalformedResponse,
                              Fault::kLateExecution,
                              Fault::kNoResponse};
    partner_.fault_choices.resize(30, Fault::kNone);
  }

  // Returns a random number from 0 to `max`.
  int Draw(int max) { return boost::random::uniform_int_distribution<int>(0, max)(random_); }

  void WaitUntilReady() {
    RunUntil(world_.loop, [this] { return process_->Port() != 0; });
  }

  // Lets clients send until the process is killed, either by the watcher or after a random time, and starts
  // the next process.
  void KillUnderTraffic(FolderWatcher& watcher) {
    WaitUntilReady();
    is_killed_ = false;
    clients_->Start(2ms);
    if (Draw(4) > 0) watcher.CallAfter(1 + Draw(40));
    const auto kill_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(20 + Draw(900));
    RunUntil(world_.loop, [&] { return is_killed_ || std::chrono::steady_clock::now() >= kill_at; });
    watcher.CallAfter(0);
    clients_->Pause();
    process_->End(SIGKILL);
    process_ = std::make_unique<Process>(program_, world_.folder.path);
  }

  // Returns the number of accepted messages that were not delivered and whose client was not notified.
  int CountUnfinished() const {
    return static_cast<int>(std::count_if(accepted_.begin(), accepted_.end(), [this](const auto& name) {
      return !partner_.delivered.contains(name) && !notified_.contains(name);
    }));
  }

  // Returns the number of messages whose client was notified of more than one final status.
  int CountConflictingNotifications() const {
    return static_cast<int>(std::count_if(notified_.begin(), notified_.end(),
                                          [](const auto& entry) { return entry.second.size() > 1; }));
  }

  void Report(int kills) {
    std::printf(
        "%d kills (%d at changes of the journal's files), %d posted, %zu accepted, %zu delivered, %zu "
        "notified; "
        "%d lost, %d with conflicting notifications, %d forbidden retries, %d hedged requests\n",
        kills, kills_at_changes_, clients_->posted, accepted_.size(), partner_.delivered.size(),
        notified_.size(), CountUnfinished(), CountConflictingNotifications(), partner_.forbidden_repeats,
        partner_.Broken("second copy"));
    std::fflush(stdout);
  }

  void Check(int kills) {
    assert(CountUnfinished() == 0 && CountConflictingNotifications() == 0 && partner_.forbidden_repeats == 0);
    assert(partner_.Broken("too many attempts") == 0 && partner_.max_calls_in_flight() <= 24 + 1);
    assert(kills_at_changes_ > kills / 4 && accepted_.size() > static_cast<std::size_t>(kills));
  }

  const std::string program_;
  World world_{0, 24, 150};
  Partner partner_;
  boost::random::mt19937_64 random_;
  std::map<std::string, std::set<std::string>>
      notified_;  // the final statuses in notifications, by message id
  std::unique_ptr<Process> process_;
  std::unique_ptr<Clients> clients_;
  std::set<std::string> accepted_;
  bool is_killed_ = false;
  int kills_at_changes_ = 0;
};

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  assert(argc == 5);
  sagetally::KillTest test(argv[1], std::strtoull(argv[3], nullptr, 10), argv[4]);
  test.Run(std::atoi(argv[2]));
  std::puts("1 passed, 0 failed");
}
