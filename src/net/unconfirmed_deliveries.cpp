#include "net/unconfirmed_deliveries.h"

#include <algorithm>
#include <utility>

namespace sagetally {
namespace {

CallResult MayHaveRunResult(const CallResult& delivered) {
  CallResult result;
  result.message_number = delivered.message_number;
  result.connection_number = delivered.connection_number;
  result.outcome = Outcome::kReset;
  return result;
}

}  // namespace

void UnconfirmedDeliveries::Add(const CallResult& result, TimePoint usual_until, TimePoint confirmed_at) {
  deliveries_.push_back({result, usual_until, std::max(usual_until, confirmed_at), std::nullopt});
}

void UnconfirmedDeliveries::OnResponse(ResponseKind kind) {
  if (!deliveries_.empty() && !deliveries_.back().next_response) deliveries_.back().next_response = kind;
}

std::vector<CallResult> UnconfirmedDeliveries::OnUnexpectedResponse(ResponseKind kind) {
  std::vector<CallResult> revoked;
  std::erase_if(deliveries_, [&](const Delivery& delivery) {
    // Another unexpected response may follow, so a failure counts for all calls before it.
    const bool has_failed =
        kind != ResponseKind::kSuccess || delivery.next_response.value_or(kind) != ResponseKind::kSuccess;
    if (has_failed) revoked.push_back(MayHaveRunResult(delivery.result));
    return has_failed;
  });
  return revoked;
}

std::vector<CallResult> UnconfirmedDeliveries::TakeConfirmed(TimePoint now) {
  std::vector<CallResult> confirmed;
  std::erase_if(deliveries_, [&](const Delivery& delivery) {
    if (delivery.confirmed_at > now) return false;
    confirmed.push_back(delivery.result);
    return true;
  });
  return confirmed;
}

std::vector<CallResult> UnconfirmedDeliveries::TakeAll(TimePoint now, bool is_doubtful) {
  std::vector<CallResult> results;
  for (const Delivery& delivery : std::exchange(deliveries_, {})) {
    const bool is_delivered = !is_doubtful || delivery.usual_until <= now;
    results.push_back(is_delivered ? delivery.result : MayHaveRunResult(delivery.result));
  }
  return results;
}

bool UnconfirmedDeliveries::IsSettled(TimePoint now) const {
  return std::ranges::all_of(deliveries_,
                             [now](const Delivery& delivery) { return delivery.usual_until <= now; });
}

UnconfirmedDeliveries::TimePoint UnconfirmedDeliveries::next_confirmation() const {
  return std::ranges::min_element(deliveries_, {}, &Delivery::confirmed_at)->confirmed_at;
}

}  // namespace sagetally
