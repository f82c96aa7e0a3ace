#include "dead_letter/storage/database.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dead_letter/storage/schema.h"

namespace sagetally::dead_letter {
namespace {

using Json = nlohmann::json;

constexpr const char* kColumns =
    "node, number, state, id, key, class, destination, form, attributes, body_size, taken_at, deadline, "
    "ended_at, end, reason, attempts, history, may_have_run, may_steady, may_boot, may_at, resends, worth, "
    "not_before, by_hand, rule, ground, life, seq";
constexpr int kSeq = 28, kBody = 29;  // of the columns when read

StoreError::Kind KindOf(int code) {
  if (code == SQLITE_IOERR_SHORT_READ) return StoreError::Kind::kDamaged;  // the file was cut
  switch (code & 0xff) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreError::Kind::kBusy;
    case SQLITE_FULL:
      return StoreError::Kind::kFull;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return StoreError::Kind::kDamaged;
    default:
      return StoreError::Kind::kOther;
  }
}

std::uint64_t InodeOf(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? status.st_ino : 0;
}

constexpr std::int64_t kNever = std::int64_t{1} << 61;
constexpr std::int64_t kHeldByHand = std::int64_t{1} << 61;  // in place of a generation

// Why a message waits or is held, in one word.
std::string GroundOf(const DeadLetter& k, const Review& review) {
  if (review.decision.decision != RedriveDecision::kAllowed) return std::string(Name(review.decision.reason));
  if (review.kind != Review::Kind::kHold) return "";
  if (review.rule->then.kind == RuleAction::Kind::kHold) return "rule";
  return k.redrives >= review.rule->then.redrive.times ? "times_used_up" : "window_over";
}

int RankOf(DeadLetterState state) {
  return state == DeadLetterState::kStored || state == DeadLetterState::kHeld ||
         state == DeadLetterState::kClaimed;
}

}  // namespace

class Database::Statement {
 public:
  Statement(sqlite3* db, const std::string& text) {
    if (sqlite3_prepare_v2(db, text.c_str(), -1, &raw_, nullptr) != SQLITE_OK) {
      throw StoreError(KindOf(sqlite3_extended_errcode(db)), std::string("prepare: ") + sqlite3_errmsg(db));
    }
  }
  ~Statement() { sqlite3_finalize(raw_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Bind(std::int64_t value) { return Checked(sqlite3_bind_int64(raw_, ++bound_, value)); }
  Statement& Bind(std::uint64_t value) { return Bind(static_cast<std::int64_t>(value)); }
  Statement& Bind(int value) { return Bind(std::int64_t{value}); }
  Statement& Bind(Time value) { return Bind(std::int64_t{value.count()}); }
  Statement& Bind(double value) { return Checked(sqlite3_bind_double(raw_, ++bound_, value)); }
  Statement& Bind(const std::string& value) {
    return Checked(
        sqlite3_bind_text(raw_, ++bound_, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT));
  }
  Statement& Bind(const char* value) { return Bind(std::string(value)); }
  Statement& BindBlob(const std::string& value) {
    return Checked(
        sqlite3_bind_blob(raw_, ++bound_, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT));
  }
  Statement& BindNull() { return Checked(sqlite3_bind_null(raw_, ++bound_)); }
  Statement& Bind(const SqlCondition& condition) {
    for (const auto& value : condition.values) {
      std::visit([this](const auto& v) { Bind(v); }, value);
    }
    return *this;
  }
  // True while there is a row.
  bool Step() {
    const int code = sqlite3_step(raw_);
    if (code == SQLITE_ROW) return true;
    if (code == SQLITE_DONE) return false;
    const std::string what = sqlite3_errmsg(sqlite3_db_handle(raw_));
    Reset();
    throw StoreError(KindOf(code), "step: " + what);
  }
  void Reset() {
    sqlite3_reset(raw_);
    sqlite3_clear_bindings(raw_);
    bound_ = 0;
  }
  std::int64_t Number(int column) const { return sqlite3_column_int64(raw_, column); }
  double Real(int column) const { return sqlite3_column_double(raw_, column); }
  bool Null(int column) const { return sqlite3_column_type(raw_, column) == SQLITE_NULL; }
  std::string Text(int column) const {
    const auto* data = static_cast<const char*>(sqlite3_column_blob(raw_, column));
    return data == nullptr ? ""
                           : std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(raw_, column)));
  }

