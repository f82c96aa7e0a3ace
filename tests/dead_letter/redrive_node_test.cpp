// Kept messages on real sockets: a thousand failures of every kind, then a rule that sends everything again.
#include <fstream>

#include "dead_letter/dead_letter_json.h"
#include "dead_letter/rule_files.h"
#include "dead_letter/wire_names.h"
#include "partner.h"

namespace sagetally {
namespace {

constexpr std::size_t kDestinations = 8;

struct KeptWorld : World {
  explicit KeptWorld(std::uint64_t seed, int slots = 24, int most_held = 200)
      : World(0, slots, most_held),
        partner(loop, seed, 10s),
        clients(
            loop, [this] { return dispatcher->port(); }, seed) {
    ports.resize(kDestinations, partner.port);
    spread = true;
    clients.destinations = kDestinations;
    disk_mb = 30;
    sockets = 1024;
    rate = 2000;
    kept.emplace();
    kept->include_deferred = kept->redrive_deferred = true;
    kept->rules_path = folder.path + "/rules";
    kept->concurrency_fraction = 0.4;
    kept->destination_rate = 2000;
    kept->initial_backoff = 50ms;
    kept->max_backoff = 400ms;
    Rules("");
  }
  void Rules(const std::string& text) { std::ofstream(folder.path + "/rules") << text; }
  void Reload() {
    dispatcher->Reload(ParseConfig(ConfigText(), [](const char*) { return nullptr; }));
  }
  dead_letter::DeadLetterManager& keeper() { return dispatcher->dead_letters()->keeper(); }
  std::unique_ptr<dead_letter::Database> Open() const {
    dead_letter::Database::Settings settings;
    settings.path = folder.path + "/kept/kept.db";
    settings.read_only = true;
    return std::make_unique<dead_letter::Database>(settings);
  }
  std::int64_t Count(const std::string& filter) const {
    return Open()->Count(dead_letter::ParseCondition(filter, {}), Time(0));
  }
  std::map<std::string, dead_letter::DeadLetter> Stored() const {
    std::map<std::string, dead_letter::DeadLetter> all;
    Open()->ForEach(dead_letter::Condition(), Time(0), false, [&](const dead_letter::DeadLetter& k) {
      return all.emplace(k.request.id, k).second;  // none stands twice
    });
    return all;
  }
  // Until every kept message has come to rest: sent again, or held for good.
  void Rest() {
    Until(loop, [&] {
      RunFor(loop, 100ms);
      return keeper().pending_transfers() == 0 && Count("state in {kept, claimed}") == 0;
    });
  }
  // Each message that was taken ended well, at once or by a resend, or is kept still.
  void CheckAccounts() {
    const auto stored = Stored();
    for (const std::string& name : clients.Taken()) {
      const auto at = stored.find(name);
      const bool live = partner.delivered.contains(name);
      const bool resent = at != stored.end() && at->second.state == dead_letter::DeadLetterState::kDelivered;
      if (at == stored.end() && !live) std::fprintf(stderr, "lost: %s\n", name.c_str());
      assert(at != stored.end() || live);
      if (resent) assert(live);
      if (at != stored.end() && !resent) {
        if (at->second.state != dead_letter::DeadLetterState::kHeld)
          std::fprintf(stderr, "%s\n", dead_letter::ToJson(at->second, false).c_str());
        assert(at->second.state == dead_letter::DeadLetterState::kHeld &&
               !at->second.decision_reason.empty());
        assert(at->second.attempts == static_cast<int>(at->second.history.size()));
      }
    }
    assert(partner.forbidden_repeats == 0 && partner.Broken("second copy") == 0 &&
           partner.Broken("too many attempts") == 0);
    assert(partner.most_out() <= slots);
  }

  Partner partner;
  Clients clients;
};

constexpr char kEverything[] =
    "rule everything: when true then resend rate 1000/s times 100 window 1h deadline 1s after 0s;";

void AThousandFailuresAreSentAgainAndNoneTwice() {
  KeptWorld w(7);
  w.partner.menu = Partner::FaultsOfEveryKind();
  w.Start();
  w.clients.Start(4ms);
  Until(w.loop, [&] { return w.keeper().counters().kept >= 1000; });
  w.clients.Pause();
  w.Rules(kEverything);
  w.Reload();
  RunFor(w.loop, 500ms);  // resends that fail too
  w.Rules(
      std::string("rule first: when destination = 7 then resend rate 900/s times 100 deadline 1s after 0s;") +
      kEverything);
  w.Reload();  // while resends are out
  RunFor(w.loop, 300ms);
  w.partner.menu = {Partner::Fault::kWell};
  w.Rest();
  const auto stored = w.Stored();
  std::map<std::string, int> grounds, reasons;
  int delivered = 0;
  for (const auto& [name, k] : stored) {
    delivered += k.state == dead_letter::DeadLetterState::kDelivered;
    ++grounds[k.decision_reason];
    ++reasons[std::string(dead_letter::Name(k.failure_reason))];
  }
  std::printf("kept %zu, delivered by resend %d, dropped as repeats by key %ld\n", stored.size(), delivered,
              w.partner.dropped_repeats());
  for (const auto& [ground, n] : grounds) std::printf("  ground '%s': %d\n", ground.c_str(), n);
  for (const auto& [reason, n] : reasons) std::printf("  reason '%s': %d\n", reason.c_str(), n);
  std::fflush(stdout);
  for (const auto& [name, k] : stored) {  // of two rules that match, the first decides
    if (k.rule == "first") assert(k.request.destination == 7);
  }
  assert(stored.size() >= 1000 && delivered > 300);
  assert(grounds["may_have_run"] > 0 && w.partner.calls.size() > 1000);
  w.CheckAccounts();
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  AThousandFailuresAreSentAgainAndNoneTwice();
  std::puts("1 passed, 0 failed");
}
