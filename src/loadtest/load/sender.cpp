#include "loadtest/load/sender.h"

#include <algorithm>

#include "loadtest/clock.h"

namespace sagetally::loadtest {
namespace {

// The interval at which an empty feed is checked for new messages.
constexpr Duration kPlanPollInterval = std::chrono::microseconds(200);
constexpr Duration kMonitorInterval = std::chrono::milliseconds(50);
constexpr int kMaxSendsPerTurn = 256;  // sends before the event loop may read responses again

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsRejection(const Reply& reply) {
  return reply.code == kTooManyRequests || reply.code == kServiceUnavailable;
}

Duration NonNegativeDuration(std::int64_t us) { return Duration(std::max<std::int64_t>(0, us)); }

}  // namespace

Sender::Sender(const Scenario& scenario, int connections, PlanFeed& feed, std::uint32_t run,
               std::int64_t start_us, Progress& progress, const std::atomic<bool>& stop)
    : scenario_(scenario),
      feed_(feed),
      run_(run),
      start_us_(start_us),
      progress_(progress),
      stop_(stop),
      clients_(loop_, scenario.targets, connections,
               NonNegativeDuration(static_cast<std::int64_t>(scenario.response_timeout_ms * 1000))),
      work_timer_(loop_, [this] { ProcessDueWork(); }),
      batch_timer_(loop_, [this] { CloseBatch(); }),
      monitor_timer_(loop_, [this] { SampleMonitor(); }) {
  clients_.on_connection_free = [this] { SendQueued(); };
}

const MessageClass& Sender::ClassOf(const MessageRecord& record) const {
  return scenario_.classes[static_cast<std::size_t>(record.planned.message_class)];
}

double Sender::RemainingMs(const MessageRecord& record, std::int64_t now_us) const {
  return ClassOf(record).deadline_ms - static_cast<double>(now_us - record.intended_us) / 1000;
}

bool Sender::IsFinished(std::int64_t now_us) const {
  const double end_s = scenario_.seconds + scenario_.drain_s;
  if (stop_.load(std::memory_order_relaxed) || static_cast<double>(now_us - start_us_) > end_s * 1e6) {
    return true;
  }
  return !next_message_ && feed_.done && feed_.queue.read_available() == 0 && requests_in_flight_ == 0 &&
         queued_.empty() && retries_.empty() && open_batch_.empty();
}

void Sender::Run() {
  GeneratorMonitor monitor;
  monitor_ = &monitor;
  SampleMonitor();
  work_timer_.Schedule(NonNegativeDuration(0));
  loop_.Run();
  thread_report_ = monitor.Report();
  monitor_ = nullptr;
  // A message without a response has waited for it until now, and its latency is at least that time.
  const std::int64_t now_us = NowUs();
  for (MessageRecord& record : records_) {
    if (record.sent_us != kNever && record.responded_us == kNever) record.responded_us = now_us;
  }
}

void Sender::SampleMonitor() {
  monitor_->Sample();
  if (IsFinished(NowUs())) return loop_.Break();
  monitor_timer_.Schedule(kMonitorInterval);
}

void Sender::ProcessDueWork() {
  const std::int64_t now_us = NowUs();
  if (IsFinished(now_us)) return loop_.Break();
  int sent = 0;
  while (!retries_.empty() && retries_.top().at_us <= now_us && sent++ < kMaxSendsPerTurn) {
    const std::size_t record = retries_.top().record;
    retries_.pop();
    SubmitOrBatch(record);
  }
  while (sent++ < kMaxSendsPerTurn) {
    if (!next_message_) {
      PlannedMessage planned;
      if (!feed_.queue.pop(planned)) break;
      next_message_ = planned;
    }
    if (start_us_ + next_message_->at_us > NowUs()) break;
    StartNextMessage();
  }
  ScheduleNextWork();
}

void Sender::ScheduleNextWork() {
  const std::int64_t now_us = NowUs();
  if (IsFinished(now_us)) return loop_.Break();
  std::int64_t next = INT64_MAX;
  if (next_message_) {
    next = start_us_ + next_message_->at_us;
  } else if (feed_.queue.read_available() > 0) {
    next = now_us;
  } else if (!feed_.done) {
    ++plan_underruns_;
    return work_timer_.Schedule(kPlanPollInterval);
  }
  if (!retries_.empty()) next = std::min(next, retries_.top().at_us);
  if (next != INT64_MAX) work_timer_.Schedule(NonNegativeDuration(next - now_us));
}

void Sender::StartNextMessage() {
  MessageRecord record;
  record.planned = *next_message_;
  next_message_.reset();
  record.intended_us = start_us_ + record.planned.at_us;
  record.due_us = NowUs();
  records_.push_back(record);
  last_unanswered_.push_back(false);
  progress_.offered.fetch_add(1, std::memory_order_relaxed);
  SubmitOrBatch(records_.size() - 1);
}

void Sender::SubmitOrBatch(std::size_t record) {
  if (scenario_.protocol != TargetProtocol::kCloudEvents ||
      scenario_.event_mode != CloudEventsMode::kBatched) {
    return SendOrQueue({record});
  }
  open_batch_.push_back(record);
  if (static_cast<int>(open_batch_.size()) >= scenario_.batch_size) return CloseBatch();
  if (open_batch_.size() == 1) {
    batch_timer_.Schedule(NonNegativeDuration(static_cast<std::int64_t>(scenario_.batch_wait_ms * 1000)));
  }
}

void Sender::CloseBatch() {
  batch_timer_.Stop();
  if (!open_batch_.empty()) SendOrQueue(std::exchange(open_batch_, {}));
}

void Sender::SendOrQueue(RecordIndices records) {
  if (!clients_.busy() && queued_.empty()) return SendNow(std::move(records));
  const auto count = static_cast<std::int64_t>(records.size());
  if (queued_messages_ + count > scenario_.max_queued_messages) {
    return;  // The records of these messages show that they were not sent.
  }
  queued_messages_ += count;
  queued_.push_back(std::move(records));
  SendQueued();
}

void Sender::SendQueued() {
  while (!queued_.empty() && !clients_.busy()) {
    RecordIndices records = std::move(queued_.front());
    queued_.pop_front();
    queued_messages_ -= static_cast<std::int64_t>(records.size());
    SendNow(std::move(records));
  }
}

void Sender::SendNow(RecordIndices records) {
  const std::int64_t now_us = NowUs();
  std::vector<Submission> submissions;
  for (const std::size_t index : records) {
    MessageRecord& record = records_[index];
    if (record.sent_us == kNever) record.sent_us = now_us;
    submissions.push_back({&record.planned, &ClassOf(record), record.submissions, last_unanswered_[index],
                           std::max(1.0, RemainingMs(record, now_us))});
    ++record.submissions;
  }
  progress_.sent.fetch_add(static_cast<std::int64_t>(records.size()), std::memory_order_relaxed);
  ++requests_in_flight_;
  clients_.Send(RequestText(scenario_, run_, submissions),
                [this, records = std::move(records)](const Reply& reply) { OnReply(records, reply); });
}

void Sender::OnReply(const RecordIndices& records, const Reply& reply) {
  --requests_in_flight_;
  const std::int64_t now_us = NowUs();
  for (const std::size_t index : records) HandleReply(index, reply, now_us);
  ScheduleNextWork();
}

void Sender::HandleReply(std::size_t index, const Reply& reply, std::int64_t now_us) {
  MessageRecord& record = records_[index];
  if (record.responded_us == kNever) {
    record.responded_us = now_us;
    record.first_status = static_cast<std::int16_t>(reply.code);
  }
  record.last_status = static_cast<std::int16_t>(reply.code);
  last_unanswered_[index] = reply.code == 0;
  if (reply.code == kAccepted || reply.code == kOk) {
    // All submissions of a CloudEvent have the same id, which holds the submission number 0.
    const int submission = scenario_.protocol == TargetProtocol::kCloudEvents ? 0 : record.submissions - 1;
    record.accepted_us = now_us;
    record.accepted_submission = static_cast<std::int8_t>(submission);
    progress_.accepted.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const double delay_ms = std::max(scenario_.resubmit_delay_ms, reply.retry_after_s * 1000);
  if (MayResubmit(record, reply, delay_ms, now_us)) {
    retries_.push({now_us + static_cast<std::int64_t>(delay_ms * 1000), index});
    return;
  }
  (IsRejection(reply) ? progress_.rejected : progress_.unanswered).fetch_add(1, std::memory_order_relaxed);
}

bool Sender::MayResubmit(const MessageRecord& record, const Reply& reply, double delay_ms,
                         std::int64_t now_us) const {
  // The status 504 means that the message may have been accepted. A CloudEvent keeps its id in all
  // submissions, so that it may be submitted again even then.
  const bool is_resubmittable_timeout =
      reply.code == kGatewayTimeout && scenario_.protocol == TargetProtocol::kCloudEvents;
  const bool is_harmless = IsRejection(reply) || reply.code == 0 || is_resubmittable_timeout;
  return is_harmless && record.submissions <= scenario_.max_resubmissions &&
         RemainingMs(record, now_us) > delay_ms;
}

}  // namespace sagetally::loadtest
