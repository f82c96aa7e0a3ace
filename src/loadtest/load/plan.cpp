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

constexpr double kMaxBodyBytes = 65536;
constexpr std::int32_t kHotClient = 0;  // the number of the client that Scenario::hot_client describes

Distribution SpacingFromJson(const nlohmann::json& arrivals) {
  const std::string process = arrivals.value("process", "poisson");
  if (process == "constant") return Distribution::Constant(1);
  if (process == "poisson") return Distribution::Exponential(1);
  if (!arrivals.contains("spacing")) {
    throw std::runtime_error("/arrivals/spacing: expected a distribution for a renewal process, found none");
  }
  const Distribution spacing = Distribution::FromJson(arrivals["spacing"]);
  if (!(spacing.Mean() > 0)) throw std::runtime_error("/arrivals/spacing: expected a mean over 0");
  return spacing;
}

std::vector<double> ClassWeights(const std::vector<MessageClass>& classes) {
  std::vector<double> weights;
  weights.reserve(classes.size());
  for (const MessageClass& message_class : classes) weights.push_back(message_class.weight);
  return weights;
}

// Returns the relative frequencies of `count` ranks by Zipf's law.
std::vector<double> ZipfWeights(int count, double exponent) {
  std::vector<double> weights;
  for (int rank = 1; rank <= count; ++rank) weights.push_back(std::pow(rank, -exponent));
  return weights;
}

// Submission ids hold the first letter of the idempotency's name.
Idempotency IdempotencyFromCode(char code) {
  if (code == 'n') return Idempotency::kNotIdempotent;
  if (code == 'k') return Idempotency::kIdempotentWithKey;
  return Idempotency::kIdempotent;
}

std::int64_t Microseconds(double seconds) { return std::llround(seconds * 1e6); }

}  // namespace

Plan::Plan(const Scenario& scenario)
    : scenario_(scenario),
      sizes_(Distribution::FromJson(scenario.body_bytes)),
      class_random_(Stream(scenario.seed, "class")),
      destination_random_(Stream(scenario.seed, "destination")),
      size_random_(Stream(scenario.seed, "size")),
      client_random_(Stream(scenario.seed, "caller")),
      burst_random_(Stream(scenario.seed, "clump")),
      classes_(ClassWeights(scenario.classes)),
      destinations_(ZipfWeights(scenario.destination_count, scenario.zipf_exponent)),
      arrivals_(SpacingFromJson(scenario.arrivals),
                RateFromJson(scenario.arrivals, Stream(scenario.seed, "rate")),
                Stream(scenario.seed, "arrivals")),
      next_s_(arrivals_.Next()),
      next_burst_s_(HUGE_VAL) {
  if (scenario.destination_bursts) {
    next_burst_s_ = Distribution::Exponential(scenario.destination_bursts->every_s).Draw(burst_random_);
  }
  if (scenario.hot_client) {
    for (int i = 0; i < scenario.hot_client->destination_count; ++i) {
      hot_destinations_.push_back(scenario.first_destination + destinations_(client_random_));
    }
  }
}

PlannedMessage Plan::DrawMessage(double at_s) {
  PlannedMessage message;
  message.at_us = Microseconds(at_s);
  message.message_class = classes_(class_random_);
  message.destination = scenario_.first_destination + destinations_(destination_random_);
  message.body_bytes =
      static_cast<std::int32_t>(std::clamp(std::round(sizes_.Draw(size_random_)), 1.0, kMaxBodyBytes));
  const double client_draw = boost::random::uniform_01<>()(client_random_);
  message.client = static_cast<std::int32_t>(client_draw * scenario_.client_count);
  const auto& hot = scenario_.hot_client;
  const bool is_hot_period = hot && at_s >= hot->from_s && at_s < hot->from_s + hot->for_s;
  if (is_hot_period && client_draw < hot->fraction) {
    message.client = kHotClient;
    const auto index =
        static_cast<std::size_t>(client_draw / hot->fraction * static_cast<double>(hot_destinations_.size()));
    message.destination = hot_destinations_[index];
  } else if (hot && scenario_.client_count > 1 && message.client == kHotClient) {
    message.client = kHotClient + 1;  // otherwise the hot client would send more than its fraction
  }
  return message;
}

void Plan::AddDestinationBurst(double at_s) {
  const DestinationBursts& bursts = *scenario_.destination_bursts;
  const double work_s = bursts.max_work_s > bursts.min_work_s
                            ? Distribution::Uniform(bursts.min_work_s, bursts.max_work_s).Draw(burst_random_)
                            : bursts.min_work_s;
  const auto count = static_cast<int>(std::round(work_s * bursts.destination_rate));
  boost::random::uniform_int_distribution<int> draw_destination(0, scenario_.destination_count - 1);
  const int destination = scenario_.first_destination + draw_destination(burst_random_);
  for (int i = 0; i < count; ++i) {
    PlannedMessage message = DrawMessage(at_s + bursts.spread_ms / 1000 * i / count);
    message.destination = destination;
    burst_messages_.push(message);
  }
}

std::optional<PlannedMessage> Plan::Next() {
  const auto next_burst_message_s = [&] {
    return burst_messages_.empty() ? HUGE_VAL : static_cast<double>(burst_messages_.top().at_us) / 1e6;
  };
  while (next_burst_s_ < scenario_.seconds && next_burst_s_ <= std::min(next_s_, next_burst_message_s())) {
    AddDestinationBurst(next_burst_s_);
    next_burst_s_ += Distribution::Exponential(scenario_.destination_bursts->every_s).Draw(burst_random_);
  }
  PlannedMessage message;
  if (!burst_messages_.empty() && static_cast<double>(burst_messages_.top().at_us) <= next_s_ * 1e6) {
    message = burst_messages_.top();
    burst_messages_.pop();
  } else if (next_s_ < scenario_.seconds) {
    message = DrawMessage(next_s_);
    next_s_ = arrivals_.Next();
  } else {
    return std::nullopt;
  }
  message.number = next_number_++;
  return message;
}

std::string ToText(const SubmissionId& id) {
  return fmt::format("L{:08x}-{}-{}-{}-{}", id.run, id.number, id.submission, id.destination,
                     Name(id.idempotency)[0]);
}

std::optional<SubmissionId> ParseSubmissionId(std::string_view text) {
  if (const auto separator = text.rfind('|'); separator != text.npos) text.remove_prefix(separator + 1);
  SubmissionId id;
  char idempotency_code = 0;
  const auto store_in = [](auto& out) { return [&out](auto& context) { out = x3::_attr(context); }; };
  const x3::int_parser<std::int64_t, 10, 1, 18> number;
  const x3::uint_parser<std::uint32_t, 16, 8, 8> run;
  const auto grammar = x3::lit('L') >> run[store_in(id.run)] >> '-' >> number[store_in(id.number)] >> '-' >>
                       x3::int_[store_in(id.submission)] >> '-' >> x3::int_[store_in(id.destination)] >>
                       '-' >> x3::char_("fkn")[store_in(idempotency_code)] >> x3::eoi;
  if (!x3::parse(text.begin(), text.end(), grammar) || id.number < 0 || id.submission < 0) {
    return std::nullopt;
  }
  id.idempotency = IdempotencyFromCode(idempotency_code);
  return id;
}

}  // namespace sagetally::loadtest
