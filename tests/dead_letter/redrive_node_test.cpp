// Tests dead letters with a dispatcher, partner and clients on real sockets: a thousand messages fail in
// every way, then a rule redrives all of them.
#include <fstream>

#include "dead_letter/dead_letter_json.h"
#include "dead_letter/rule_files.h"
#include "dead_letter/wire_names.h"
#include "partner.h"

namespace sagetally {
namespace {

constexpr std::size_t kDestinations = 8;

struct DeadLetterWorld : World {
  explicit DeadLetterWorld(std::uint64_t seed, int slots = 24, int max_pending = 200)
      : World(0, slots, max_pending),
        partner(loop, seed, 10s),
        clients(
            loop, [this] { return dispatcher->port(); }, seed) {
    ports.resize(kDestinations, partner.port);
    one_destination_each = true;
    clients.destinations = kDestinations;
    disk_mb = 30;
    sockets = 1024;
    rate = 2000;
    dead_letters.emplace();
    dead_letters->include_deferred = dead_letters->redrive_deferred = true;
    dead_letters->rules_path = folder.path + "/rules";
    dead_letters->concurrency_fraction = 0.4;
    dead_letters->destination_rate = 2000;
    dead_letters->initial_backoff = 50ms;
    dead_letters->max_backoff = 400ms;
    WriteRules("");
  }
  void WriteRules(const std::string& text) { std::ofstream(folder.path + "/rules") << text; }
  void Reload() {
    dispatcher->Reload(ParseConfig(ConfigText(), [](const char*) { return nullptr; }));
  }
  dead_letter::DeadLetterManager& manager() { return dispatcher->dead_letters()->manager(); }
  std::unique_ptr<dead_letter::Database> OpenStore() const {
    dead_letter::Database::Settings settings;
    settings.path = folder.path + "/kept/kept.db";
    settings.read_only = true;
    return std::make_unique<dead_letter::Database>(settings);
  }
  std::int64_t Count(const std::string& filter) const {
    return OpenStore()->Count(dead_letter::ParseCondition(filter, {}), Time(0));
  }
  std::map<std::string, dead_letter::DeadLetter> Stored() const {
    std::map<std::string, dead_letter::DeadLetter> all;
    OpenStore()->ForEach(
        dead_letter::Condition(), Time(0), false, [&](const dead_letter::DeadLetter& dead_letter) {
          return all.emplace(dead_letter.request.id, dead_letter).second;  // none is stored twice
        });
    return all;
  }
  // Runs until every dead letter was delivered by a redrive or is held permanently.
  void RunUntilAllDeliveredOrHeld() {
    RunUntil(loop, [&] {
      RunFor(loop, 100ms);
      return manager().pending_transfers() == 0 && Count("state in {kept, claimed}") == 0;
    });
  }
  // Checks that each accepted message was delivered, directly or by a redrive, or is held with a reason.
  void CheckAllDeliveredOrHeld() {
    const auto stored = Stored();
    for (const std::string& name : clients.Taken()) {
      const auto found = stored.find(name);
      const bool is_delivered = partner.delivered.contains(name);
      const bool is_redriven =
          found != stored.end() && found->second.state == dead_letter::DeadLetterState::kDelivered;
      if (found == stored.end() && !is_delivered) std::fprintf(stderr, "lost: %s\n", name.c_str());
      assert(found != stored.end() || is_delivered);
      if (is_redriven) assert(is_delivered);
      if (found != stored.end() && !is_redriven) {
        if (found->second.state != dead_letter::DeadLetterState::kHeld)
          std::fprintf(stderr, "%s\n", dead_letter::ToJson(found->second, false).c_str());
        assert(found->second.state == dead_letter::DeadLetterState::kHeld &&
               !found->second.decision_reason.empty());
        assert(found->second.attempts == static_cast<int>(found->second.history.size()));
      }
    }
    assert(partner.forbidden_repeats == 0 && partner.Broken("second copy") == 0 &&
           partner.Broken("too many attempts") == 0);
    assert(partner.max_calls_in_flight() <= max_concurrent_calls);
  }

  Partner partner;
  Clients clients;
};

constexpr char kEverything[] =
    "rule everything: when true then resend rate 1000/s times 100 window 1h deadline 1s after 0s;";

void AThousandFailuresAreRedrivenAndNoneTakesEffectTwice() {
  DeadLetterWorld world(7);
  world.partner.fault_choices = Partner::FaultsOfEveryKind();
  world.Start();
  world.clients.Start(4ms);
  RunUntil(world.loop, [&] { return world.manager().counters().stored >= 1000; });
  world.clients.Pause();
  world.WriteRules(kEverything);
  world.Reload();
  RunFor(world.loop, 500ms);  // some redrives fail too
  world.WriteRules(
      std::string("rule first: when destination = 7 then resend rate 900/s times 100 deadline 1s after 0s;") +
      kEverything);
  world.Reload();  // while redrives are in flight
  RunFor(world.loop, 300ms);
  world.partner.fault_choices = {Partner::Fault::kNone};
  world.RunUntilAllDeliveredOrHeld();
  const auto stored = world.Stored();
  std::map<std::string, int> decision_reasons;
  std::map<std::string, int> failure_reasons;
  int delivered = 0;
  for (const auto& [name, dead_letter] : stored) {
    delivered += dead_letter.state == dead_letter::DeadLetterState::kDelivered;
    ++decision_reasons[dead_letter.decision_reason];
    ++failure_reasons[std::string(dead_letter::Name(dead_letter.failure_reason))];
  }
  std::printf("stored %zu, delivered by redrive %d, dropped as repeats by key %ld\n", stored.size(),
              delivered, world.partner.dropped_repeats());
  for (const auto& [reason, count] : decision_reasons) {
    std::printf("  decision reason '%s': %d\n", reason.c_str(), count);
  }
  for (const auto& [reason, count] : failure_reasons) {
    std::printf("  failure reason '%s': %d\n", reason.c_str(), count);
  }
  std::fflush(stdout);
  for (const auto& [name, dead_letter] : stored) {  // if two rules match, the first decides
    if (dead_letter.rule == "first") assert(dead_letter.request.destination == 7);
  }
  assert(stored.size() >= 1000 && delivered > 300);
  assert(decision_reasons["may_have_run"] > 0 && world.partner.calls.size() > 1000);
  world.CheckAllDeliveredOrHeld();
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  AThousandFailuresAreRedrivenAndNoneTakesEffectTwice();
  std::puts("1 passed, 0 failed");
}
