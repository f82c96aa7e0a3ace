#include "loadtest/stub/checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace sagetally::loadtest {
namespace {

constexpr std::size_t kMostFindings = 100;

double Ms(std::int64_t us) { return static_cast<double>(us) / 1000; }

}  // namespace

void Checker::Find(const std::string& rule, const std::string& id, const std::string& detail) {
  ++count_;
  if (findings_.size() < kMostFindings) findings_.push_back({rule, id, detail});
}

std::int64_t Checker::CallBegan(std::int64_t now_us, const CallSeen& call) {
  MessageSeen& m = messages_[call.id];
  if (m.out > 0)
    Find("second copy", call.id, "called at " + call.endpoint + " while another call of it was out");
  if (++m.calls > rules_.most_attempts)
    Find("too many attempts", call.id, fmt::format("call {} of at most {}", m.calls, rules_.most_attempts));
  if (call.wanted && *call.wanted != call.destination) {
    Find(
        "wrong destination", call.id,
        fmt::format("for destination {}, called at {} of {}", *call.wanted, call.endpoint, call.destination));
  }
  for (const Wait& w : waits_[call.destination]) {
    if (now_us > w.told_us + rules_.wait_leeway_us && now_us < w.until_us) {
      Find("wait not kept", call.id,
           fmt::format("destination {} was called {:.0f} ms before its wait was over", call.destination,
                       Ms(w.until_us - now_us)));
      break;
    }
  }
  if (const auto told = draining_.find(call.endpoint);
      told != draining_.end() && now_us - told->second > rules_.drain_us) {
    Find("drain not kept", call.id,
         fmt::format("{} was called {:.0f} ms after it was told draining", call.endpoint,
                     Ms(now_us - told->second)));
  }
  if (call.repeat == Repeat::kNever && m.may_have_run_us)
    Find("forbidden repeat", call.id, "called again, though it may have run and may not be repeated");
  if (call.repeat == Repeat::kKeyed && m.may_have_run_us &&
      now_us - *m.may_have_run_us > rules_.repeat_window_us) {
    Find("repeat window over", call.id,
         fmt::format("called again {:.0f} ms after it may have run", Ms(now_us - *m.may_have_run_us)));
  }
  if (m.delivered && call.repeat == Repeat::kNever)
    Find("delivered again", call.id, "called again after it was answered as delivered");
  ++m.out;
  const int out = ++slots_[call.dispatcher];
  most_out_ = std::max(most_out_, out);
  if (rules_.slots > 0 && out > rules_.slots)
    Find("beyond slots", call.id, fmt::format("{} calls out of at most {}", out, rules_.slots));
  out_[next_call_] = {call, now_us};
  return next_call_++;
}

void Checker::CallOver(std::int64_t now_us, std::int64_t call, CallEnd end, std::int64_t wait_us) {
  const auto at = out_.find(call);
  if (at == out_.end()) return;
  const Out out = at->second;
  out_.erase(at);
  --slots_[out.call.dispatcher];
  MessageSeen& m = messages_[out.call.id];
  --m.out;
  if (end == CallEnd::kDelivered) m.delivered = true;
  if (end == CallEnd::kMayHaveRun && !m.may_have_run_us) m.may_have_run_us = out.began_us;
  if (wait_us > 0) {
    std::vector<Wait>& waits = waits_[out.call.destination];
    std::erase_if(waits, [&](const Wait& w) { return w.until_us <= now_us; });
    waits.push_back({now_us, now_us + wait_us});
  }
}

void Checker::Effect(std::int64_t, const std::string& id, std::optional<Repeat> repeat) {
  ++effects_seen_;
  if (++messages_[id].effects > 1 && repeat && *repeat != Repeat::kFree)
    Find("took effect twice", id, fmt::format("took effect {} times", messages_[id].effects));
}

void Checker::ToldDraining(std::int64_t now_us, const std::string& endpoint) {
  draining_.try_emplace(endpoint, now_us);
}

void Checker::Restarted(const std::string& dispatcher) {
  waits_.clear();
  slots_[dispatcher] = 0;
  for (auto at = out_.begin(); at != out_.end();) {
    if (at->second.call.dispatcher != dispatcher) {
      ++at;
      continue;
    }
    MessageSeen& m = messages_[at->second.call.id];
    --m.out;
    if (!m.may_have_run_us) m.may_have_run_us = at->second.began_us;
    at = out_.erase(at);
  }
}

}  // namespace sagetally::loadtest
