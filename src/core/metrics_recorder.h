// The interface to the counters that operators read. Implemented by the metrics; called on the event loop's
// thread.
#ifndef SAGETALLY_SRC_CORE_METRICS_RECORDER_H_
#define SAGETALLY_SRC_CORE_METRICS_RECORDER_H_

#include "core/message.h"

namespace sagetally {

// Each function is called exactly once for each event that the metrics count.
class MetricsRecorder {
 public:
  virtual ~MetricsRecorder() = default;

  // Called when the final status of an accepted message was set and appended to the journal.
  virtual void RecordCompletion(const Message& message) = 0;
  // Called when a request of a valid class was rejected without having been accepted.
  virtual void RecordRejection(int message_class) = 0;
  // Called when the last byte of a call was written to an endpoint.
  virtual void RecordCallWritten() = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_METRICS_RECORDER_H_
