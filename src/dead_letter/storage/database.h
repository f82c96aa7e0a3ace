// The dead-letter store, one SQLite file in WAL mode. Used by one thread at a time; other processes and
// connections may read at the same time. Every operation may throw StoreError. Each group of operations is
// implemented in a file of its own: database.cpp (opening, storing, eviction), redrive_queries.cpp and
// operator_queries.cpp.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_DATABASE_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_DATABASE_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dead_letter/dead_letter.h"
#include "dead_letter/redrive_review.h"
#include "dead_letter/rule_pacer.h"
#include "dead_letter/storage/filter_sql.h"
#include "dead_letter/storage/schema.h"
#include "dead_letter/storage/sqlite.h"

namespace sagetally::dead_letter {

// The number of messages of a group.
struct NamedCount {
  std::string name;
  std::int64_t count = 0;
  bool operator==(const NamedCount&) const = default;
};

class Database {
 public:
  struct Settings {
    std::string path;
    std::size_t budget_bytes = 64'000'000;
    Duration max_age = std::chrono::hours(720);
    Duration busy_timeout = std::chrono::milliseconds(200);  // longest wait for another process's lock
    bool read_only = false;
    std::int64_t rows_before_index = 50'000;  // rows that List scans before it uses the filter index
  };

  // Opens the file, or creates it with mode 0600, and migrates an older schema. A read-only database must
  // exist and have the present schema.
  explicit Database(Settings settings);
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  // Whether the path still refers to the file that is open.
  bool IsFileInPlace() const;

  // --- Storing and evicting (database.cpp) ---

  struct Entry {  // a completed message
    DeadLetter dead_letter;
    bool redriven = false;  // this is the result of a redrive, and the message is already in the store
    Time not_before{0};     // earliest time of the next redrive
    std::optional<std::uint64_t> identity = {};
  };
  // Stores all entries in one transaction. Storing an entry again changes nothing.
  void Store(const std::vector<Entry>& entries);

  struct Evicted {
    std::int64_t for_space = 0;
    std::int64_t for_age = 0;
    std::vector<NamedCount> by_class = {};  // in the order of the names
    std::int64_t total() const { return for_space + for_age; }
  };
  // Removes messages that exceed the maximum age. Then, until the store fits its budget, removes completed
  // messages first, then the others by ascending priority weight, the oldest first within a weight. Never
  // removes a claimed message.
  Evicted Evict(Time now);

  // Records that a client submitted the same event or key again as message `number`, so that older messages
  // of that identity are no longer redriven. Returns how many there were.
  int MarkResubmitted(std::uint64_t identity, std::uint64_t number);
  // Returns the identities of all messages that may be redriven or are being redriven.
  std::vector<std::uint64_t> Identities();
  // Returns the highest number among the messages of `node`, or 0 if there are none.
  std::uint64_t HighestNumber(const std::string& node);
  // Returns the size of the used pages of the file.
  std::size_t UsedBytes();

  // --- Redriving (redrive_queries.cpp) ---

  // Returns the generation number of the rules, which is stored and grows by one whenever their hash differs
  // from the previous call, also across restarts.
  std::int64_t Generation(std::uint64_t rules_hash);

  struct DueQuery {
    const RuleSet& rules;
    const ReviewSettings& settings;
    // Generation of the rules. Messages that were not reviewed with these rules yet are due immediately.
    std::int64_t generation;
    Timestamp now;
    std::vector<int> excluded_destinations = {};  // destinations that can't receive a message now
    int limit = 0;                                // maximum number of candidates
  };
  struct Candidate {
    DeadLetter dead_letter;  // without its body
    std::string rule;
    RedriveAction redrive;
    Time deadline{0};
  };
  struct Candidates {
    std::vector<Candidate> list = {};
    std::optional<Time> next_review = {};  // when the next message is due
    bool has_more = false;                 // more messages are already due
    int held = 0, dropped = 0;             // number of messages that this call held and dropped
  };
  // Reviews messages that are due, and returns those that may be redriven now. Stores the result of the
  // review with the others; `pacer` provides the time of the next review for the messages of blocked rules.
  Candidates Due(const DueQuery& query, RulePacer& pacer);

