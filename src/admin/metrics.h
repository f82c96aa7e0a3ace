// The metrics that operators read through the admin server. Metrics owns the counters of this process, which
// start at 0 with each process. The message pipeline updates them through the interface MetricsRecorder, on
// the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_METRICS_H_
#define SAGETALLY_SRC_ADMIN_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ports.h"

namespace sagetally {

// The memory that one consumer holds, and its share of the limit.
struct MemoryGauge {
  std::string consumer;
  std::size_t used_bytes = 0;
  std::size_t limit_bytes = 0;
};

// Gauges. The caller samples their values when the metrics are read.
struct GaugeValues {
  std::size_t in_progress = 0;        // accepted and not completed messages, including an earlier process's
  std::size_t known_endpoints = 0;    // endpoints in the endpoint list, including draining ones
  std::size_t avoided_endpoints = 0;  // known endpoints that are draining or ejected
  std::size_t resident_bytes = 0;     // memory of the process as the system counts it
  std::vector<MemoryGauge> memory = {};
};

// Counts completed messages by class, and the attempts of all classes together.
class Metrics : public MetricsRecorder {
 public:
  // `classes` holds the names of the message classes; the index of a name is the number of its class.
  explicit Metrics(std::vector<std::string> classes)
      : classes_(std::move(classes)), counts_(classes_.size()) {}

  // Counts a message that has completed in this process, whether this process or an earlier one accepted it.
  // A delivered message counts as delivered. A message that was deferred, or that its client withdrew before
  // it was sent, counts as rejected. Every other message counts as failed, including one that its endpoint
  // reported as expired. A message whose class is not configured is not counted.
  void RecordCompletion(const Message& message) override;
  // Counts a message that was rejected on arrival, without having been accepted. A `message_class` that is
  // out of range is ignored.
  void RecordRejection(int message_class) override;
  // Counts an attempt: a call whose last byte has been written to an endpoint.
  void RecordCallWritten() override { ++attempts_; }
  // Counts a response that was not accepted at once, because it may be a repeat of an earlier one.
  void RecordVerifiedResponse() { ++verified_responses_; }
  // Counts a delivery that was revoked, because the response was a repeat of an earlier one.
  void RecordRevokedDelivery() { ++revoked_deliveries_; }
  // Counts a response that came on an endpoint's connection without a call that asked for it.
  void RecordUnexpectedResponse() { ++unexpected_responses_; }
  // Counts a batch of notifications whose content its receiver rejected.
  void RecordRejectedNotifications() { ++rejected_notifications_; }

  // Counts a client's connection that was closed for `reason`, a name that the log uses too.
  void RecordEviction(const std::string& reason) { ++evictions_[reason]; }

  // Returns the counters and gauges, and of memory, evictions, verified and unexpected responses, revoked
  // deliveries and rejected notifications those above 0, in the statsd line format, for example
  // "balancer.passed.aviso:812|c" and "balancer.in_progress:14|g".
  std::string FormatStatsd(const GaugeValues& gauges) const;

 private:
  struct ClassCounts {
    std::uint64_t delivered = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
  };

  // Returns the counts of a class, or null if the class is not configured.
  ClassCounts* FindCounts(int message_class);

  const std::vector<std::string> classes_;
  std::vector<ClassCounts> counts_;  // indexed by class
  std::uint64_t attempts_ = 0;
  std::uint64_t verified_responses_ = 0;
  std::uint64_t unexpected_responses_ = 0;
  std::uint64_t revoked_deliveries_ = 0;
  std::uint64_t rejected_notifications_ = 0;
  std::map<std::string, std::uint64_t> evictions_;  // by reason
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_METRICS_H_
