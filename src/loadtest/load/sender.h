// One sending thread: sends each planned message at its intended time whatever became of those before it, and
// hands messages in again as the protocol's clients do.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <deque>
#include <optional>
#include <queue>
#include <vector>

#include "loadtest/load/client.h"
#include "loadtest/load/self_watch.h"
#include "loadtest/load/wire.h"
#include "loadtest/report/record.h"

namespace sagetally::loadtest {

// From the thread that draws the plan to one that sends.
struct Feed {
  boost::lockfree::spsc_queue<Planned, boost::lockfree::capacity<16384>> queue;
  std::atomic<bool> done = false;  // nothing more is put into it
};

struct Progress {  // written by senders, read by whoever shows it
  std::atomic<std::int64_t> offered = 0, sent = 0, taken = 0, refused = 0, unanswered = 0;
};

class Sender {
 public:
  // Sends what `feed` holds of run `run`, whose start is `start_us`; ends once all is answered, `drain_s`
  // after the scenario's last second, or soon after `stop` is set.
  Sender(const Scenario& scenario, int connections, Feed& feed, std::uint32_t run, std::int64_t start_us,
         Progress& progress, const std::atomic<bool>& stop);
  // On the thread that called it.
  void Run();

  const std::vector<Record>& records() const { return records_; }
  const SelfReport& self() const { return self_; }
  std::int64_t waits_for_plan() const { return waits_for_plan_; }  // the plan was not drawn in time
  std::int64_t connections_opened() const { return clients_.opened(); }

 private:
  struct Again {
    std::int64_t at_us = 0;
    std::size_t record = 0;
    bool operator>(const Again& other) const { return at_us > other.at_us; }
  };
  void Turn();
  void Schedule();
  void Due();
  void Offer(std::size_t record);
  void SendWaiting();
  void Post(std::vector<std::size_t> records);
  void SendNow(std::vector<std::size_t> records);
  void Answered(const std::vector<std::size_t>& records, const Reply& reply);
  void Settled(std::size_t record, const Reply& reply, std::int64_t now);
  bool Over(std::int64_t now) const;
  void CloseBatch();
  void Watch();
  double LeftMs(const Record& record, std::int64_t now) const;
  const ClassMix& ClassOf(const Record& record) const;

  const Scenario& scenario_;
  Feed& feed_;
  const std::uint32_t run_;
  const std::int64_t start_us_;
  Progress& progress_;
  const std::atomic<bool>& stop_;
  EventLoop loop_;
  Clients clients_;
  Timer next_, batch_, watch_timer_;
  std::vector<Record> records_;
  std::vector<bool> unanswered_;  // by record: the last hand-in got none
  std::optional<Planned> ahead_;
  std::deque<std::vector<std::size_t>> waiting_;  // for a connection
  std::int64_t waiting_messages_ = 0, out_ = 0, waits_for_plan_ = 0;
  std::vector<std::size_t> batch_open_;
  std::priority_queue<Again, std::vector<Again>, std::greater<>> again_;
  SelfReport self_;
  SelfWatch* watch_ = nullptr;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SENDER_H_
