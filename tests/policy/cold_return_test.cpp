// Tests that the recovery budgets of all dispatchers together do not overload a destination that returns from
// an outage. The simulation and the overload rule are in cold_return_fleet.h.
#include <gtest/gtest.h>

#include <functional>

#include "cold_return_fleet.h"

namespace sagetally {
namespace {

// Totals of several runs.
struct Summary {
  // Runs, runs that broke the overload rule, and calls after the outage.
  int runs = 0, broken = 0, calls = 0;
  // Describes the first run that broke the rule.
  std::string first_broken;
};

// Runs a scenario and adds its result to `sum`. The rule is broken if more than two thirds of the calls that
// overload the destination came from dispatchers that had seen the outage.
void Run(const Scenario& scenario, std::uint64_t seed, Summary& sum) {
  ColdReturn fleet(scenario, seed);
  const auto overload = fleet.Run();
  ++sum.runs;
  sum.calls += fleet.calls_after_outage();
  if (!overload || 3 * overload->informed_calls <= 2 * overload->calls) return;
  if (++sum.broken > 1) return;
  sum.first_broken = std::to_string(scenario.dispatchers) + " dispatchers, capacity " +
                     std::to_string(scenario.capacity) + ": " + std::to_string(overload->calls) + " calls, " +
                     std::to_string(overload->informed_calls) + " by informed dispatchers, at most " +
                     std::to_string(overload->max_calls) + " allowed";
}

// Runs scenarios with all combinations of fleet size, capacity, advertised rate and load. In variant 1 there
// are two endpoints, in variant 2 the outage rejects calls, and in variant 3 two in five dispatchers are
// restarted just before the destination returns.
Summary RunAll(int variant) {
  Summary sum;
  std::uint64_t seed = static_cast<std::uint64_t>(variant) * 1000;
  for (const int dispatchers : {2, 20, 30, 300}) {
    for (const double capacity : {6.0, 15.0, 60.0}) {
      for (const double advertised_fraction : {0.6, 1.0, 1.5}) {
        for (const double load_fraction : {0.5, 1.0}) {
          Run({.dispatchers = dispatchers,
               .capacity = capacity,
               .advertised_fraction = advertised_fraction,
               .load_fraction = load_fraction,
               .endpoints = variant == 1 ? 2 : 1,
               .outage_kind = variant == 2 ? OutageKind::kRejects : OutageKind::kConnectionsFail,
               .restarted_fraction = variant == 3 ? 0.4 : 0.0},
              ++seed, sum);
        }
      }
    }
  }
  // A fleet that makes no calls would not break the rule either.
  EXPECT_GT(sum.calls, sum.runs * 30);
  return sum;
}

TEST(ColdReturn, AllDispatchersTogetherDoNotOverloadTheDestination) {
  for (const int variant : {0, 1, 2, 3}) {
    const Summary sum = RunAll(variant);
    EXPECT_EQ(sum.broken, 0) << "variant " << variant << ", of " << sum.runs << ", first "
                             << sum.first_broken;
  }
}

// Guards against an overload of two endpoints that share a limit. A failure at each of them in a row is an
// outage of both. Dispatchers that saw only one failure at either endpoint took the first answer for the end
// of the outage, and 13 of 100 such returns were overloaded.
TEST(ColdReturn, DoesNotOverloadTwoEndpointsThatShareALimit) {
  const Summary sum = RunAll(1);
  EXPECT_LE(sum.broken, sum.runs / 25) << sum.first_broken;
}

// Runs the scenario with fleets of 2 to 300 dispatchers, at destinations for which the settings allow 2 to 40
// calls at first, with advertised rates and without.
Summary RunSizes(const Scenario& base, std::uint64_t seed) {
  Summary sum;
  for (const int dispatchers : {2, 39, 300}) {
    for (const double capacity : {3.0, 15.0, 60.0}) {
      for (const bool has_advertised_rate : {false, true}) {
        Scenario scenario = base;
        scenario.dispatchers = dispatchers;
        scenario.capacity = capacity;
        scenario.load_fraction = 0.9;
        scenario.has_advertised_rate = has_advertised_rate;
        Run(scenario, ++seed, sum);
      }
    }
  }
  EXPECT_GT(sum.calls, sum.runs * 20);
  return sum;
}

// Guards against overload after each kind of outage. Before the permits came from each dispatcher's own
// traffic, every kind broke the rule in some runs; outages with error answers did so most often (115 of 270
// runs).
TEST(ColdReturn, DoesNotOverloadAfterAnyKindOfOutage) {
  std::uint64_t seed = 100;
  for (const OutageKind kind :
       {OutageKind::kConnectionsFail, OutageKind::kRejects, OutageKind::kHangs, OutageKind::kErrors}) {
    for (const Traffic traffic : {Traffic::kUneven, Traffic::kEven}) {
      const Summary sum = RunSizes({.outage_kind = kind, .traffic = traffic}, seed += 100);
      EXPECT_EQ(sum.broken, 0) << "outage " << static_cast<int>(kind) << " of " << sum.runs << ": "
                               << sum.first_broken;
    }
  }
}

// The dispatchers are restarted before, during and after the return of the destination.
TEST(ColdReturn, DoesNotOverloadWhenDispatchersRestart) {
  std::uint64_t seed = 2000;
  for (const Duration restarts_begin_at : {Duration(-3s), Duration(-600ms), Duration(0s), Duration(4s)}) {
    for (const double restarted_fraction : {0.4, 1.0}) {
      const Scenario scenario = {.restarted_fraction = restarted_fraction,
                                 .restarts_begin_at = restarts_begin_at,
                                 .restart_period = 3s};
      const Summary sum = RunSizes(scenario, seed += 100);
      EXPECT_EQ(sum.broken, 0) << restarted_fraction << " restarted from " << restarts_begin_at.count()
                               << ": " << sum.first_broken;
    }
  }
}

// Gossip lets the dispatchers start their warm-up together, so that more calls are made. Gossip messages may
// be lost.
TEST(ColdReturn, GossipAllowsMoreCallsWithoutOverload) {
  std::vector<int> calls;
  for (const double loss_fraction : {1.0, 0.5, 0.0}) {
    const Summary sum =
        RunSizes({.outage_kind = OutageKind::kHangs, .gossip_loss_fraction = loss_fraction}, 4000);
    EXPECT_EQ(sum.broken, 0) << "fraction lost " << loss_fraction << ": " << sum.first_broken;
    calls.push_back(sum.calls);
  }
  EXPECT_GT(calls[2], calls[0]);
}

}  // namespace
}  // namespace sagetally