  // Marks a message as claimed, which means that one redrive of it is in flight. Returns the message with its
  // body, or nothing if it can no longer be claimed.
  std::optional<DeadLetter> Claim(const DeadLetterId& id, const std::string& rule);
  // Releases the claim of a message that was not sent. It may be claimed again from `not_before` on.
  void Unclaim(const DeadLetterId& id, Time not_before);
  // Releases the claims of the messages that are not in flight, and returns how many there were. With
  // `journal_lost`, marks these messages as possibly run, at an unknown time.
  int Reconcile(const std::set<DeadLetterId>& in_flight, bool journal_lost, Time now);

  // --- For operators (operator_queries.cpp) ---

  struct Page {
    std::vector<DeadLetter> messages;
    std::optional<DeadLetterId> next;  // id of the page's last message, if more messages follow
  };
  // Returns the messages that match, without bodies, in the order of storing, starting after the message
  // `after`.
  Page List(const Condition& filter, Time now, const std::optional<DeadLetterId>& after, int limit);
  // Returns a message, or nothing if there is none with that id.
  std::optional<DeadLetter> Show(const DeadLetterId& id, bool with_body);
  // Calls `visit` for all messages that match, in the order of storing, until `visit` returns false.
  void ForEach(const Condition& filter, Time now, bool with_body,
               const std::function<bool(const DeadLetter&)>& visit);
  // Counts the messages that match.
  std::int64_t Count(const Condition& filter, Time now);
  // Counts the messages by the value of `column`, which is reason, class, destination, state or end. The
  // result is ordered by name.
  std::vector<NamedCount> CountBy(const std::string& column);

  struct OperatorAction {
    RuleAction::Kind kind = RuleAction::Kind::kHold;
    Condition filter;
    std::int64_t cursor = 0;  // where the previous call stopped; 0 starts with the first message
    int limit = 0;            // maximum number of messages in this call
    bool only_count = false;  // counts the messages without changing them
  };
  struct OperatorActionResult {
    std::int64_t changed = 0;
    std::int64_t forbidden = 0;                        // rejected by the redrive policy
    std::vector<NamedCount> forbidden_by_reason = {};  // in the order of the names
    std::optional<std::int64_t> next_cursor = {};      // set if the limit was reached, so there may be more
  };
  // Applies the action to stored and held messages, in the order of storing. A requested redrive takes
  // precedence over the rules, but only happens if the redrive policy allows it.
  OperatorActionResult ApplyOperatorAction(const OperatorAction& action, const ReviewSettings& settings,
                                           const Timestamp& now);

 private:
  struct OrderedRow {
    std::int64_t sequence = 0;
    DeadLetter dead_letter;
  };

  bool Insert(const Entry& entry);
  void InsertOnce(const Entry& entry);
  void UpdateAfterRedrive(const Entry& entry);
  bool IsStoredAsSame(const DeadLetter& dead_letter);
  bool Exists(const DeadLetterId& id);
  std::int64_t ReadPragma(const std::string& name);

  Candidates CollectDue(const DueQuery& query, RulePacer& pacer);
  std::vector<OrderedRow> ReadDueRows(const DueQuery& query, const std::string& destinations);
  void ApplyReview(const DueQuery& query, OrderedRow row, RulePacer& pacer, Candidates& due);
  void MarkReviewed(const OrderedRow& row, const Review& review, std::int64_t generation,
                    DeadLetterState state);
  std::vector<DeadLetterId> ClaimedIds();

  std::optional<DeadLetter> ReadById(const DeadLetterId& id, bool with_body);
  std::int64_t SequenceOf(const DeadLetterId& id);
  std::vector<std::int64_t> FindSequences(const SqlCondition& where, const char* index, std::int64_t after,
                                          std::int64_t until, std::size_t limit);
  std::vector<std::int64_t> FindPage(const Condition& filter, Time now, std::int64_t after,
                                     std::size_t limit);
  OperatorActionResult RunOperatorAction(const OperatorAction& action, const ReviewSettings& settings,
                                         const Timestamp& now);
  std::vector<OrderedRow> ReadOpenRows(const OperatorAction& action, Time now);
  void MarkByOperator(std::int64_t sequence, RuleAction::Kind action);

  const Settings settings_;
  SqliteConnection connection_;
  std::uint64_t inode_ = 0;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_DATABASE_H_
