// The store of kept messages: one SQLite file in WAL mode. Used by one thread at a time.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_DATABASE_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_DATABASE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "dead_letter/redrive_planner.h"

struct sqlite3;
struct sqlite3_stmt;

namespace sagetally::dead_letter {

struct StoreError : std::runtime_error {
  enum class Kind { kBusy, kFull, kDamaged, kNewer, kOther };
  StoreError(Kind kind, const std::string& what) : std::runtime_error(what), kind(kind) {}
  Kind kind;
};

class Database {
 public:
  static constexpr int kVersion = 2;  // of the schema

  struct Settings {
    std::string path;
    std::size_t budget_bytes = 64'000'000;
    Duration max_age = std::chrono::hours(720);
    Duration busy = std::chrono::milliseconds(200);  // longest wait for another process's lock
    bool read_only = false;
    std::int64_t scan_first = 50'000;  // rows that a page looks through before it asks the index
  };
  // Opens the file, brings an older schema up to date. Throws StoreError.
  explicit Database(Settings settings);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  // Whether its path still names the file that is open.
  bool StandsAtItsPath() const;

  struct Entry {  // one message's end, owed to the store
    DeadLetter dead_letter;
    bool redriven = false;  // it ended a life of a message that is kept already
    Time not_before{0};
    std::uint64_t identity = 0;  // 0: none
  };
  // All in one commit; an entry that is in already changes nothing.
  void Store(const std::vector<Entry>& entries);

  struct Evicted {
    int messages = 0, by_age = 0;
    std::map<std::string, int> by_class;
  };
  // Down to the budget, lowest worth and oldest first; ended resends before all others.
  Evicted Evict(Time now);

  struct Candidate {
    DeadLetter dead_letter;  // without its body
    std::string rule;
    RedriveAction redrive;
    Time deadline{0};
  };
  struct Candidates {
    std::vector<Candidate> list;
    std::optional<Time> next;  // when the next one is due
    bool more = false;         // others are due already
    int held = 0, dropped = 0;
  };
  // What rules and judge let be sent now. What they hold or drop is marked so. `generation`: of the rules;
  // messages that these have not seen are looked at whenever they were due.
  struct Pace {           // of a rule
    Time bound_until{0};  // it can't send before
    Time spread{0};       // where the next of its messages is put meanwhile, one after the other by its rate
  };
  // `without`: destinations that can take none now.
  Candidates Due(const RuleSet& rules, const ReviewSettings& settings, std::int64_t generation,
                 const Timestamp& now, const std::vector<int>& without, int most,
                 std::map<std::string, Pace>& paces);
  // Grows by one whenever the rules differ from the last ones, over restarts too.
  std::int64_t Generation(std::uint64_t rules_hash);
  // With its body; nothing if its state has changed. From then on one resend of it is under way.
  std::optional<DeadLetter> Claim(const DeadLetterId& id, const std::string& rule);
  void Unclaim(const DeadLetterId& id, Time not_before);
  // After a start: claimed messages that no resend carries are kept again. If `lost`, the journal is gone and
  // they may have run.
  int Reconcile(const std::set<DeadLetterId>& under_way, bool lost, Time now);
  // Its client handed the same event or key in anew: nothing is sent again.
  // `number`: of that later message.
  int MarkResubmitted(std::uint64_t identity, std::uint64_t number);
  std::vector<std::uint64_t> Identities();  // of all that may be sent again
  std::uint64_t HighestNumber(const std::string& node);

  struct Page {
    std::vector<DeadLetter> messages;
    std::optional<DeadLetterId> next;  // of the last one, if there are more
  };
  Page List(const Condition& filter, Time now, const std::optional<DeadLetterId>& after, int limit);
  std::optional<DeadLetter> Show(const DeadLetterId& id, bool with_body);
  // All that match, oldest first; `each` returns false to stop. `progress` hears how many rows are done.
  void ForEach(const Condition& filter, Time now, bool with_body,
               const std::function<bool(const DeadLetter&)>& each);
  std::int64_t Count(const Condition& filter, Time now);
  std::map<std::string, std::int64_t> CountBy(const std::string& column);
  std::size_t UsedBytes();
  // By an operator. kHold, kDrop, or kResend: sent next, whatever the rules say; the judge decides still.
  // At most `most` a call, oldest first behind `after`; returns how many changed and were forbidden.
  struct Acted {
    std::int64_t changed = 0, forbidden = 0;
    std::map<std::string, std::int64_t> grounds;
    std::optional<std::int64_t> after;  // where to go on
  };
  Acted ApplyOperatorAction(RuleAction::Kind action, const Condition& filter, const ReviewSettings& settings,
                            const Timestamp& now, std::int64_t after, int most, bool only_count);

 private:
  class Statement;
  struct CloseDatabase {
    void operator()(sqlite3* db) const;
  };
  Statement& Prepare(const std::string& text);
  void Run(const char* text);
  void Migrate();
  [[noreturn]] void Fail(const std::string& doing) const;
  template <typename F>
  auto Transaction(F work);
  std::vector<std::int64_t> Find(const SqlCondition& where, const char* index, std::int64_t from,
                                 std::int64_t to, std::size_t most);
  static DeadLetter Read(Statement& row, bool with_body);
  void Decide(DeadLetter kept, std::int64_t seq, const RuleSet& rules, const ReviewSettings& settings,
              std::int64_t generation, const Timestamp& now, std::map<std::string, Pace>& paces,
              Candidates& due);
  bool Insert(const Entry& entry);
  void InsertOnce(Entry entry);
  void Update(const Entry& entry);

  const Settings settings_;
  std::unique_ptr<sqlite3, CloseDatabase> db_;
  std::uint64_t inode_ = 0;
  std::map<std::string, std::unique_ptr<Statement>> statements_;
};

// Reads the schema's version without changing anything. Throws StoreError.
int VersionOf(const std::string& path);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_DATABASE_H_
