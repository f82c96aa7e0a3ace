// The counters that operators read, as the core sees them. Implemented by the metrics; called on the event
// loop's thread.
#ifndef SAGETALLY_SRC_CORE_METRICS_RECORDER_H_
#define SAGETALLY_SRC_CORE_METRICS_RECORDER_H_

#include "core/message.h"

namespace sagetally {

// Is called exactly once for each fact that a counter rests on.
class MetricsRecorder {
 public:
  virtual ~MetricsRecorder() = default;

  // An accepted message has its final status, and the journal its record.
  virtual void RecordCompletion(const Message& message) = 0;
  // A request of a valid class was rejected without having been accepted.
  virtual void RecordRejection(int message_class) = 0;
  // The last byte of a call was written to an endpoint.
  virtual void RecordCallWritten() = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_METRICS_RECORDER_H_
