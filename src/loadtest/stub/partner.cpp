#include "loadtest/stub/partner.h"

#include <algorithm>
#include <cmath>

#include "loadtest/clock.h"

namespace sagetally::loadtest {

struct Partner::Work {
  std::shared_ptr<Call> call;
  Identity who;
  std::string key;
  FaultSpan fault;
  std::int64_t seen = -1;  // the checker's name for the call
  bool over = false;
};

Identity IdentityByHandIn(const Call& call) {
  Identity who;
  who.id = call.Header("X-Request-Id");
  if (const auto id = ParseHandInId(who.id)) {
    who.wanted = id->destination;
    who.repeat = id->repeat;
  }
  return who;
}

Partner::Partner(EventLoop& loop, PartnerSettings settings, const Timeline& timeline, Checker& checker,
                 Random random, std::int64_t started_us)
    : loop_(loop),
      settings_(std::move(settings)),
      timeline_(timeline),
      checker_(checker),
      random_(random),
      tokens_(settings_.burst),
      sweep_(loop, [this] { fired_.clear(); }),
      listener_(loop, settings_.listen, [this](std::shared_ptr<Call> call) { Called(std::move(call)); }),
      script_(loop, listener_, timeline, settings_.uid, settings_.destination, started_us) {
  listener_.most_connections = settings_.connections;
  decide = [this](const Call&) {
    return timeline_.Draw(NowMs(), settings_.uid, settings_.destination, random_);
  };
}
Partner::~Partner() {
  on_effect = on_delivered = nullptr;  // connections end now, and nobody is told any more
}

double Partner::NowMs() const { return script_.NowMs(); }

void Partner::After(double ms, std::function<void()> then) {
  const std::int64_t number = next_timer_++;
  timers_[number] = std::make_unique<Timer>(loop_, [this, number, then = std::move(then)] {
    fired_.push_back(std::move(timers_[number]));  // freed once its own code has returned
    timers_.erase(number);
    sweep_.Schedule(Duration(0));
    then();
  });
  timers_[number]->Schedule(Duration(static_cast<std::int64_t>(ms * 1000)));
}

void Partner::Called(std::shared_ptr<Call> call) {
  if (call->target != "/hook" || call->method != "POST") {
    call->Answer(404);
    return;
  }
  ++calls;
  auto work = std::make_shared<Work>();
  work->call = call;
  work->who = identify(*call);
  work->key = call->Header("Idempotency-Key");
  work->fault = decide(*call);
  work->seen = checker_.CallBegan(NowUs(), {work->who.id, settings_.uid, settings_.destination,
                                            work->who.wanted, work->who.repeat, work->who.dispatcher});
  call->on_gone = [this, work] { Over(work, CallEnd::kMayHaveRun); };
  Befall(work);
}

void Partner::Befall(const WorkPtr& work) {
  const Fault fault = work->fault.fault;
  const bool may_run = fault == Fault::kError || fault == Fault::kReset || fault == Fault::kSilent;
  if (may_run && (flip_ = !flip_)) Effect(*work);
  switch (fault) {
    case Fault::kWell:
    case Fault::kSlow:
    case Fault::kTwice:
    case Fault::kPause:
    case Fault::kShut:
      return Take(work);
    case Fault::kRefuse:
      return TurnAway(work, 503, 0);
    case Fault::kFull:
      return TurnAway(work, 429, work->fault.ms);
    case Fault::kError:
      Over(work, CallEnd::kMayHaveRun);
      work->call->Answer(500);
      return;
    case Fault::kReset:
      return work->call->Reset();
    case Fault::kSpoilt:
      Effect(*work);
      work->call->Raw("HTTP/1.1 500 nonsense\r\nContent-Length: -7\r\n\r\nzzzz");
      return;
    case Fault::kHalf:
      Effect(*work);
      work->call->Raw("HTTP/1.1 500 Internal Server Error\r\nContent-Le");
      return work->call->Close();
    case Fault::kLate:
      return After(work->fault.ms, [this, work] { Effect(*work); });
    case Fault::kSilent:
      return;
  }
}

std::optional<double> Partner::LimitMs() {
  const double now = NowMs();
  if (settings_.rate > 0) {
    tokens_ = std::min(settings_.burst, tokens_ + (now - tokens_at_ms_) / 1000 * settings_.rate);
    tokens_at_ms_ = now;
    if (tokens_ < 1) return (1 - tokens_) / settings_.rate * 1000;
  }
  while (!window_.empty() && window_.front() <= now - settings_.window_ms) window_.pop_front();
  if (settings_.window_calls > 0 && static_cast<int>(window_.size()) >= settings_.window_calls)
    return window_.front() + settings_.window_ms - now;
  if (settings_.rate > 0) tokens_ -= 1;
  if (settings_.window_calls > 0) window_.push_back(now);
  return std::nullopt;
}

void Partner::Take(const WorkPtr& work) {
  if (const auto wait_ms = LimitMs())
    return settings_.tell_waits ? TurnAway(work, 429, std::ceil(*wait_ms)) : TurnAway(work, 503, 0);
  if (settings_.capacity == 0 || working_ < settings_.capacity) return Begin(work);
  if (static_cast<int>(queue_.size()) >= settings_.queue) return TurnAway(work, 503, 0);
  queue_.push_back(work);
}

void Partner::Begin(const WorkPtr& work) {
  ++working_;
  double ms = settings_.service_ms.Draw(random_);
  if (work->fault.fault == Fault::kSlow) ms = std::max(ms, 1.0) * work->fault.times;
  if (static_cast<double>(NowUs() - script_.up_since_us()) / 1000 < settings_.cold_ms)
    ms *= settings_.cold_times;
  if (ms <= 0) return Done(work);
  After(ms, [this, work] { Done(work); });
}

void Partner::Done(const WorkPtr& work) {
  --working_;
  Effect(*work);
  if (work->fault.fault == Fault::kTwice) Effect(*work);
  if (!work->call->gone()) {
    ++delivered;
    Over(work, CallEnd::kDelivered);
    if (on_delivered) on_delivered(work->who.id);
    work->call->Answer(200);
  }
  while (!queue_.empty() && working_ < settings_.capacity) {
    const WorkPtr next = queue_.front();
    queue_.pop_front();
    if (!next->call->gone()) Begin(next);  // who has hung up is not begun
  }
}

void Partner::Effect(const Work& work) {
  const std::int64_t now = NowUs();
  const auto memory_us = static_cast<std::int64_t>(settings_.key_memory_ms * 1000);
  while (!remembered_order_.empty() && remembered_order_.front().first + memory_us <= now) {
    const auto known = remembered_us_.find(remembered_order_.front().second);
    if (known != remembered_us_.end() && known->second == remembered_order_.front().first)
      remembered_us_.erase(known);
    remembered_order_.pop_front();
  }
  if (!work.key.empty() && work.who.repeat.value_or(Repeat::kKeyed) == Repeat::kKeyed) {
    if (remembered_us_.contains(work.key)) {
      ++dropped_repeats;
      return;
    }
    remembered_us_[work.key] = now;
    remembered_order_.emplace_back(now, work.key);
  }
  checker_.Effect(now, work.who.id, work.who.repeat);
  if (on_effect) on_effect(work.who.id);
}

void Partner::TurnAway(const WorkPtr& work, int code, double wait_ms) {
  ++turned_away;
  Over(work, CallEnd::kTurnedAway, static_cast<std::int64_t>(wait_ms * 1000));
  Call::Headers more;
  if (wait_ms > 0) more.emplace_back("X-Retry-In-Ms", std::to_string(std::llround(wait_ms)));
  work->call->Answer(code, "", more);
}

void Partner::Over(const WorkPtr& work, CallEnd end, std::int64_t wait_us) {
  if (std::exchange(work->over, true)) return;
  work->call->on_gone = nullptr;
  checker_.CallOver(NowUs(), work->seen, end, wait_us);
}

}  // namespace sagetally::loadtest
