// The figures that operators read. One place counts, fed by the chain through the port Tally; each process
// starts at 0. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_METRICS_H_
#define SAGETALLY_SRC_ADMIN_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ports.h"

namespace sagetally {

// As they stand when they are read.
struct GaugeValues {
  std::size_t in_progress = 0;        // taken on and not yet ended, those of an earlier process too
  std::size_t known_endpoints = 0;    // in the list, draining ones too
  std::size_t avoided_endpoints = 0;  // of these, the ones that get no usual traffic now
};

class Metrics : public MetricsRecorder {
 public:
  explicit Metrics(std::vector<std::string> classes)
      : classes_(std::move(classes)), counts_(classes_.size()) {}

  // A message that was taken on, by this process or an earlier one, has ended here. Delivered: `passed`.
  // Handed back (told to come again, or its client had gone before it was sent): `dropped`. Else, when it ran
  // out of time at its destination too: `bad_gateway`.
  void RecordCompletion(const Message& message) override;
  // A message with a class of ours was refused without being taken on: `dropped`.
  void RecordRejection(int message_class) override;
  // The last byte of a call was written to an endpoint: `upstream_tries`.
  void RecordCallWritten() override { ++upstream_tries_; }

  // In statsd's form, one a line: "balancer.passed.aviso:812|c", "balancer.in_progress:14|g".
  std::string FormatStatsd(const GaugeValues& gauges) const;

 private:
  struct Counts {
    std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;
  };
  const std::vector<std::string> classes_;
  std::vector<Counts> counts_;  // by class
  std::uint64_t upstream_tries_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_METRICS_H_
