#include "loadtest/load/sender.h"

#include <algorithm>

#include "loadtest/clock.h"

namespace sagetally::loadtest {
namespace {

constexpr Duration kPlanLate = std::chrono::microseconds(200);
constexpr Duration kWatch = std::chrono::milliseconds(50);
constexpr int kMostAtOnce = 256;  // sends before the loop may read answers again

Duration Us(std::int64_t us) { return Duration(std::max<std::int64_t>(0, us)); }

}  // namespace

Sender::Sender(const Scenario& scenario, int connections, Feed& feed, std::uint32_t run,
               std::int64_t start_us, Progress& progress, const std::atomic<bool>& stop)
    : scenario_(scenario),
      feed_(feed),
      run_(run),
      start_us_(start_us),
      progress_(progress),
      stop_(stop),
      clients_(loop_, scenario.targets, connections,
               Us(static_cast<std::int64_t>(scenario.answer_ms * 1000))),
      next_(loop_, [this] { Turn(); }),
      batch_(loop_, [this] { CloseBatch(); }),
      watch_timer_(loop_, [this] { Watch(); }) {
  clients_.on_free = [this] { SendWaiting(); };
}

const ClassMix& Sender::ClassOf(const Record& record) const {
  return scenario_.classes[static_cast<std::size_t>(record.planned.message_class)];
}

double Sender::LeftMs(const Record& record, std::int64_t now) const {
  return ClassOf(record).deadline_ms - static_cast<double>(now - record.intended_us) / 1000;
}

bool Sender::Over(std::int64_t now) const {
  const double end_s = scenario_.seconds + scenario_.drain_s;
  if (stop_.load(std::memory_order_relaxed) || static_cast<double>(now - start_us_) > end_s * 1e6)
    return true;
  return !ahead_ && feed_.done && feed_.queue.read_available() == 0 && out_ == 0 && waiting_.empty() &&
         again_.empty() && batch_open_.empty();
}

void Sender::Run() {
  SelfWatch watch;
  watch_ = &watch;
  Watch();
  next_.Schedule(Us(0));
  loop_.Run();
  self_ = watch.Report();
  watch_ = nullptr;
  // Who still waits has waited until now at least.
  const std::int64_t now = NowUs();
  for (Record& r : records_) {
    if (r.sent_us != kNever && r.answered_us == kNever) r.answered_us = now;
  }
}

void Sender::Watch() {
  watch_->Sample();
  if (Over(NowUs())) return loop_.Break();
  watch_timer_.Schedule(kWatch);
}

// Sends all that is due, and sets the timer for what comes next.
void Sender::Turn() {
  const std::int64_t now = NowUs();
  if (Over(now)) return loop_.Break();
  int sent = 0;
  while (!again_.empty() && again_.top().at_us <= now && sent++ < kMostAtOnce) {
    const std::size_t record = again_.top().record;
    again_.pop();
    Offer(record);
  }
  while (sent++ < kMostAtOnce) {
    if (!ahead_) {
      Planned planned;
      if (!feed_.queue.pop(planned)) break;
      ahead_ = planned;
    }
    if (start_us_ + ahead_->at_us > NowUs()) break;
    Due();
  }
  Schedule();
}

void Sender::Schedule() {
  const std::int64_t now = NowUs();
  if (Over(now)) return loop_.Break();
  std::int64_t next = INT64_MAX;
  if (ahead_) {
    next = start_us_ + ahead_->at_us;
  } else if (feed_.queue.read_available() > 0) {
    next = now;
  } else if (!feed_.done) {
    ++waits_for_plan_;
    return next_.Schedule(kPlanLate);
  }
  if (!again_.empty()) next = std::min(next, again_.top().at_us);
  if (next != INT64_MAX) next_.Schedule(Us(next - now));
}

void Sender::Due() {
  Record r;
  r.planned = *ahead_;
  ahead_.reset();
  r.intended_us = start_us_ + r.planned.at_us;
  r.due_us = NowUs();
  records_.push_back(r);
  unanswered_.push_back(false);
  progress_.offered.fetch_add(1, std::memory_order_relaxed);
  Offer(records_.size() - 1);
}

void Sender::Offer(std::size_t record) {
  if (scenario_.front != Front::kEvents || scenario_.mode != EventMode::kBatched) return Post({record});
  batch_open_.push_back(record);
  if (static_cast<int>(batch_open_.size()) >= scenario_.batch) return CloseBatch();
  if (batch_open_.size() == 1) batch_.Schedule(Us(static_cast<std::int64_t>(scenario_.batch_wait_ms * 1000)));
}

void Sender::CloseBatch() {
  batch_.Stop();
  if (!batch_open_.empty()) Post(std::exchange(batch_open_, {}));
}

void Sender::Post(std::vector<std::size_t> records) {
  if (!clients_.busy() && waiting_.empty()) return SendNow(std::move(records));
  const auto count = static_cast<std::int64_t>(records.size());
  if (waiting_messages_ + count > scenario_.backlog) return;  // their records say that they were not sent
  waiting_messages_ += count;
  waiting_.push_back(std::move(records));
  SendWaiting();
}

void Sender::SendWaiting() {
  while (!waiting_.empty() && !clients_.busy()) {
    std::vector<std::size_t> records = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_messages_ -= static_cast<std::int64_t>(records.size());
    SendNow(std::move(records));
  }
}

void Sender::SendNow(std::vector<std::size_t> records) {
  const std::int64_t now = NowUs();
  std::vector<HandIn> hand_ins;
  for (const std::size_t i : records) {
    Record& r = records_[i];
    if (r.sent_us == kNever) r.sent_us = now;
    hand_ins.push_back({&r.planned, &ClassOf(r), r.hand_ins, unanswered_[i], std::max(1.0, LeftMs(r, now))});
    ++r.hand_ins;
  }
  progress_.sent.fetch_add(static_cast<std::int64_t>(records.size()), std::memory_order_relaxed);
  ++out_;
  clients_.Send(RequestText(scenario_, run_, hand_ins),
                [this, records = std::move(records)](const Reply& reply) { Answered(records, reply); });
}

void Sender::Answered(const std::vector<std::size_t>& records, const Reply& reply) {
  --out_;
  const std::int64_t now = NowUs();
  for (const std::size_t i : records) Settled(i, reply, now);
  Schedule();
}

void Sender::Settled(std::size_t record, const Reply& reply, std::int64_t now) {
  Record& r = records_[record];
  if (r.answered_us == kNever) {
    r.answered_us = now;
    r.first_code = static_cast<std::int16_t>(reply.code);
  }
  r.last_code = static_cast<std::int16_t>(reply.code);
  unanswered_[record] = reply.code == 0;
  if (reply.code == 202 || reply.code == 200) {
    r.taken_us = now;
    r.taken_hand_in = static_cast<std::int8_t>(scenario_.front == Front::kEvents ? 0 : r.hand_ins - 1);
    progress_.taken.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const bool refused = reply.code == 429 || reply.code == 503;
  // Events keep their id, so that what was perhaps heard (504, no answer) may be handed in again too.
  const bool harmless =
      refused || reply.code == 0 || (reply.code == 504 && scenario_.front == Front::kEvents);
  const double wait_ms = std::max(scenario_.again_ms, reply.retry_after_s * 1000);
  if (harmless && r.hand_ins <= scenario_.hand_ins_again && LeftMs(r, now) > wait_ms) {
    again_.push({now + static_cast<std::int64_t>(wait_ms * 1000), record});
    return;
  }
  (refused ? progress_.refused : progress_.unanswered).fetch_add(1, std::memory_order_relaxed);
}

}  // namespace sagetally::loadtest
