#include "loadtest/stub/partner.h"

#include <algorithm>
#include <cmath>

#include "loadtest/clock.h"

namespace sagetally::loadtest {

struct Partner::PendingCall {
  std::shared_ptr<Call> call;
  Identity identity;
  std::string key;
  FaultSpan fault;
  std::int64_t checker_number = -1;  // identifies the call in the checker
  bool is_ended = false;
};

Identity IdentifyBySubmissionId(const Call& call) {
  Identity identity;
  identity.id = call.Header("X-Request-Id");
  if (const auto id = ParseSubmissionId(identity.id)) {
    identity.message_destination = id->destination;
    identity.idempotency = id->idempotency;
  }
  return identity;
}

Partner::Partner(EventLoop& loop, PartnerSettings settings, const FaultTimeline& timeline, Checker& checker,
                 Random random, std::int64_t started_us)
    : loop_(loop),
      settings_(std::move(settings)),
      timeline_(timeline),
      checker_(checker),
      random_(random),
      tokens_(settings_.burst),
      cleanup_timer_(loop, [this] { expired_timers_.clear(); }),
      listener_(loop, settings_.listen, [this](const std::shared_ptr<Call>& call) { OnRequest(call); }),
      fault_schedule_(loop, listener_, timeline, settings_.uid, settings_.destination, started_us) {
  listener_.max_connections = settings_.max_connections;
  choose_fault = [this](const Call&) {
    return timeline_.Draw(NowMs(), settings_.uid, settings_.destination, random_);
  };
}
Partner::~Partner() {
  // The connections and their calls end now. The owner of the callbacks must not be called any more.
  on_effect = nullptr;
  on_delivered = nullptr;
}

double Partner::NowMs() const { return fault_schedule_.NowMs(); }

void Partner::RunAfter(double ms, std::function<void()> action) {
  const std::int64_t number = next_timer_++;
  timers_[number] = std::make_unique<Timer>(loop_, [this, number, action = std::move(action)] {
    expired_timers_.push_back(std::move(timers_[number]));
    timers_.erase(number);
    cleanup_timer_.Schedule(Duration(0));
    action();
  });
  timers_[number]->Schedule(Duration(static_cast<std::int64_t>(ms * 1000)));
}

void Partner::OnRequest(const std::shared_ptr<Call>& call) {
  if (call->target != "/hook" || call->method != "POST") {
    call->Answer(404);
    return;
  }
  ++calls;
  auto pending = std::make_shared<PendingCall>();
  pending->call = call;
  pending->identity = identify(*call);
  pending->key = call->Header("Idempotency-Key");
  pending->fault = choose_fault(*call);
  CallInfo info;
  info.id = pending->identity.id;
  info.endpoint = settings_.uid;
  info.destination = settings_.destination;
  info.message_destination = pending->identity.message_destination;
  info.idempotency = pending->identity.idempotency;
  info.dispatcher = pending->identity.dispatcher;
  pending->checker_number = checker_.OnCallStarted(NowUs(), info);
  call->on_gone = [this, pending] { EndCall(pending, CallOutcome::kMayHaveExecuted); };
  ApplyFault(pending);
}

void Partner::ApplyFault(const PendingCallPtr& pending) {
  const Fault fault = pending->fault.fault;
  const bool is_ambiguous = fault == Fault::kError || fault == Fault::kReset || fault == Fault::kNoResponse;
  if (is_ambiguous) {
    executes_ambiguous_ = !executes_ambiguous_;
    if (executes_ambiguous_) RecordEffect(*pending);
  }
  switch (fault) {
    case Fault::kNone:
    case Fault::kSlow:
    case Fault::kDoubleExecution:
    case Fault::kPause:
    case Fault::kConnectionRefused:
      return Admit(pending);
    case Fault::kServiceUnavailable:
      return Reject(pending, 503, 0);
    case Fault::kTooManyRequests:
      return Reject(pending, 429, pending->fault.ms);
    case Fault::kError:
      EndCall(pending, CallOutcome::kMayHaveExecuted);
      pending->call->Answer(500);
      return;
    case Fault::kReset:
      return pending->call->Reset();
    case Fault::kMalformedResponse:
      RecordEffect(*pending);
      pending->call->Raw("HTTP/1.1 500 nonsense\r\nContent-Length: -7\r\n\r\nzzzz");
      return;
    case Fault::kTruncatedResponse:
      RecordEffect(*pending);
      pending->call->Raw("HTTP/1.1 500 Internal Server Error\r\nContent-Le");
      return pending->call->Close();
    case Fault::kLateExecution:
      return RunAfter(pending->fault.ms, [this, pending] { RecordEffect(*pending); });
    case Fault::kNoResponse:
      return;
  }
}

std::optional<double> Partner::RequiredWaitMs() {
  const double now_ms = NowMs();
  if (settings_.rate > 0) {
    tokens_ = std::min(settings_.burst, tokens_ + (now_ms - tokens_updated_ms_) / 1000 * settings_.rate);
    tokens_updated_ms_ = now_ms;
    if (tokens_ < 1) return (1 - tokens_) / settings_.rate * 1000;
  }
  while (!window_starts_ms_.empty() && window_starts_ms_.front() <= now_ms - settings_.window_ms) {
    window_starts_ms_.pop_front();
  }
  if (settings_.max_calls_per_window > 0 &&
      static_cast<int>(window_starts_ms_.size()) >= settings_.max_calls_per_window) {
    return window_starts_ms_.front() + settings_.window_ms - now_ms;
  }
  if (settings_.rate > 0) tokens_ -= 1;
  if (settings_.max_calls_per_window > 0) window_starts_ms_.push_back(now_ms);
  return std::nullopt;
}

void Partner::Admit(const PendingCallPtr& pending) {
  if (const auto wait_ms = RequiredWaitMs()) {
    if (settings_.announces_waits) return Reject(pending, 429, std::ceil(*wait_ms));
    return Reject(pending, 503, 0);
  }
  if (settings_.capacity == 0 || active_calls_ < settings_.capacity) return StartWork(pending);
  if (static_cast<int>(queue_.size()) >= settings_.queue_limit) return Reject(pending, 503, 0);
  queue_.push_back(pending);
}

void Partner::StartWork(const PendingCallPtr& pending) {
  ++active_calls_;
  double ms = settings_.service_ms.Draw(random_);
  if (pending->fault.fault == Fault::kSlow) ms = std::max(ms, 1.0) * pending->fault.slowdown_factor;
  if (static_cast<double>(NowUs() - fault_schedule_.listening_since_us()) / 1000 < settings_.warm_up_ms) {
    ms *= settings_.warm_up_slowdown;
  }
  if (ms <= 0) return FinishWork(pending);
  RunAfter(ms, [this, pending] { FinishWork(pending); });
}

void Partner::FinishWork(const PendingCallPtr& pending) {
  --active_calls_;
  RecordEffect(*pending);
  if (pending->fault.fault == Fault::kDoubleExecution) RecordEffect(*pending);
  if (!pending->call->gone()) {
    ++delivered;
    EndCall(pending, CallOutcome::kDelivered);
    if (on_delivered) on_delivered(pending->identity.id);
    pending->call->Answer(200);
  }
  while (!queue_.empty() && active_calls_ < settings_.capacity) {
    const PendingCallPtr next = queue_.front();
    queue_.pop_front();
    if (!next->call->gone()) StartWork(next);
  }
}

void Partner::ForgetOldKeys(std::int64_t now_us) {
  const auto retention_us = static_cast<std::int64_t>(settings_.key_retention_ms * 1000);
  while (!executed_keys_by_age_.empty()) {
    const ExecutedKey& oldest = executed_keys_by_age_.front();
    if (oldest.executed_us + retention_us > now_us) return;
    const auto found = executed_keys_.find(oldest.key);
    if (found != executed_keys_.end() && found->second == oldest.executed_us) executed_keys_.erase(found);
    executed_keys_by_age_.pop_front();
  }
}

void Partner::RecordEffect(const PendingCall& pending) {
  const std::int64_t now_us = NowUs();
  ForgetOldKeys(now_us);
  const Idempotency idempotency = pending.identity.idempotency.value_or(Idempotency::kIdempotentWithKey);
  if (!pending.key.empty() && idempotency == Idempotency::kIdempotentWithKey) {
    if (executed_keys_.contains(pending.key)) {
      ++dropped_repeats;
      return;
    }
    executed_keys_[pending.key] = now_us;
    executed_keys_by_age_.push_back({now_us, pending.key});
  }
  checker_.OnEffect(pending.identity.id, pending.identity.idempotency);
  if (on_effect) on_effect(pending.identity.id);
}

void Partner::Reject(const PendingCallPtr& pending, int status, double wait_ms) {
  ++rejected_calls;
  EndCall(pending, CallOutcome::kRejected, static_cast<std::int64_t>(wait_ms * 1000));
  Call::Headers headers;
  if (wait_ms > 0) headers.emplace_back("X-Retry-In-Ms", std::to_string(std::llround(wait_ms)));
  pending->call->Answer(status, "", headers);
}

void Partner::EndCall(const PendingCallPtr& pending, CallOutcome outcome, std::int64_t wait_us) {
  if (std::exchange(pending->is_ended, true)) return;
  pending->call->on_gone = nullptr;
  checker_.OnCallEnded(NowUs(), pending->checker_number, outcome, wait_us);
}

}  // namespace sagetally::loadtest
