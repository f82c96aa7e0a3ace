// The redrive loop's queries to the store: due messages, claims, and the reconciliation of claims after a
// restart.
#include <utility>

#include "dead_letter/storage/database.h"
#include "dead_letter/storage/row_codec.h"

namespace sagetally::dead_letter {
namespace {

constexpr int kRowsPerChunk = 128;
constexpr int kMaxChunks = 16;  // in one call, so that other jobs do not wait long

// Returns, for example, " AND destination NOT IN (3,7)", or an empty string if no destination is excluded.
std::string DestinationCondition(const std::vector<int>& excluded) {
  if (excluded.empty()) return "";
  std::string list;
  for (const int destination : excluded) {
    if (!list.empty()) list += ",";
    list += std::to_string(destination);
  }
  return " AND destination NOT IN (" + list + ")";
}

}  // namespace

std::int64_t Database::Generation(std::uint64_t rules_hash) {
  SqliteTransaction transaction(connection_);
  std::int64_t generation = 0;
  std::uint64_t stored_hash = 0;
  {
    CachedStatement row = connection_.Prepare("SELECT generation, hash FROM rules");
    if (row->Step()) {
      generation = row->Integer(0);
      stored_hash = row->Unsigned(1);
    }
  }
  if (generation == 0 || stored_hash != rules_hash) {
    ++generation;
    connection_.Prepare("INSERT OR REPLACE INTO rules (only, hash, generation) VALUES (1, ?, ?)")
        ->Bind(rules_hash)
        .Bind(generation)
        .Step();
  }
  transaction.Commit();
  return generation;
}

// Does not use the statement cache, because the list of destinations differs from call to call.
std::vector<Database::OrderedRow> Database::ReadDueRows(const DueQuery& query,
                                                        const std::string& destinations) {
  std::vector<OrderedRow> rows;
  const auto read = [&](SqliteStatement& statement) {
    while (statement.Step()) rows.push_back({ReadSequence(statement), ReadRow(statement, false)});
  };
  SqliteStatement unreviewed = connection_.PrepareUncached(SelectRows(false) + "WHERE " + kOpenState +
                                                           " AND seen < ?" + destinations + " LIMIT ?");
  read(unreviewed.Bind(query.generation).Bind(kRowsPerChunk));
  SqliteStatement due = connection_.PrepareUncached(
      SelectRows(false) + "WHERE state = 0 AND seen = ? AND next_at <= ?" + destinations + " LIMIT ?");
  read(due.Bind(query.generation).Bind(query.now.wall_time).Bind(kRowsPerChunk));
  return rows;
}

void Database::MarkReviewed(const OrderedRow& row, const Review& review, std::int64_t generation,
                            DeadLetterState state) {
  CachedStatement update = connection_.Prepare(
      "UPDATE kept SET state = ?, rank = ?, seen = ?, next_at = ?, rule = ?, ground = ? WHERE seq = ?");
  update->Bind(static_cast<int>(state)).Bind(EvictionRank(state)).Bind(generation);
  update->Bind(review.next_review ? review.next_review->count() : kNeverDue);
  update->Bind(review.rule == nullptr ? std::string() : review.rule->name);
  update->Bind(ReasonWord(review, row.dead_letter)).Bind(row.sequence).Step();
}

void Database::ApplyReview(const DueQuery& query, OrderedRow row, RulePacer& pacer, Candidates& due) {
  Review review = ReviewDeadLetter(row.dead_letter, query.rules, query.settings, query.now);
  if (review.kind == Review::Kind::kRedrive) {
    const Rule& rule = *review.rule;
    if (!pacer.IsBlocked(rule.name, query.now.wall_time)) {
      due.list.push_back({std::move(row.dead_letter), rule.name, rule.action.redrive, review.deadline});
      return;
    }
    review.next_review = pacer.TakeSlot(rule.name, rule.action.redrive.rate_per_second);
  }
  DeadLetterState state = DeadLetterState::kStored;
  if (review.kind == Review::Kind::kHold) {
    state = DeadLetterState::kHeld;
    ++due.held;
  } else if (review.kind == Review::Kind::kDrop) {
    state = DeadLetterState::kDropped;
    ++due.dropped;
  }
  MarkReviewed(row, review, query.generation, state);
}

Database::Candidates Database::CollectDue(const DueQuery& query, RulePacer& pacer) {
  const std::string destinations = DestinationCondition(query.excluded_destinations);
  Candidates due;
  due.has_more = true;
  for (int chunk = 0; chunk < kMaxChunks && due.has_more && due.list.empty(); ++chunk) {
    std::vector<OrderedRow> rows = ReadDueRows(query, destinations);
    due.has_more = rows.size() >= kRowsPerChunk;
    for (OrderedRow& row : rows) {
      if (static_cast<int>(due.list.size()) == query.limit) break;
      ApplyReview(query, std::move(row), pacer, due);
    }
  }
  SqliteStatement next = connection_.PrepareUncached(
      "SELECT MIN(next_at) FROM kept WHERE state = 0 AND seen = ?" + destinations);
  next.Bind(query.generation);
  if (next.Step() && !next.IsNull(0)) due.next_review = next.Microseconds(0);
  return due;
}

Database::Candidates Database::Due(const DueQuery& query, RulePacer& pacer) {
  SqliteTransaction transaction(connection_);
  Candidates due = CollectDue(query, pacer);
  transaction.Commit();
  return due;
}

std::optional<DeadLetter> Database::Claim(const DeadLetterId& id, const std::string& rule) {
  static const std::string kClaim = std::string("UPDATE kept SET state = 2, rule = ?, ground = '' ") +
                                    "WHERE node = ? AND number = ? AND " + kOpenState + " AND seen < " +
                                    std::to_string(kHeldByOperator);
  SqliteTransaction transaction(connection_);
  connection_.Prepare(kClaim)->Bind(rule).Bind(id.node).Bind(id.number).Step();
  std::optional<DeadLetter> claimed;
  if (connection_.changed_rows() > 0) claimed = ReadById(id, true);
  transaction.Commit();
  return claimed;
}

void Database::Unclaim(const DeadLetterId& id, Time not_before) {
  CachedStatement row = connection_.Prepare(
      std::string(
          "UPDATE kept SET state = 0, next_at = ?, not_before = ? WHERE node = ? AND number = ? AND ") +
      kClaimedState);
  row->Bind(not_before).Bind(not_before).Bind(id.node).Bind(id.number).Step();
}

std::vector<DeadLetterId> Database::ClaimedIds() {
  std::vector<DeadLetterId> ids;
  CachedStatement rows =
      connection_.Prepare(std::string("SELECT node, number FROM kept WHERE ") + kClaimedState);
  while (rows->Step()) ids.push_back({rows->Bytes(0), rows->Unsigned(1)});
  return ids;
}

int Database::Reconcile(const std::set<DeadLetterId>& in_flight, bool journal_lost, Time now) {
  SqliteTransaction transaction(connection_);
  int given_up = 0;
  for (const DeadLetterId& id : ClaimedIds()) {
    if (in_flight.contains(id)) continue;
    if (journal_lost) {
      connection_
          .Prepare(
              "UPDATE kept SET may_have_run = COALESCE(may_have_run, ?), may_boot = 0 "
              "WHERE node = ? AND number = ?")
          ->Bind(now)
          .Bind(id.node)
          .Bind(id.number)
          .Step();
    }
    Unclaim(id, Time(0));
    ++given_up;
  }
  transaction.Commit();
  return given_up;
}

}  // namespace sagetally::dead_letter
