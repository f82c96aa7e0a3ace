#include "admin/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace sagetally {

void Metrics::RecordCompletion(const Message& message) {
  const auto at = static_cast<std::size_t>(message.request.message_class);
  if (at >= counts_.size()) return;  // its class is not configured any more
  Counts& c = counts_[at];
  switch (message.final_status) {
    case FinalStatus::kDelivered:
      ++c.passed;
      break;
    case FinalStatus::kRejected:
      ++c.dropped;
      break;
    case FinalStatus::kExpired:  // withdrawn by its client, or out of time by the endpoint's own word
      ++(message.attempts == 0 ? c.dropped : c.bad_gateway);
      break;
    case FinalStatus::kFailed:
      ++c.bad_gateway;
      break;
    case FinalStatus::kPending:
      break;
  }
}

void Metrics::RecordRejection(int message_class) {
  const auto at = static_cast<std::size_t>(message_class);
  if (at < counts_.size()) ++counts_[at].dropped;
}

std::string Metrics::FormatStatsd(const GaugeValues& gauges) const {
  std::string text;
  const auto count = [&](const char* name, std::uint64_t Counts::*which) {
    for (std::size_t i = 0; i < classes_.size(); ++i) {
      fmt::format_to(std::back_inserter(text), "balancer.{}.{}:{}|c\n", name, classes_[i], counts_[i].*which);
    }
  };
  count("passed", &Counts::passed);
  count("dropped", &Counts::dropped);
  count("bad_gateway", &Counts::bad_gateway);
  fmt::format_to(std::back_inserter(text),
                 "balancer.upstream_tries:{}|c\nbalancer.in_progress:{}|g\nbalancer.known_endpoints:{}|g\n"
                 "balancer.skipped_endpoints:{}|g\n",
                 upstream_tries_, gauges.in_progress, gauges.known_endpoints, gauges.avoided_endpoints);
  return text;
}

}  // namespace sagetally
