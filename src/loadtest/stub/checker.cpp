#include "loadtest/stub/checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace sagetally::loadtest {
namespace {

double Milliseconds(std::int64_t us) { return static_cast<double>(us) / 1000; }

}  // namespace

void Checker::AddViolation(const std::string& rule, const std::string& id, const std::string& detail) {
  ++count_;
  if (violations_.size() < kMaxRecordedViolations) violations_.push_back({rule, id, detail});
}

std::int64_t Checker::OnCallStarted(std::int64_t now_us, const CallInfo& call) {
  MessageState& message = messages_[call.id];
  if (message.in_flight > 0) {
    AddViolation("second copy", call.id, DescribeSecondCopy(now_us, call));
  }
  if (++message.calls > rules_.max_attempts) {
    AddViolation("too many attempts", call.id,
                 fmt::format("call {} of at most {}", message.calls, rules_.max_attempts));
  }
  CheckTarget(now_us, call);
  CheckRepeat(now_us, call, message);
  ++message.in_flight;
  const int in_flight = ++in_flight_by_dispatcher_[call.dispatcher];
  max_in_flight_ = std::max(max_in_flight_, in_flight);
  if (rules_.max_concurrent_calls > 0 && in_flight > rules_.max_concurrent_calls) {
    AddViolation(
        "beyond slots", call.id,
        fmt::format("{} calls in flight, at most {} are allowed", in_flight, rules_.max_concurrent_calls));
  }
  in_flight_calls_[next_call_number_] = {call, now_us};
  return next_call_number_++;
}

std::string Checker::DescribeSecondCopy(std::int64_t now_us, const CallInfo& call) const {
  std::string text = "called at " + call.endpoint + " while another call of the message was in flight";
  for (const auto& [number, earlier] : in_flight_calls_) {
    if (earlier.call.id != call.id) continue;
    text +=
        fmt::format(" at {} for {:.1f} ms", earlier.call.endpoint, Milliseconds(now_us - earlier.started_us));
  }
  return text;
}

void Checker::CheckTarget(std::int64_t now_us, const CallInfo& call) {
  if (call.message_destination && *call.message_destination != call.destination) {
    AddViolation("wrong destination", call.id,
                 fmt::format("for destination {}, called at {} of {}", *call.message_destination,
                             call.endpoint, call.destination));
  }
  const std::vector<Wait>& waits = waits_[{call.dispatcher, call.destination}];
  const auto violated = std::find_if(waits.begin(), waits.end(), [&](const Wait& wait) {
    return now_us > wait.announced_us + rules_.wait_grace_us && now_us < wait.until_us;
  });
  if (violated != waits.end()) {
    AddViolation("wait not kept", call.id,
                 fmt::format("destination {} was called {:.0f} ms before its announced wait ended",
                             call.destination, Milliseconds(violated->until_us - now_us)));
  }
  const auto draining = draining_since_us_.find(call.endpoint);
  if (draining != draining_since_us_.end() && now_us - draining->second > rules_.drain_grace_us) {
    AddViolation("drain not kept", call.id,
                 fmt::format("{} was called {:.0f} ms after its draining was announced", call.endpoint,
                             Milliseconds(now_us - draining->second)));
  }
}

void Checker::CheckRepeat(std::int64_t now_us, const CallInfo& call, const MessageState& message) {
  const auto& executed_us = message.may_have_executed_us;
  if (call.idempotency == Idempotency::kNotIdempotent && executed_us) {
    AddViolation("forbidden repeat", call.id, "called again, although it may have run and is not idempotent");
  }
  if (call.idempotency == Idempotency::kIdempotentWithKey && executed_us &&
      now_us - *executed_us > rules_.deduplication_window_us) {
    AddViolation("repeat window over", call.id,
                 fmt::format("called again {:.0f} ms after a call that may have run",
                             Milliseconds(now_us - *executed_us)));
  }
  if (message.is_notified) {
    AddViolation("called after its end", call.id,
                 "called after it was reported as undeliverable or deferred");
  }
  if (message.delivered && (rules_.answers_arrive || call.idempotency == Idempotency::kNotIdempotent)) {
    AddViolation("delivered again", call.id, "called again after a call got a response with status 200");
  }
}

void Checker::OnCallEnded(std::int64_t now_us, std::int64_t call_number, CallOutcome outcome,
                          std::int64_t wait_us) {
  const auto found = in_flight_calls_.find(call_number);
  if (found == in_flight_calls_.end()) return;
  const InFlightCall ended = found->second;
  in_flight_calls_.erase(found);
  --in_flight_by_dispatcher_[ended.call.dispatcher];
  MessageState& message = messages_[ended.call.id];
  --message.in_flight;
  if (outcome == CallOutcome::kDelivered) message.delivered = true;
  if (outcome == CallOutcome::kMayHaveExecuted && !message.may_have_executed_us) {
    message.may_have_executed_us = ended.started_us;
  }
  if (wait_us > 0) {
    std::vector<Wait>& waits = waits_[{ended.call.dispatcher, ended.call.destination}];
    std::erase_if(waits, [&](const Wait& wait) { return wait.until_us <= now_us; });
    waits.push_back({now_us, now_us + wait_us});
  }
}

void Checker::OnEffect(const std::string& id, std::optional<Idempotency> idempotency) {
  ++effect_count_;
  const int effects = ++messages_[id].effects;
  if (effects > 1 && idempotency && *idempotency != Idempotency::kIdempotent) {
    AddViolation("took effect twice", id, fmt::format("took effect {} times", effects));
  }
}

void Checker::OnDrainingAnnounced(std::int64_t now_us, const std::string& endpoint) {
  draining_since_us_.try_emplace(endpoint, now_us);
}

void Checker::OnDispatcherRestarted(const std::string& dispatcher) {
  std::erase_if(waits_, [&](const auto& entry) { return entry.first.first == dispatcher; });
  in_flight_by_dispatcher_[dispatcher] = 0;
  for (auto it = in_flight_calls_.begin(); it != in_flight_calls_.end();) {
    const InFlightCall& lost = it->second;
    if (lost.call.dispatcher != dispatcher) {
      ++it;
      continue;
    }
    MessageState& message = messages_[lost.call.id];
    --message.in_flight;
    if (!message.may_have_executed_us) message.may_have_executed_us = lost.started_us;
    it = in_flight_calls_.erase(it);
  }
}

}  // namespace sagetally::loadtest
