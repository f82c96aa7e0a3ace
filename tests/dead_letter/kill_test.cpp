// The program as a process, killed by SIGKILL at seeded moments while messages fail, are stored and redriven.
// Arguments: the program, how many kills, a seed.
#include <boost/random/uniform_int_distribution.hpp>
#include <fstream>

#include "../app/process.h"
#include "dead_letter/rule_files.h"
#include "partner.h"

namespace sagetally {
namespace {

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
  partner.menu = Partner::FaultsOfEveryKind();
  auto process = std::make_unique<Process>(program, w.folder.path);
  Clients clients(
      w.loop, [&] { return process->Port(); }, seed);
  clients.destinations = 8;
  clients.deadline_ms = 120;
  boost::random::mt19937_64 random(seed);
  for (int kill = 0; kill < kills; ++kill) {
    Until(w.loop, [&] { return process->Port() != 0; });
    clients.Start(3ms);
    RunFor(w.loop,
           std::chrono::microseconds(boost::random::uniform_int_distribution<int>(0, 300'000)(random)));
    clients.Pause();
    process->End(SIGKILL);
    process = std::make_unique<Process>(program, w.folder.path);
  }
  Until(w.loop, [&] { return process->Port() != 0; });
  partner.menu = {Partner::Fault::kWell};
  dead_letter::Database::Settings settings;
  settings.path = w.folder.path + "/kept/kept.db";
  settings.read_only = true;
  const auto count = [&](const std::string& filter) {
    return dead_letter::Database(settings).Count(dead_letter::ParseCondition(filter, {}), Time(0));
  };
  int quiet_rounds = 0;
  std::size_t calls = 0;
  Until(w.loop, [&] {  // all at rest, and no call for a while
    RunFor(w.loop, 200ms);
    const bool is_still =
        count("state in {kept, claimed}") == 0 && partner.calls.size() == calls && partner.out() == 0;
    calls = partner.calls.size();
    quiet_rounds = is_still ? quiet_rounds + 1 : 0;
    return quiet_rounds >= 8;
  });
  const int status = process->End(SIGTERM);
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  std::map<std::string, dead_letter::DeadLetter> stored;
  dead_letter::Database(settings).ForEach(
      dead_letter::Condition(), Time(0), false, [&](const dead_letter::DeadLetter& dead_letter) {
        assert(stored.emplace(dead_letter.request.id, dead_letter).second);
        return true;
      });
  std::map<dead_letter::DeadLetterState, int> states;
  std::map<std::string, int> reasons;
  for (const auto& [name, dead_letter] : stored) ++reasons[dead_letter.decision_reason];
  for (const auto& [reason, count] : reasons) std::printf("  reason '%s': %d\n", reason.c_str(), count);
  int lost = 0;
  const std::set<std::string> accepted = clients.Taken();
  for (const std::string& name : accepted) {
    const auto found = stored.find(name);
    const bool delivered = partner.delivered.contains(name);
    if (found == stored.end() && !delivered) {
      std::fprintf(stderr, "lost: %s\n", name.c_str());
      ++lost;
    }
    if (found == stored.end()) continue;
    ++states[found->second.state];
    assert(found->second.state == dead_letter::DeadLetterState::kDelivered ||
           found->second.state == dead_letter::DeadLetterState::kHeld);
    if (found->second.state == dead_letter::DeadLetterState::kDelivered) assert(delivered);
  }
  std::printf(
      "%d kills, %d submitted, %zu accepted, %zu stored, %d delivered by redrive, %d held; forbidden repeats "
      "%d, second copies %d, lost %d\n",
      kills, clients.posted, accepted.size(), stored.size(), states[dead_letter::DeadLetterState::kDelivered],
      states[dead_letter::DeadLetterState::kHeld], partner.forbidden_repeats, partner.Broken("second copy"),
      lost);
  std::fflush(stdout);
  assert(lost == 0 && partner.forbidden_repeats == 0 && partner.Broken("too many attempts") == 0);
  assert(accepted.size() > static_cast<std::size_t>(kills) &&
         states[dead_letter::DeadLetterState::kDelivered] > 0);
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  assert(argc == 4);
  sagetally::Run(argv[1], std::atoi(argv[2]), std::strtoull(argv[3], nullptr, 10));
  std::puts("1 passed, 0 failed");
}
