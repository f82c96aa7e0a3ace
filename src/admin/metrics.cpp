#include "admin/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace sagetally {
namespace {

// Metric names on the wire.
constexpr const char* kDeliveredName = "passed";
constexpr const char* kRejectedName = "dropped";
constexpr const char* kFailedName = "bad_gateway";
constexpr const char* kAttemptsName = "upstream_tries";
constexpr const char* kVerifiedResponsesName = "verified_answers";
constexpr const char* kUnexpectedResponsesName = "unexpected_answers";
constexpr const char* kRevokedDeliveriesName = "revoked_deliveries";
constexpr const char* kRejectedNotificationsName = "rejected_notices";
constexpr const char* kInProgressName = "in_progress";
constexpr const char* kKnownEndpointsName = "known_endpoints";
constexpr const char* kAvoidedEndpointsName = "skipped_endpoints";
constexpr const char* kResidentBytesName = "memory.resident_bytes";
constexpr const char* kUsedBytesName = "memory.used_bytes";
constexpr const char* kLimitBytesName = "memory.limit_bytes";
constexpr const char* kEvictionsName = "evicted_clients";

void AppendClassCounter(std::string& text, const char* name, const std::string& class_name,
                        std::uint64_t value) {
  fmt::format_to(std::back_inserter(text), "balancer.{}.{}:{}|c\n", name, class_name, value);
}

void AppendCounter(std::string& text, const char* name, std::uint64_t value) {
  fmt::format_to(std::back_inserter(text), "balancer.{}:{}|c\n", name, value);
}

void AppendGauge(std::string& text, const char* name, std::size_t value) {
  fmt::format_to(std::back_inserter(text), "balancer.{}:{}|g\n", name, value);
}

void AppendNamedGauge(std::string& text, const char* name, const std::string& consumer, std::size_t value) {
  fmt::format_to(std::back_inserter(text), "balancer.{}.{}:{}|g\n", name, consumer, value);
}

}  // namespace

Metrics::ClassCounts* Metrics::FindCounts(int message_class) {
  const auto index = static_cast<std::size_t>(message_class);
  return index < counts_.size() ? &counts_[index] : nullptr;
}

void Metrics::RecordCompletion(const Message& message) {
  ClassCounts* counts = FindCounts(message.request.message_class);
  if (counts == nullptr) return;
  switch (message.final_status) {
    case FinalStatus::kDelivered:
      ++counts->delivered;
      break;
    case FinalStatus::kRejected:
      ++counts->rejected;
      break;
    case FinalStatus::kExpired:
      // If no attempt was made, the client withdrew the message. Otherwise the endpoint reported it as
      // expired.
      ++(message.attempts == 0 ? counts->rejected : counts->failed);
      break;
    case FinalStatus::kFailed:
      ++counts->failed;
      break;
    case FinalStatus::kPending:
      break;
  }
}

void Metrics::RecordRejection(int message_class) {
  if (ClassCounts* counts = FindCounts(message_class)) ++counts->rejected;
}

std::string Metrics::FormatStatsd(const GaugeValues& gauges) const {
  std::string text;
  const auto append_classes = [&](const char* name, std::uint64_t ClassCounts::*counter) {
    for (std::size_t i = 0; i < classes_.size(); ++i) {
      AppendClassCounter(text, name, classes_[i], counts_[i].*counter);
    }
  };
  append_classes(kDeliveredName, &ClassCounts::delivered);
  append_classes(kRejectedName, &ClassCounts::rejected);
  append_classes(kFailedName, &ClassCounts::failed);
  AppendCounter(text, kAttemptsName, attempts_);
  AppendGauge(text, kInProgressName, gauges.in_progress);
  AppendGauge(text, kKnownEndpointsName, gauges.known_endpoints);
  AppendGauge(text, kAvoidedEndpointsName, gauges.avoided_endpoints);
  if (verified_responses_ > 0) AppendCounter(text, kVerifiedResponsesName, verified_responses_);
  if (unexpected_responses_ > 0) AppendCounter(text, kUnexpectedResponsesName, unexpected_responses_);
  if (revoked_deliveries_ > 0) AppendCounter(text, kRevokedDeliveriesName, revoked_deliveries_);
  if (rejected_notifications_ > 0) AppendCounter(text, kRejectedNotificationsName, rejected_notifications_);
  if (gauges.resident_bytes > 0) AppendGauge(text, kResidentBytesName, gauges.resident_bytes);
  for (const MemoryGauge& memory : gauges.memory) {
    AppendNamedGauge(text, kUsedBytesName, memory.consumer, memory.used_bytes);
    AppendNamedGauge(text, kLimitBytesName, memory.consumer, memory.limit_bytes);
  }
  for (const auto& [reason, count] : evictions_) AppendClassCounter(text, kEvictionsName, reason, count);
  return text;
}

}  // namespace sagetally
