// Runs the dispatcher as a process and kills it with SIGKILL at random moments while messages fail, are
// stored and are redriven. Checks that no accepted message is lost and none takes effect twice that must not.
// Arguments: the program, the number of kills, the seed of the random moments and faults.
#include <boost/random/uniform_int_distribution.hpp>
#include <fstream>

#include "../app/process.h"
#include "dead_letter/rule_files.h"
#include "partner.h"

namespace sagetally {
namespace {

// One dispatcher as a process, its partner and its clients.
class KillWorld : public World {
 public:
  KillWorld(const std::string& program, std::uint64_t seed)
      : World(0, 24, 200),
        program_(program),
        random_(seed),
        partner_(loop, seed, 10s),
        clients_(
            loop, [this] { return process_->Port(); }, seed) {
    ports.resize(8, partner_.port);
    one_destination_each = true;
    disk_mb = 30;
    sockets = 1024;
    rate = 2000;
    WriteFiles();
    partner_.fault_choices = Partner::FaultsOfEveryKind();
    process_ = std::make_unique<Process>(program_, folder.path);
    clients_.destinations = 8;
    clients_.deadline_ms = 120;
  }

  void RunAndKill(int kills) {
    for (int kill = 0; kill < kills; ++kill) {
      RunUntil(loop, [&] { return process_->Port() != 0; });
      clients_.Start(3ms);
      RunFor(loop,
             std::chrono::microseconds(boost::random::uniform_int_distribution<int>(0, 300'000)(random_)));
      clients_.Pause();
      process_->End(SIGKILL);
      process_ = std::make_unique<Process>(program_, folder.path);
    }
  }

  // Runs until no dead letter can be redriven any more and there has been no call for 8 rounds of 200 ms.
  void RunUntilIdle() {
    RunUntil(loop, [&] { return process_->Port() != 0; });
    partner_.fault_choices = {Partner::Fault::kNone};
    int idle_rounds = 0;
    std::size_t calls = 0;
    RunUntil(loop, [&] {
      RunFor(loop, 200ms);
      const bool is_idle = CountRedrivable() == 0 && partner_.calls.size() == calls && partner_.out() == 0;
      calls = partner_.calls.size();
      idle_rounds = is_idle ? idle_rounds + 1 : 0;
      return idle_rounds >= 8;
    });
  }

  void Stop() {
    const int status = process_->End(SIGTERM);
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  }

  // Checks that every accepted message was delivered or is held, and that no message took effect twice that
  // must not.
  void CheckAllDeliveredOrHeld(int kills) {
    const std::map<std::string, dead_letter::DeadLetter> stored = Stored();
    PrintDecisionReasons(stored);
    const std::set<std::string> accepted = clients_.Taken();
    std::map<dead_letter::DeadLetterState, int> states;
    int lost = 0;
    for (const std::string& name : accepted) {
      const auto found = stored.find(name);
      const bool delivered = partner_.delivered.contains(name);
      if (found != stored.end()) {
        ++states[found->second.state];
        CheckDeliveredOrHeld(found->second, delivered);
      } else if (!delivered) {
        std::fprintf(stderr, "lost: %s\n", name.c_str());
        ++lost;
      }
    }
    const int redriven = states[dead_letter::DeadLetterState::kDelivered];
    std::printf(
        "%d kills, %d submitted, %zu accepted, %zu stored, %d delivered by redrive, %d held; forbidden "
        "repeats %d, second copies %d, lost %d\n",
        kills, clients_.posted, accepted.size(), stored.size(), redriven,
        states[dead_letter::DeadLetterState::kHeld], partner_.forbidden_repeats,
        partner_.Broken("second copy"), lost);
    std::fflush(stdout);
    assert(lost == 0 && partner_.forbidden_repeats == 0 && partner_.Broken("too many attempts") == 0);
    assert(accepted.size() > static_cast<std::size_t>(kills) && redriven > 0);
  }

 private:
  void WriteFiles() {
    const auto write = [&](const char* name, const std::string& text) {
      std::ofstream(folder.path + "/" + name) << text;
    };
    write("config.json", ConfigText());
    write("rules", "rule all: when true then resend rate 500/s times 100 window 1h deadline 1s after 0s;");
    write("node.json",
          R"({"kept":{"ends":["undeliverable","deferred"],"resend_deferred":true,"rules":")" + folder.path +
              R"(/rules","slots_share":0.4,"destination_rate":1000,"backoff_ms":50,"backoff_most_ms":400}})");
  }

  dead_letter::Database OpenStore() const {
    dead_letter::Database::Settings settings;
    settings.path = folder.path + "/kept/kept.db";
    settings.read_only = true;
    return dead_letter::Database(settings);
  }

  std::int64_t CountRedrivable() const {
    return OpenStore().Count(dead_letter::ParseCondition("state in {kept, claimed}", {}), Time(0));
  }

  std::map<std::string, dead_letter::DeadLetter> Stored() const {
    std::map<std::string, dead_letter::DeadLetter> stored;
    OpenStore().ForEach(dead_letter::Condition(), Time(0), false,
                        [&](const dead_letter::DeadLetter& dead_letter) {
                          assert(stored.emplace(dead_letter.request.id, dead_letter).second);
                          return true;
                        });
    return stored;
  }

  static void PrintDecisionReasons(const std::map<std::string, dead_letter::DeadLetter>& stored) {
    std::map<std::string, int> reasons;
    for (const auto& [name, dead_letter] : stored) ++reasons[dead_letter.decision_reason];
    for (const auto& [reason, count] : reasons) std::printf("  reason '%s': %d\n", reason.c_str(), count);
  }

  static void CheckDeliveredOrHeld(const dead_letter::DeadLetter& dead_letter, bool delivered) {
    const bool is_redriven = dead_letter.state == dead_letter::DeadLetterState::kDelivered;
    assert(is_redriven || dead_letter.state == dead_letter::DeadLetterState::kHeld);
    if (is_redriven) assert(delivered);
  }

  const std::string program_;
  boost::random::mt19937_64 random_;
  Partner partner_;
  std::unique_ptr<Process> process_;
  Clients clients_;
};

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  assert(argc == 4);
  const int kills = std::atoi(argv[2]);
  sagetally::KillWorld world(argv[1], std::strtoull(argv[3], nullptr, 10));
  world.RunAndKill(kills);
  world.RunUntilIdle();
  world.Stop();
  world.CheckAllDeliveredOrHeld(kills);
  std::puts("1 passed, 0 failed");
}
