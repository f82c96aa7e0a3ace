// The counters that operators read through the admin server. Owns them for the process, which starts at 0;
// the message pipeline feeds it through the port MetricsRecorder, on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_METRICS_H_
#define SAGETALLY_SRC_ADMIN_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ports.h"

namespace sagetally {

// Values that are not counted but sampled when the metrics are read.
struct GaugeValues {
  std::size_t in_progress = 0;        // messages accepted and not completed, those of an earlier process too
  std::size_t known_endpoints = 0;    // endpoints in the list, draining ones too
  std::size_t avoided_endpoints = 0;  // of these: draining or ejected
};

// Counts completions by message class, and attempts.
class Metrics : public MetricsRecorder {
 public:
  // `classes` are the names of the message classes, by number.
  explicit Metrics(std::vector<std::string> classes)
      : classes_(std::move(classes)), counts_(classes_.size()) {}

  // Counts a message that this process or an earlier one accepted and that has completed here, by its final
  // status: delivered; rejected (deferred, or withdrawn by its client before it was sent); otherwise failed,
  // also when its endpoint reported it as expired. A message of a class that is not configured counts
  // nowhere.
  void RecordCompletion(const Message& message) override;
  // Counts a message that was rejected without having been accepted. `message_class` may be out of range.
  void RecordRejection(int message_class) override;
  // Counts a call whose last byte was written to an endpoint.
  void RecordCallWritten() override { ++attempts_; }

  // Returns counters and gauges in statsd's line form: "balancer.passed.aviso:812|c",
  // "balancer.in_progress:14|g".
  std::string FormatStatsd(const GaugeValues& gauges) const;

 private:
  struct ClassCounts {
    std::uint64_t delivered = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
  };

  // The counts of a class, or null if it is not configured.
  ClassCounts* FindCounts(int message_class);

  const std::vector<std::string> classes_;
  std::vector<ClassCounts> counts_;  // by class
  std::uint64_t attempts_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_METRICS_H_