 private:
  Statement& Checked(int code) {
    if (code != SQLITE_OK) throw StoreError(KindOf(code), "bind");
    return *this;
  }
  sqlite3_stmt* raw_ = nullptr;
  int bound_ = 0;
};

namespace {

// Leaves a statement ready for its next use, also when an exception passes.
template <typename S>
class Using {
 public:
  explicit Using(S& statement) : statement_(statement) { statement_.Reset(); }
  ~Using() { statement_.Reset(); }
  S* operator->() { return &statement_; }
  S& operator*() { return statement_; }

 private:
  S& statement_;
};

}  // namespace

void Database::CloseDatabase::operator()(sqlite3* db) const { sqlite3_close_v2(db); }

void Database::Fail(const std::string& doing) const {
  const int code = db_ ? sqlite3_extended_errcode(db_.get()) : SQLITE_CANTOPEN;
  throw StoreError(KindOf(code), doing + ": " + (db_ ? sqlite3_errmsg(db_.get()) : "can't open"));
}

void Database::Run(const char* text) {
  if (sqlite3_exec(db_.get(), text, nullptr, nullptr, nullptr) != SQLITE_OK) Fail("statement");
}

Database::Statement& Database::Prepare(const std::string& text) {
  auto& statement = statements_[text];
  if (!statement) statement = std::make_unique<Statement>(db_.get(), text);
  return *statement;
}

