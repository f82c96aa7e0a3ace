// Decides which notifications form the next batch and when it may be posted, so that a notification that the
// receiver never accepts does not delay the others. The notifications of a failed batch become suspects once
// there is evidence that one of them is at fault. Suspects are posted in batches of their own, which may be
// in flight at the same time as one of the others. These batches are halved until the one at fault is alone.
// That one is posted ever less often.
//
// Does no I/O; NotificationClient posts the batches. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_NET_NOTIFICATION_QUEUE_H_
#define SAGETALLY_SRC_NET_NOTIFICATION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "time/clock.h"

namespace sagetally {

class NotificationQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  static constexpr std::size_t kMaxBatchNotifications = 200;
  // The delay before a batch is posted again, and the first delay of a notification that is at fault. The
  // latter doubles with each further failure, up to kMaxSuspectDelay.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
  static constexpr Duration kMaxSuspectDelay = std::chrono::seconds(60);

  // The two sequences of batches. At most one batch of each is in flight.
  enum class BatchKind { kRegular, kSuspects };

  // Why the receiver did not acknowledge a batch.
  enum class Failure {
    // There was no response, or one that does not say whether the batch itself was at fault. It is evidence
    // against a notification only if the receiver acknowledged other ones between two such failures.
    kUnavailable,
    // The response says that the content of the batch is at fault.
    kRejected
  };

  // One encoded notification.
  struct Notification {
    std::string id = {};  // of the message, for the log
    std::string text = {};
  };

  // A notification that is at fault.
  struct Suspect {
    std::string id = {};
    int failures = 0;  // as the only notification of its group
    Duration retry_delay{0};
  };

  // Adds a notification, or replaces the one with the same message number.
  void Add(std::uint64_t number, Notification notification);
  // Removes all notifications.
  void Clear();
  // Prepares for another receiver: batches in flight count as not posted, and there are no suspects any more.
  void Restart();

  bool empty() const { return entries_.empty(); }
  // Returns the time from `now` until the next batch of this kind may be taken, or nothing if no notification
  // waits for it or one is in flight.
  std::optional<Duration> DelayUntilNextBatch(BatchKind kind, TimePoint now);
  // Takes the next batch, which is in flight from then on, and returns the texts of its notifications.
  // Returns none if none is due.
  std::vector<std::string> TakeBatch(BatchKind kind, TimePoint now);
  // Called when the receiver has acknowledged the batch in flight. Returns its message numbers.
  std::vector<std::uint64_t> AcknowledgeBatch(BatchKind kind);
  // Called when the receiver has not acknowledged the batch in flight. Returns the notification that is at
  // fault if the batch consisted of that alone.
  std::optional<Suspect> FailBatch(BatchKind kind, Failure failure, TimePoint now);

 private:
  struct Entry {
    Notification notification = {};
    // acknowledged_batches_ when the notification last failed; empty if it has not failed.
    std::optional<std::uint64_t> acknowledged_at_failure = {};
  };

  // Suspects that are posted together.
  struct Group {
    std::vector<std::uint64_t> numbers = {};
    TimePoint due = {};
    std::uint64_t acknowledged_at_failure = 0;  // acknowledged_batches_ when the group last failed
    int failures_alone = 0;                     // failures since it consists of one notification
  };

  // Returns the group that is due first, or the end if there is none.
  std::vector<Group>::iterator FirstGroup();
  std::vector<std::uint64_t> TakeRegular();
  std::vector<std::uint64_t> TakeSuspects();
  void FailUnavailable(const std::vector<std::uint64_t>& batch, TimePoint now);
  std::optional<Suspect> FailGroup(Group group, Failure failure, TimePoint now);
  void Divide(const Group& group, TimePoint now);
  std::optional<Suspect> DelaySuspect(Group group, TimePoint now);

  std::map<std::uint64_t, Entry> entries_;  // by message number
  std::uint64_t acknowledged_batches_ = 0;  // of both kinds

  std::deque<std::uint64_t> regular_;             // message numbers, in the order in which they are posted
  std::vector<std::uint64_t> regular_in_flight_;  // message numbers
  std::size_t batch_limit_ = kMaxBatchNotifications;  // of a regular batch; smaller after failures
  TimePoint regular_resumes_at_ = {};                 // no regular batch is taken before

  std::vector<Group> suspects_;
  std::optional<Group> suspects_in_flight_;
  TimePoint suspects_resume_at_ = {};  // no batch of suspects is taken before
  bool has_failed_alone_ = false;      // a notification at fault has failed since the last acknowledged batch
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_NOTIFICATION_QUEUE_H_
