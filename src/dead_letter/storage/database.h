// The dead-letter store: one SQLite file in WAL mode. Used by one thread at a time; other processes and
// connections may read meanwhile. Every operation throws StoreError. The implementation has a unit for each
// group of operations: database.cpp (opening, storing, eviction), redrive_queries.cpp and
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
    std::int64_t rows_before_index = 50'000;  // that a page looks through before it asks the index
  };

  // Opens the file, or makes it with mode 0600, and brings an older schema up to date.
  explicit Database(Settings settings);
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  // Whether the path still names the file that is open.
  bool IsFileInPlace() const;

  // --- Storing and evicting (database.cpp) ---

  struct Entry {  // a message that ended
    DeadLetter dead_letter;
    bool redriven = false;  // the result of a redrive: the message is in the store already
    Time not_before{0};     // no further redrive before
    std::optional<std::uint64_t> identity = {};
  };
  // All in one transaction. Storing an entry twice changes nothing.
  void Store(const std::vector<Entry>& entries);

  struct Evicted {
    std::int64_t for_space = 0;
    std::int64_t for_age = 0;
    std::vector<NamedCount> by_class = {};  // in the order of the names
    std::int64_t total() const { return for_space + for_age; }
  };
  // Removes what is over its age, then, down to the budget, completed messages, and then those of the lowest
  // priority weight, oldest first. Never one that is claimed.
  Evicted Evict(Time now);

  // The client submitted the same event or key again as message `number`: older messages are not redriven any
  // more. Returns how many there were.
  int MarkResubmitted(std::uint64_t identity, std::uint64_t number);
  // Of all messages that may be redriven, or are.
  std::vector<std::uint64_t> Identities();
  // Of the messages that `node` stored; 0 if there are none.
  std::uint64_t HighestNumber(const std::string& node);
  std::size_t UsedBytes();

  // --- Redriving (redrive_queries.cpp) ---

  // Grows by one whenever the rules differ from the last ones, also over restarts.
  std::int64_t Generation(std::uint64_t rules_hash);

  struct DueQuery {
    const RuleSet& rules;
    const ReviewSettings& settings;
    std::int64_t generation;  // of the rules; messages that these have not reviewed yet are due at once
    Timestamp now;
    std::vector<int> excluded_destinations = {};  // that can't take any message now
    int limit = 0;                                // of candidates
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
    bool has_more = false;                 // others are due already
    int held = 0, dropped = 0;             // messages that were marked so
  };
  // Reviews messages that are due, and returns those that may be redriven now. The others are marked with the
  // result of their review; `pacer` gives the messages of blocked rules the times of their next one.
  Candidates Due(const DueQuery& query, RulePacer& pacer);

  // Marks a message as claimed: from then on one redrive of it is in flight. Returns it with its body;
  // nothing if it can't be claimed any more.
  std::optional<DeadLetter> Claim(const DeadLetterId& id, const std::string& rule);
  // The claimed message was not sent. It may be claimed again at `not_before`.
  void Unclaim(const DeadLetterId& id, Time not_before);
  // After a start: gives up the claims of messages that are not in flight, and returns how many there were.
  // With `journal_lost` they may have run, at a time unknown.
  int Reconcile(const std::set<DeadLetterId>& in_flight, bool journal_lost, Time now);

  // --- For operators (operator_queries.cpp) ---

  struct Page {
    std::vector<DeadLetter> messages;
    std::optional<DeadLetterId> next;  // of the last message, if there are more behind it
  };
  // Without bodies, oldest first, from behind `after` on.
  Page List(const Condition& filter, Time now, const std::optional<DeadLetterId>& after, int limit);
  std::optional<DeadLetter> Show(const DeadLetterId& id, bool with_body);
  // All that match, oldest first; `visit` returns false to stop.
  void ForEach(const Condition& filter, Time now, bool with_body,
               const std::function<bool(const DeadLetter&)>& visit);
  std::int64_t Count(const Condition& filter, Time now);
  // `column`: reason, class, destination, state or end. In the order of the names.
  std::vector<NamedCount> CountBy(const std::string& column);

  struct OperatorAction {
    RuleAction::Kind kind = RuleAction::Kind::kHold;
    Condition filter;
    std::int64_t cursor = 0;  // where the last call ended; 0: from the start
    int limit = 0;            // of messages in this call
    bool only_count = false;  // changes nothing
  };
  struct OperatorActionResult {
    std::int64_t changed = 0;
    std::int64_t forbidden = 0;                        // by the redrive policy
    std::vector<NamedCount> forbidden_by_reason = {};  // in the order of the names
    std::optional<std::int64_t> next_cursor = {};      // if there are more
  };
  // Applies to stored and held messages, oldest first. A redrive is the next thing that happens to its
  // message, whatever the rules say; the redrive policy still decides.
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
