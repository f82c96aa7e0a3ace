// One sending thread of an open-loop load: sends each planned message at its intended time, whatever became
// of those before it, and submits messages again as the protocol's clients do. Used by RunLoad, a Sender for
// each thread.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <deque>
#include <optional>
#include <queue>
#include <vector>

#include "loadtest/load/client.h"
#include "loadtest/load/generator_monitor.h"
#include "loadtest/load/wire.h"
#include "loadtest/report/message_record.h"

namespace sagetally::loadtest {

// The queue from the thread that draws the plan to one that sends.
struct PlanFeed {
  boost::lockfree::spsc_queue<PlannedMessage, boost::lockfree::capacity<16384>> queue;
  std::atomic<bool> done = false;  // nothing more will be added
};

// Counts of messages; written by the senders, read by any thread.
struct Progress {
  std::atomic<std::int64_t> offered = 0;
  std::atomic<std::int64_t> sent = 0;  // submissions
  std::atomic<std::int64_t> accepted = 0;
  std::atomic<std::int64_t> rejected = 0;
  std::atomic<std::int64_t> unanswered = 0;
};

class Sender {
 public:
  // All references outlive the sender. `start_us`: the run's start on the monotonic clock.
  Sender(const Scenario& scenario, int connections, PlanFeed& feed, std::uint32_t run, std::int64_t start_us,
         Progress& progress, const std::atomic<bool>& stop);

  // Sends on the calling thread until all messages have their response, `drain_s` have passed after the
  // scenario's last second, or `stop` is set.
  void Run();

  // The results; valid once Run has returned.
  const std::vector<MessageRecord>& records() const { return records_; }
  const SenderThreadReport& thread_report() const { return thread_report_; }
  std::int64_t plan_underruns() const { return plan_underruns_; }  // times that the feed was empty too early
  std::int64_t opened_connections() const { return clients_.opened_connections(); }

 private:
  // Messages are named by the index of their record.
  using RecordIndices = std::vector<std::size_t>;

  struct Retry {
    std::int64_t at_us = 0;
    std::size_t record = 0;
    bool operator>(const Retry& other) const { return at_us > other.at_us; }
  };

  // Sends all that is due, and sets the timer for what comes next.
  void ProcessDueWork();
  void ScheduleNextWork();
  void StartNextMessage();
  void SubmitOrBatch(std::size_t record);
  void CloseBatch();
  void SendOrQueue(RecordIndices records);
  void SendQueued();
  void SendNow(RecordIndices records);
  void OnReply(const RecordIndices& records, const Reply& reply);
  void HandleReply(std::size_t index, const Reply& reply, std::int64_t now_us);
  bool MayResubmit(const MessageRecord& record, const Reply& reply, double delay_ms,
                   std::int64_t now_us) const;
  bool IsFinished(std::int64_t now_us) const;
  void SampleMonitor();
  double RemainingMs(const MessageRecord& record, std::int64_t now_us) const;
  const MessageClass& ClassOf(const MessageRecord& record) const;

  const Scenario& scenario_;
  PlanFeed& feed_;
  const std::uint32_t run_;
  const std::int64_t start_us_;
  Progress& progress_;
  const std::atomic<bool>& stop_;
  EventLoop loop_;
  HttpClientPool clients_;
  Timer work_timer_;
  Timer batch_timer_;
  Timer monitor_timer_;
  std::vector<MessageRecord> records_;
  std::vector<bool> last_unanswered_;  // by record: whether the last submission got no response
  std::optional<PlannedMessage> next_message_;
  std::deque<RecordIndices> queued_;  // requests that wait for a connection
  std::int64_t queued_messages_ = 0;
  std::int64_t requests_in_flight_ = 0;
  std::int64_t plan_underruns_ = 0;
  RecordIndices open_batch_;
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries_;
  SenderThreadReport thread_report_;
  GeneratorMonitor* monitor_ = nullptr;  // while Run runs
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_
