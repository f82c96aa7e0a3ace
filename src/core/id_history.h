// What the clients of this dispatcher were told about each id, for as long as something on the way can still
// bring a copy of the request. An id has one end: a copy gets the answer of its original, and never makes a
// second message. Filled by the message table and the admission controller, and by the journal's replay. Used
// on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_CORE_ID_HISTORY_H_
#define SAGETALLY_SRC_CORE_ID_HISTORY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/message.h"

namespace sagetally {

// What the client of a submission was told. The numbers are stored, so they must not change.
enum class SubmissionOutcome : std::uint8_t {
  kAccepted = 1,      // the message was accepted, however it ended
  kRejected = 2,      // rejected; the client may submit it again under another id
  kShuttingDown = 3,  // the same, because the process accepted no more messages
  kWithdrawn = 4      // nothing: the client had gone before the response, and the message was not sent
};

// One id that is remembered.
struct RememberedId {
  std::uint64_t hash = 0;
  Time remembered_at{0};
  Time expires_at{0};
  SubmissionOutcome outcome = SubmissionOutcome::kAccepted;
  bool operator==(const RememberedId&) const = default;
};

class IdHistory {
 public:
  // A copy of a request may arrive this long after the request's message has ended or its deadline is over.
  static constexpr Duration kMaxRequestDelay = std::chrono::seconds(30);
  // An id is remembered no longer than this, whatever its deadline.
  static constexpr Duration kMaxRetention = std::chrono::seconds(150);
  // If as many ids as possible are remembered, those that are older than kMinRetention make room for new
  // ones.
  static constexpr std::size_t kMaxIds = 65'536;
  static constexpr Duration kMinRetention = std::chrono::seconds(5);

  // Remembers `max_ids` ids at most, and no more than kMaxIds.
  explicit IdHistory(std::size_t max_ids = kMaxIds) : max_ids_(std::min(max_ids, kMaxIds)) {}

  // Sets the key of the hash. To be called before the first id is added.
  void SetKey(std::uint64_t key) { key_ = key; }

  // Remembers the outcome of a request, in place of what was remembered of its id before. `deadline` is that
  // of the message.
  void Add(const Request& request, SubmissionOutcome outcome, Time now, Time deadline);
  // Adds an id that another process of this dispatcher has remembered.
  void Restore(const RememberedId& id, Time now);
  // Removes the id, because the same request may come again.
  void Forget(const Request& request);
  // Returns what is remembered of the request's id.
  std::optional<RememberedId> Find(const Request& request, Time now);
  // Returns whether no further id can be remembered for kMinRetention.
  bool IsFull(Time now);

  // The number of ids that are remembered.
  std::size_t size() const { return ids_.size(); }
  // Returns the ids that were added since the last call and have not expired.
  std::deque<RememberedId> TakeUnsaved() { return std::exchange(unsaved_, {}); }

 private:
  struct Entry {
    Time remembered_at{0};
    Time expires_at{0};
    SubmissionOutcome outcome = SubmissionOutcome::kAccepted;
  };

  std::uint64_t HashOf(const Request& request) const;
  void Insert(const RememberedId& id);
  void RemoveExpired(Time now);
  bool RemoveEarliest(Time remembered_before);

  std::size_t max_ids_;
  std::uint64_t key_ = 0;
  std::unordered_map<std::uint64_t, Entry> ids_;  // by hash
  // The hashes by the time at which they expire, in whole seconds. May contain hashes whose entry has been
  // replaced by one that expires at another time.
  std::map<std::int64_t, std::vector<std::uint64_t>> hashes_by_expiry_;
  std::deque<RememberedId> unsaved_;  // in the order of Add()
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_ID_HISTORY_H_
