#include "loadtest/load/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/spirit/home/x3.hpp>
#include <cmath>

namespace sagetally::loadtest {
namespace {

namespace x3 = boost::spirit::x3;

Distribution Spacing(const nlohmann::json& arrivals) {
  const std::string process = arrivals.value("process", "poisson");
  if (process == "constant") return Distribution::Constant(1);
  if (process == "poisson") return Distribution::Exponential(1);
  if (!arrivals.contains("spacing"))
    throw std::runtime_error(
        "/arrivals/spacing: expected a distribution for a renewal process, found nothing");
  const Distribution spacing = Distribution::FromJson(arrivals["spacing"]);
  if (!(spacing.Mean() > 0)) throw std::runtime_error("/arrivals/spacing: expected a mean over 0");
  return spacing;
}

std::vector<double> Weights(const std::vector<ClassMix>& classes) {
  std::vector<double> weights;
  for (const ClassMix& c : classes) weights.push_back(c.weight);
  return weights;
}

std::vector<double> Zipf(int count, double exponent) {
  std::vector<double> weights;
  for (int n = 1; n <= count; ++n) weights.push_back(std::pow(n, -exponent));
  return weights;
}

std::int64_t Microseconds(double seconds) { return std::llround(seconds * 1e6); }

}  // namespace

Plan::Plan(const Scenario& scenario)
    : scenario_(scenario),
      sizes_(Distribution::FromJson(scenario.body_bytes)),
      class_random_(Stream(scenario.seed, "class")),
      destination_random_(Stream(scenario.seed, "destination")),
      size_random_(Stream(scenario.seed, "size")),
      caller_random_(Stream(scenario.seed, "caller")),
      clump_random_(Stream(scenario.seed, "clump")),
      classes_(Weights(scenario.classes)),
      destinations_(Zipf(scenario.destinations, scenario.zipf)),
      arrivals_(Spacing(scenario.arrivals), RateFromJson(scenario.arrivals, Stream(scenario.seed, "rate")),
                Stream(scenario.seed, "arrivals")),
      next_s_(arrivals_.Next()),
      next_clump_s_(scenario.clumps ? Distribution::Exponential(scenario.clumps->every_s).Draw(clump_random_)
                                    : HUGE_VAL) {
  if (scenario.hot) {
    for (int i = 0; i < scenario.hot->destinations; ++i)
      hot_destinations_.push_back(scenario.first_destination + destinations_(caller_random_));
  }
}

Planned Plan::Drawn(double at_s) {
  Planned p;
  p.at_us = Microseconds(at_s);
  p.message_class = classes_(class_random_);
  p.destination = scenario_.first_destination + destinations_(destination_random_);
  p.body_bytes = static_cast<std::int32_t>(std::clamp(std::round(sizes_.Draw(size_random_)), 1.0, 65536.0));
  const double which = boost::random::uniform_01<>()(caller_random_);
  p.caller = static_cast<std::int32_t>(which * scenario_.callers);
  const auto& hot = scenario_.hot;
  if (hot && at_s >= hot->from_s && at_s < hot->from_s + hot->for_s && which < hot->share) {
    p.caller = 0;
    const auto n =
        static_cast<std::size_t>(which / hot->share * static_cast<double>(hot_destinations_.size()));
    p.destination = hot_destinations_[n];
  } else if (hot && scenario_.callers > 1 && p.caller == 0) {
    p.caller = 1;  // else the hot one would carry more than its share
  }
  return p;
}

void Plan::AddClump(double at_s) {
  const Clumps& c = *scenario_.clumps;
  const double worth = c.worth_most_s > c.worth_least_s
                           ? Distribution::Uniform(c.worth_least_s, c.worth_most_s).Draw(clump_random_)
                           : c.worth_least_s;
  const auto count = static_cast<int>(std::round(worth * c.partner_rate));
  const int destination = scenario_.first_destination + boost::random::uniform_int_distribution<int>(
                                                            0, scenario_.destinations - 1)(clump_random_);
  for (int i = 0; i < count; ++i) {
    Planned p = Drawn(at_s + c.over_ms / 1000 * i / count);
    p.destination = destination;
    clumped_.push(p);
  }
}

std::optional<Planned> Plan::Next() {
  while (next_clump_s_ < scenario_.seconds &&
         next_clump_s_ <=
             std::min(next_s_, clumped_.empty() ? HUGE_VAL : double(clumped_.top().at_us) / 1e6)) {
    AddClump(next_clump_s_);
    next_clump_s_ += Distribution::Exponential(scenario_.clumps->every_s).Draw(clump_random_);
  }
  Planned p;
  if (!clumped_.empty() && static_cast<double>(clumped_.top().at_us) <= next_s_ * 1e6) {
    p = clumped_.top();
    clumped_.pop();
  } else if (next_s_ < scenario_.seconds) {
    p = Drawn(next_s_);
    next_s_ = arrivals_.Next();
  } else {
    return std::nullopt;
  }
  p.number = number_++;
  return p;
}

std::string ToText(const HandInId& id) {
  return fmt::format("L{:08x}-{}-{}-{}-{}", id.run, id.number, id.hand_in, id.destination,
                     Name(id.repeat)[0]);
}

std::optional<HandInId> ParseHandInId(std::string_view text) {
  if (const auto at = text.rfind('|'); at != text.npos) text.remove_prefix(at + 1);
  HandInId id;
  char repeat = 0;
  const auto to = [](auto& out) { return [&out](auto& ctx) { out = x3::_attr(ctx); }; };
  static const x3::int_parser<std::int64_t, 10, 1, 18> number;
  static const x3::uint_parser<std::uint32_t, 16, 8, 8> run;
  const auto id_form = x3::lit('L') >> run[to(id.run)] >> '-' >> number[to(id.number)] >> '-' >>
                       x3::int_[to(id.hand_in)] >> '-' >> x3::int_[to(id.destination)] >> '-' >>
                       x3::char_("fkn")[to(repeat)] >> x3::eoi;
  if (!x3::parse(text.begin(), text.end(), id_form) || id.number < 0 || id.hand_in < 0) return std::nullopt;
  id.repeat = repeat == 'n' ? Repeat::kNever : repeat == 'k' ? Repeat::kKeyed : Repeat::kFree;
  return id;
}

}  // namespace sagetally::loadtest
