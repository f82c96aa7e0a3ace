// Recognises a request that has come before: as a copy that something on its way made, or because its client
// sent it once more after its connection was closed. Called by RequestValidator on the event loop's thread.
#ifndef SAGETALLY_SRC_PIPELINE_DUPLICATE_DETECTOR_H_
#define SAGETALLY_SRC_PIPELINE_DUPLICATE_DETECTOR_H_

#include <cstdint>
#include <optional>

#include "core/message_table.h"
#include "pipeline/admission_controller.h"
#include "time/clock.h"

namespace sagetally {

// An earlier submission of the same request.
struct EarlierSubmission {
  // The message whose response is still pending; empty if the response was given.
  std::optional<std::uint64_t> awaited_message;
  AdmissionResult result;  // repeats the response, if that was given
};

class DuplicateDetector {
 public:
  // A client of the platform's protocol waits for its response no longer than this.
  static constexpr Duration kClientTimeout = std::chrono::milliseconds(400);

  // Both must outlive this object.
  DuplicateDetector(MessageTable& messages, const Clock& clock) : messages_(messages), clock_(clock) {}

  // Returns the earlier submission, or nothing if the request is to be handled as a new one. That includes a
  // CloudEvent that was rejected, and a request whose client had gone before its message was sent, as long as
  // its client may still wait on another connection.
  std::optional<EarlierSubmission> Find(const Request& request);

 private:
  std::optional<EarlierSubmission> FindInHistory(const Request& request);

  MessageTable& messages_;
  const Clock& clock_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_DUPLICATE_DETECTOR_H_
