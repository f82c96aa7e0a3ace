// A sending thread of an open-loop load. It sends each planned message at its intended time, whether or not
// earlier messages have got their responses, and submits messages again as the protocol's clients do. RunLoad
// creates a Sender for each of its threads.
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
  std::atomic<bool> done = false;  // set after the last message was added
};

// Counts of messages. The senders write them, and any thread may read them.
struct Progress {
  std::atomic<std::int64_t> offered = 0;
  std::atomic<std::int64_t> sent = 0;  // counts submissions
  std::atomic<std::int64_t> accepted = 0;
  std::atomic<std::int64_t> rejected = 0;
  std::atomic<std::int64_t> unanswered = 0;  // given up without an acceptance or a rejection
};

class Sender {
 public:
  // All references outlive the sender. `run` identifies the run in submission ids. `start_us` is the run's
  // start on the monotonic clock. The sender ends soon after `stop` is set.
  Sender(const Scenario& scenario, int connections, PlanFeed& feed, std::uint32_t run, std::int64_t start_us,
         Progress& progress, const std::atomic<bool>& stop);

  // Sends on the calling thread until each message is finished, `drain_s` has passed after the scenario's
  // last second, or `stop` is set.
  void Run();

  // The results. They are valid after Run has returned.
  const std::vector<MessageRecord>& records() const { return records_; }
  const SenderThreadReport& thread_report() const { return thread_report_; }
  std::int64_t plan_underruns() const {
    return plan_underruns_;
  }  // how often the feed was empty before its end
  std::int64_t opened_connections() const { return clients_.opened_connections(); }

 private:
  // Indices into `records_`, which identify messages.
  using RecordIndices = std::vector<std::size_t>;

  struct Retry {
    std::int64_t at_us = 0;
    std::size_t record = 0;
    bool operator>(const Retry& other) const { return at_us > other.at_us; }
  };

  // Sends the due resubmissions and messages, and sets the timer for the next ones.
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
  std::vector<bool> last_unanswered_;           // whether the last submission got no response, by record
  std::optional<PlannedMessage> next_message_;  // taken from the feed and not due yet
  std::deque<RecordIndices> queued_;            // requests that wait for a connection
  std::int64_t queued_messages_ = 0;
  std::int64_t requests_in_flight_ = 0;
  std::int64_t plan_underruns_ = 0;
  RecordIndices open_batch_;
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries_;
  SenderThreadReport thread_report_;
  GeneratorMonitor* monitor_ = nullptr;  // set while Run runs
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_