template <typename F>
auto Database::Transaction(F work) {
  Run("BEGIN IMMEDIATE");
  try {
    auto result = work();
    Run("COMMIT");
    return result;
  } catch (...) {
    sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

Database::Database(Settings settings) : settings_(std::move(settings)) {
  if (!settings_.read_only) {
    // Made here, so that nobody else may read it for a moment; SQLite gives its other files the same mode.
    const int fd = ::open(settings_.path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0) throw StoreError(StoreError::Kind::kOther, "can't open " + settings_.path);
    ::close(fd);
  }
  sqlite3* raw = nullptr;
  const int flags =
      (settings_.read_only ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE) | SQLITE_OPEN_NOMUTEX;
  const int opened = sqlite3_open_v2(settings_.path.c_str(), &raw, flags, nullptr);
  db_.reset(raw);
  if (opened != SQLITE_OK) Fail("open " + settings_.path);
  sqlite3_extended_result_codes(db_.get(), 1);
  sqlite3_busy_timeout(db_.get(), static_cast<int>(settings_.busy.count() / 1000));
  Migrate();
  inode_ = InodeOf(settings_.path);
}

Database::~Database() { statements_.clear(); }

void Database::Migrate() {
  Using version(Prepare("PRAGMA user_version"));
  version->Step();
  const auto at = static_cast<int>(version->Number(0));
  version->Reset();
  if (at > kVersion) {
    throw StoreError(StoreError::Kind::kNewer, settings_.path + " has version " + std::to_string(at) +
                                                   ", this program knows up to " + std::to_string(kVersion));
  }
  if (settings_.read_only) {
    if (at != kVersion) {
      throw StoreError(StoreError::Kind::kOther,
                       settings_.path + " has version " + std::to_string(at) + ": start the node once");
    }
    Run("PRAGMA query_only = 1; PRAGMA cache_size = -16000;");
    return;
  }
  if (at == 0) Run("PRAGMA auto_vacuum = INCREMENTAL");
  // What was committed outlasts the process without a sync; a power cut may cost the last commits, never the
  // file: the journal still owes those messages only if it outlasted it too.
  Run("PRAGMA journal_mode = WAL; PRAGMA synchronous = NORMAL; PRAGMA cache_size = -2000; "
      "PRAGMA wal_autocheckpoint = 500; PRAGMA journal_size_limit = 4000000;");
  for (int step = at; step < kVersion; ++step) {
    Transaction([&] {
      Run(kMigrations[static_cast<std::size_t>(step)]);
      Run(("PRAGMA user_version = " + std::to_string(step + 1)).c_str());
      return 0;
    });
  }
  // A page has 4 KiB. Evictions keep to the budget; this keeps a burst between two of them from passing it
  // far.
  Run(("PRAGMA max_page_count = " + std::to_string(settings_.budget_bytes / 4096 * 5 / 4 + 256)).c_str());
}

bool Database::StandsAtItsPath() const { return inode_ != 0 && InodeOf(settings_.path) == inode_; }

DeadLetter Database::Read(Statement& row, bool with_body) {
  DeadLetter k;
  k.id = {row.Text(0), static_cast<std::uint64_t>(row.Number(1))};
  k.state = static_cast<DeadLetterState>(std::clamp<std::int64_t>(row.Number(2), 0, kStates - 1));
  k.request.id = row.Text(3);
  k.request.idempotency_key = row.Text(4);
  k.class_name = row.Text(5);
  k.request.destination = static_cast<int>(row.Number(6));
  k.request.protocol = row.Number(7) == 1 ? IngressProtocol::kCloudEvents : IngressProtocol::kPlatform;
  const Json attributes = Json::parse(row.Text(8), nullptr, false);
  if (attributes.is_object()) {
    for (const auto& [name, value] : attributes.items()) {
      if (value.is_string()) k.request.attributes[name] = value.get<std::string>();
    }
  }
  k.body_size = static_cast<std::size_t>(row.Number(9));
  k.accepted_at = Time(row.Number(10));
  k.deadline = Time(row.Number(11));
  k.ended_at = Time(row.Number(12));
  k.final_status = static_cast<FinalStatus>(row.Number(13));
  k.failure_reason = static_cast<FailureReason>(row.Number(14));
  k.attempts = static_cast<int>(row.Number(15));
  k.history = HistoryFromJson(row.Text(16));
  if (!row.Null(17)) {
    k.first_uncertain_attempt =
        Timestamp{Time(row.Number(17)), Time(row.Number(18)), static_cast<std::uint64_t>(row.Number(19))};
  }
  k.first_uncertain_endpoint = row.Text(20);
  k.redrives = static_cast<int>(row.Number(21));
  k.priority_weight = row.Real(22);
  k.not_before = Time(row.Number(23));
  k.requested_by_operator = row.Number(24) != 0;
  k.rule = row.Text(25);
  k.decision_reason = row.Text(26);
  k.incarnation = static_cast<std::int32_t>(row.Number(27));
  if (with_body) k.request.body = row.Text(kBody);
  return k;
}

bool Database::Insert(const Entry& entry) {
  const DeadLetter& k = entry.dead_letter;
  Using row(Prepare(
      "INSERT OR IGNORE INTO kept (node, number, state, id, key, class, destination, form, attributes, "
      "body_size, "
      "taken_at, deadline, ended_at, end, reason, attempts, history, last_outcome, may_have_run, may_steady, "
      "may_boot, may_at, worth, not_before, body, identity, resends, life, rank) "
      "VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)"));
  row->Bind(k.id.node)
      .Bind(k.id.number)
      .Bind(static_cast<int>(k.state))
      .Bind(k.request.id)
      .Bind(k.request.idempotency_key);
  row->Bind(k.class_name).Bind(k.request.destination).Bind(static_cast<int>(k.request.protocol));
  row->Bind(Json(k.request.attributes).dump(-1, ' ', false, Json::error_handler_t::replace));
  row->Bind(static_cast<std::int64_t>(k.body_size)).Bind(k.accepted_at).Bind(k.deadline).Bind(k.ended_at);
  row->Bind(static_cast<int>(k.final_status)).Bind(static_cast<int>(k.failure_reason)).Bind(k.attempts);
  row->Bind(HistoryToJson(k.history)).Bind(static_cast<int>(k.LastOutcome()));
  if (k.first_uncertain_attempt) {
    row->Bind(k.first_uncertain_attempt->wall_time);
  } else {
    row->BindNull();
  }
  const Timestamp may = k.first_uncertain_attempt.value_or(Timestamp());
  row->Bind(may.steady_time)
      .Bind(may.boot_id)
      .Bind(k.first_uncertain_endpoint)
      .Bind(k.priority_weight)
      .Bind(entry.not_before);
  row->BindBlob(k.request.body);
  if (entry.identity != 0) {
    row->Bind(entry.identity);
  } else {
    row->BindNull();
  }
  row->Bind(k.redrives).Bind(k.incarnation).Bind(RankOf(k.state)).Step();
  return sqlite3_changes(db_.get()) > 0;
}

void Database::InsertOnce(Entry entry) {
  if (Insert(entry)) return;
  // Taken in before, or a number given out twice: the clock was set back while the journal was empty.
  {
    Using row(Prepare("SELECT taken_at, ended_at FROM kept WHERE node = ? AND number = ?"));
    row->Bind(entry.dead_letter.id.node).Bind(entry.dead_letter.id.number);
    if (row->Step() && Time(row->Number(0)) == entry.dead_letter.accepted_at &&
        Time(row->Number(1)) == entry.dead_letter.ended_at) {
      return;
    }
  }
  entry.dead_letter.id.number = HighestNumber(entry.dead_letter.id.node) + 1;
  Insert(entry);
}

// A life ended: its attempts are appended. The count of lives tells a result that was taken in before.
void Database::Update(const Entry& entry) {
  const DeadLetter& k = entry.dead_letter;
  DeadLetterState state = DeadLetterState::kStored;
  if (k.final_status == FinalStatus::kDelivered) state = DeadLetterState::kDelivered;
  if (k.final_status == FinalStatus::kExpired) state = DeadLetterState::kDropped;
  Using row(
      Prepare("UPDATE kept SET state = ?, rank = ?, reason = ?, attempts = ?, history = ?, last_outcome = ?, "
              "may_have_run = COALESCE(may_have_run, ?), may_steady = CASE WHEN may_have_run IS NULL THEN ? "
              "ELSE may_steady "
              "END, may_boot = CASE WHEN may_have_run IS NULL THEN ? ELSE may_boot END, may_at = CASE WHEN "
              "may_have_run IS "
              "NULL THEN ? ELSE may_at END, resends = resends + 1, life = life + 1, next_at = ?, not_before "
              "= ?, by_hand = 0 "
              "WHERE node = ? AND number = ? AND life = ?"));
  row->Bind(static_cast<int>(state)).Bind(RankOf(state));
  row->Bind(static_cast<int>(k.failure_reason)).Bind(k.attempts);
  row->Bind(HistoryToJson(k.history)).Bind(static_cast<int>(k.LastOutcome()));
  if (k.first_uncertain_attempt) {
    row->Bind(k.first_uncertain_attempt->wall_time);
  } else {
    row->BindNull();
  }
  const Timestamp may = k.first_uncertain_attempt.value_or(Timestamp());
  row->Bind(may.steady_time)
      .Bind(may.boot_id)
      .Bind(k.first_uncertain_endpoint)
      .Bind(entry.not_before)
      .Bind(entry.not_before);
  row->Bind(k.id.node).Bind(k.id.number).Bind(k.incarnation);
  row->Step();
  if (sqlite3_changes(db_.get()) > 0 || state != DeadLetterState::kStored) return;
  // The file that held it was lost meanwhile: what is known is kept anew.
  Using known(Prepare("SELECT 1 FROM kept WHERE node = ? AND number = ?"));
  known->Bind(k.id.node).Bind(k.id.number);
  if (known->Step()) return;
  Entry anew = entry;
  anew.dead_letter.redrives = anew.dead_letter.incarnation = k.incarnation + 1;
  Insert(anew);
}

void Database::Store(const std::vector<Entry>& entries) {
  Transaction([&] {
    for (const Entry& entry : entries) {
      if (entry.redriven) {
        Update(entry);
      } else {
        InsertOnce(entry);
      }
    }
    return 0;
  });
}

std::size_t Database::UsedBytes() {
  const auto pragma = [&](const char* name) {
    Using row(Prepare(std::string("PRAGMA ") + name));
    row->Step();
    return row->Number(0);
  };
  return static_cast<std::size_t>((pragma("page_count") - pragma("freelist_count")) * pragma("page_size"));
}

Database::Evicted Database::Evict(Time now) {
  constexpr int kChunk = 20;
  Evicted evicted;
  const auto remove = [&](const std::string& which, const auto& bind, int& counter) {
    return Transaction([&] {
      std::vector<std::int64_t> gone;
      {
        Using rows(Prepare("SELECT seq, class FROM kept " + which + " LIMIT ?"));
        bind(*rows);
        rows->Bind(kChunk);
        while (rows->Step()) {
          gone.push_back(rows->Number(0));
          ++evicted.by_class[rows->Text(1)];
        }
      }
      for (const std::int64_t seq : gone) {
        Using row(Prepare("DELETE FROM kept WHERE seq = ?"));
        row->Bind(seq).Step();
      }
      counter += static_cast<int>(gone.size());
      return !gone.empty();
    });
  };
  while (remove(
      "WHERE ended_at < ? AND state <> 2", [&](Statement& s) { s.Bind(now - settings_.max_age); },
      evicted.by_age)) {
  }
  while (UsedBytes() > settings_.budget_bytes &&
         remove(
             "WHERE state <> 2 ORDER BY rank, worth, ended_at", [](Statement&) {}, evicted.messages)) {
  }
  if (evicted.messages + evicted.by_age > 0) Run("PRAGMA incremental_vacuum(2000)");
  return evicted;
}

// One candidate, or a row marked with what rules and judge say of it.
void Database::Decide(DeadLetter k, std::int64_t seq, const RuleSet& rules, const ReviewSettings& settings,
                      std::int64_t generation, const Timestamp& now, std::map<std::string, Pace>& paces,
                      Candidates& due) {
  Review review = ReviewOf(k, rules, settings, now);
  const auto pace = review.kind == Review::Kind::kRedrive ? paces.find(review.rule->name) : paces.end();
  if (pace != paces.end() && pace->second.bound_until > now.wall_time) {
    Time& spread = pace->second.spread;
    spread = std::max(spread, pace->second.bound_until);
    review.next_review = spread;
    spread += Duration(static_cast<std::int64_t>(1e6 / review.rule->then.redrive.rate));
  } else if (review.kind == Review::Kind::kRedrive) {
    due.list.push_back({std::move(k), review.rule->name, review.rule->then.redrive, review.deadline});
    return;
  }
  DeadLetterState state = DeadLetterState::kStored;
  if (review.kind == Review::Kind::kHold) state = DeadLetterState::kHeld, ++due.held;
  if (review.kind == Review::Kind::kDrop) state = DeadLetterState::kDropped, ++due.dropped;
  Using mark(Prepare(
      "UPDATE kept SET state = ?, rank = ?, seen = ?, next_at = ?, rule = ?, ground = ? WHERE seq = ?"));
  mark->Bind(static_cast<int>(state)).Bind(RankOf(state)).Bind(generation);
  mark->Bind(review.next_review ? review.next_review->count() : kNever);
  mark->Bind(review.rule == nullptr ? std::string() : review.rule->name);
  mark->Bind(GroundOf(k, review));
  mark->Bind(seq).Step();
}

Database::Candidates Database::Due(const RuleSet& rules, const ReviewSettings& settings,
                                   std::int64_t generation, const Timestamp& now,
                                   const std::vector<int>& without, int most,
                                   std::map<std::string, Pace>& paces) {
  constexpr int kChunk = 128, kMostChunks = 16;  // in one call, so that other work gets its turn
  Candidates due;
  return Transaction([&] {
    std::string others;
    for (const int destination : without) others += (others.empty() ? "" : ",") + std::to_string(destination);
    if (!others.empty()) others = " AND destination NOT IN (" + others + ")";
    due.more = true;
    for (int chunk = 0; chunk < kMostChunks && due.more && due.list.empty(); ++chunk) {
      std::vector<std::pair<DeadLetter, std::int64_t>> rows;
      // Not through the cache of statements: the list of destinations differs each time.
      for (const bool unseen : {true, false}) {
        Statement row(db_.get(), std::string("SELECT ") + kColumns + " FROM kept WHERE " +
                                     (unseen ? "state IN (0, 1) AND seen < ?"
                                             : "state = 0 AND seen = ? AND next_at <= ?") +
                                     others + " LIMIT ?");
        row.Bind(generation);
        if (!unseen) row.Bind(now.wall_time);
        row.Bind(kChunk);
        while (row.Step()) rows.emplace_back(Read(row, false), row.Number(kSeq));
      }
      due.more = rows.size() >= kChunk;
      for (auto& [k, seq] : rows) {
        if (static_cast<int>(due.list.size()) < most)
          Decide(std::move(k), seq, rules, settings, generation, now, paces, due);
      }
    }
    Statement next(db_.get(), "SELECT MIN(next_at) FROM kept WHERE state = 0 AND seen = ?" + others);
    next.Bind(generation);
    if (next.Step() && !next.Null(0)) due.next = Time(next.Number(0));
    return std::exchange(due, {});
  });
}

std::optional<DeadLetter> Database::Claim(const DeadLetterId& id, const std::string& rule) {
  return Transaction([&]() -> std::optional<DeadLetter> {
    {
      Using claim(
          Prepare("UPDATE kept SET state = 2, rule = ?, ground = '' WHERE node = ? AND number = ? "
                  "AND state IN (0, 1) AND seen < 2305843009213693952"));
      claim->Bind(rule).Bind(id.node).Bind(id.number).Step();
    }
    if (sqlite3_changes(db_.get()) == 0) return std::nullopt;
    Using row(Prepare(std::string("SELECT ") + kColumns + ", body FROM kept WHERE node = ? AND number = ?"));
    row->Bind(id.node).Bind(id.number);
    if (!row->Step()) return std::nullopt;
    return Read(*row, true);
  });
}

void Database::Unclaim(const DeadLetterId& id, Time not_before) {
  Using row(
      Prepare("UPDATE kept SET state = 0, next_at = ?, not_before = ? WHERE node = ? AND number = ? "
              "AND state = 2"));
  row->Bind(not_before).Bind(not_before).Bind(id.node).Bind(id.number).Step();
}

int Database::Reconcile(const std::set<DeadLetterId>& under_way, bool lost, Time now) {
  return Transaction([&] {
    std::vector<DeadLetterId> stray;
    {
      Using rows(Prepare("SELECT node, number FROM kept WHERE state = 2"));
      while (rows->Step()) {
        DeadLetterId id{rows->Text(0), static_cast<std::uint64_t>(rows->Number(1))};
        if (!under_way.contains(id)) stray.push_back(std::move(id));
      }
    }
    for (const DeadLetterId& id : stray) {
      if (lost) {
        // With the journal gone nobody knows what became of the claim: it may have run, at a time unknown.
        Using row(
            Prepare("UPDATE kept SET may_have_run = COALESCE(may_have_run, ?), may_boot = 0 "
                    "WHERE node = ? AND number = ?"));
        row->Bind(now).Bind(id.node).Bind(id.number).Step();
      }
      Unclaim(id, Time(0));
    }
    return static_cast<int>(stray.size());
  });
}

std::int64_t Database::Generation(std::uint64_t rules_hash) {
  return Transaction([&] {
    std::int64_t generation = 0, hash = 0;
    {
      Using row(Prepare("SELECT generation, hash FROM rules"));
      if (row->Step()) generation = row->Number(0), hash = row->Number(1);
    }
    if (generation > 0 && static_cast<std::uint64_t>(hash) == rules_hash) return generation;
    ++generation;
    Using row(Prepare("INSERT OR REPLACE INTO rules (only, hash, generation) VALUES (1, ?, ?)"));
    row->Bind(rules_hash).Bind(generation).Step();
    return generation;
  });
}

int Database::MarkResubmitted(std::uint64_t identity, std::uint64_t number) {
  Using row(
      Prepare("UPDATE kept SET state = 5, rank = 0 WHERE identity = ? AND number < ? "
              "AND state IN (0, 1)"));
  row->Bind(identity).Bind(number).Step();
  return sqlite3_changes(db_.get());
}

std::vector<std::uint64_t> Database::Identities() {
  std::vector<std::uint64_t> all;
  Using rows(Prepare("SELECT identity FROM kept WHERE identity IS NOT NULL AND state IN (0, 1, 2)"));
  while (rows->Step()) all.push_back(static_cast<std::uint64_t>(rows->Number(0)));
  return all;
}

std::uint64_t Database::HighestNumber(const std::string& node) {
  Using row(Prepare("SELECT MAX(number) FROM kept WHERE node = ?"));
  row->Bind(node);
  return row->Step() ? static_cast<std::uint64_t>(row->Number(0)) : 0;
}

std::vector<std::int64_t> Database::Find(const SqlCondition& where, const char* index, std::int64_t from,
                                         std::int64_t to, std::size_t most) {
  Statement rows(db_.get(), std::string("SELECT seq FROM kept ") + index + " WHERE (" + where.text +
                                ") AND seq > ? AND seq <= ? ORDER BY seq LIMIT ?");
  rows.Bind(where).Bind(from).Bind(to).Bind(static_cast<std::int64_t>(most));
  std::vector<std::int64_t> found;
  while (rows.Step()) found.push_back(rows.Number(0));
  return found;
}

Database::Page Database::List(const Condition& filter, Time now, const std::optional<DeadLetterId>& after,
                              int limit) {
  std::int64_t from = 0;
  if (after) {
    Using row(Prepare("SELECT seq FROM kept WHERE node = ? AND number = ?"));
    row->Bind(after->node).Bind(after->number);
    if (row->Step()) from = row->Number(0);
  }
  // Filters that match often fill a page from the first rows; those that seldom do are found by the index,
  // which is a tenth of the rows' size.
  const SqlCondition where = ToSql(filter, now);
  const auto wanted = static_cast<std::size_t>(limit) + 1;
  std::vector<std::int64_t> found;
  if (InFilterIndex(filter)) {
    const std::int64_t middle = from + settings_.scan_first;
    found = Find(where, "NOT INDEXED", from, middle, wanted);
    if (found.size() < wanted) {
      for (const std::int64_t seq :
           Find(where, "INDEXED BY kept_filter", middle, INT64_MAX, wanted - found.size())) {
        found.push_back(seq);
      }
    }
  } else {
    found = Find(where, "", from, INT64_MAX, wanted);
  }
  Page page;
  for (const std::int64_t seq : found) {
    if (static_cast<int>(page.messages.size()) == limit) {
      page.next = page.messages.back().id;
      break;
    }
    Using row(Prepare(std::string("SELECT ") + kColumns + " FROM kept WHERE seq = ?"));
    row->Bind(seq);
    if (row->Step()) page.messages.push_back(Read(*row, false));
  }
  return page;
}

std::optional<DeadLetter> Database::Show(const DeadLetterId& id, bool with_body) {
  Using row(Prepare(std::string("SELECT ") + kColumns + ", body FROM kept WHERE node = ? AND number = ?"));
  row->Bind(id.node).Bind(id.number);
  if (!row->Step()) return std::nullopt;
  return Read(*row, with_body);
}

void Database::ForEach(const Condition& filter, Time now, bool with_body,
                       const std::function<bool(const DeadLetter&)>& each) {
  const SqlCondition where = ToSql(filter, now);
  Statement rows(db_.get(), std::string("SELECT ") + kColumns + (with_body ? ", body" : "") +
                                " FROM kept WHERE " + where.text + " ORDER BY seq");
  rows.Bind(where);
  while (rows.Step() && each(Read(rows, with_body))) {
  }
}

std::int64_t Database::Count(const Condition& filter, Time now) {
  const SqlCondition where = ToSql(filter, now);
  Statement row(db_.get(), "SELECT COUNT(*) FROM kept WHERE " + where.text);
  row.Bind(where);
  return row.Step() ? row.Number(0) : 0;
}

std::map<std::string, std::int64_t> Database::CountBy(const std::string& column) {
  std::map<std::string, std::int64_t> counts;
  if (column != "reason" && column != "class" && column != "destination" && column != "state" &&
      column != "end") {
    throw StoreError(StoreError::Kind::kOther, "can't count by " + column);
  }
  Statement rows(db_.get(), "SELECT " + column + ", COUNT(*) FROM kept GROUP BY " + column);
  while (rows.Step()) {
    std::string name = rows.Text(0);
    const std::int64_t n = rows.Number(0);
    if (column == "reason") name = Name(static_cast<FailureReason>(n));
    if (column == "state") name = Name(static_cast<DeadLetterState>(n));
    if (column == "end") name = Name(static_cast<FinalStatus>(n));
    if (column == "destination") name = std::to_string(n);
    counts[name] += rows.Number(1);
  }
  return counts;
}

Database::Acted Database::ApplyOperatorAction(RuleAction::Kind action, const Condition& filter,
                                              const ReviewSettings& settings, const Timestamp& now,
                                              std::int64_t after, int most, bool only_count) {
  const auto work = [&] {
    Acted acted;
    const SqlCondition where = ToSql(filter, now.wall_time);
    std::vector<std::pair<std::int64_t, DeadLetter>> rows;
    {
      Statement row(db_.get(), std::string("SELECT ") + kColumns + " FROM kept WHERE (" + where.text +
                                   ") AND seq > ? AND state IN (0, 1) ORDER BY seq LIMIT ?");
      row.Bind(where).Bind(after).Bind(most);
      while (row.Step()) rows.emplace_back(row.Number(kSeq), Read(row, false));
    }
    if (static_cast<int>(rows.size()) == most) acted.after = rows.back().first;
    for (const auto& [seq, k] : rows) {
      if (action == RuleAction::Kind::kRedrive) {
        const RedriveDecisionResult judgement =
            DecideRedrive(k, settings.Class(k.class_name), settings.policy, now);
        if (judgement.decision != RedriveDecision::kAllowed) {
          ++acted.forbidden;
          ++acted.grounds[std::string(Name(judgement.reason))];
          continue;
        }
      }
      ++acted.changed;
      if (only_count) continue;
      const DeadLetterState state = action == RuleAction::Kind::kDrop   ? DeadLetterState::kDropped
                                    : action == RuleAction::Kind::kHold ? DeadLetterState::kHeld
                                                                        : DeadLetterState::kStored;
      Using mark(
          Prepare("UPDATE kept SET state = ?, rank = ?, by_hand = ?, next_at = 0, not_before = 0, seen = ?, "
                  "rule = 'by-hand', "
                  "ground = '' WHERE seq = ?"));
      mark->Bind(static_cast<int>(state))
          .Bind(RankOf(state))
          .Bind(action == RuleAction::Kind::kRedrive ? 1 : 0);
      // What an operator holds, no rule looks at again.
      mark->Bind(action == RuleAction::Kind::kHold ? kHeldByHand : 0);
      mark->Bind(seq).Step();
    }
    return acted;
  };
  return only_count ? work() : Transaction(work);
}

}  // namespace sagetally::dead_letter
