// Operators' queries to the store: pages, counts, and actions on the messages that match a filter.
#include <map>
#include <utility>

#include "dead_letter/storage/database.h"
#include "dead_letter/storage/row_codec.h"
#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

// Returns the name of a group in the result of CountBy.
std::string GroupName(const std::string& column, const SqliteStatement& row) {
  const std::int64_t number = row.Integer(0);
  if (column == "reason") return std::string(Name(static_cast<FailureReason>(number)));
  if (column == "state") return std::string(Name(static_cast<DeadLetterState>(number)));
  if (column == "end") return std::string(Name(static_cast<FinalStatus>(number)));
  if (column == "destination") return std::to_string(number);
  return row.Bytes(0);
}

bool IsCountable(const std::string& column) {
  return column == "reason" || column == "class" || column == "destination" || column == "state" ||
         column == "end";
}

std::vector<NamedCount> ToNamedCounts(const std::map<std::string, std::int64_t>& counts) {
  std::vector<NamedCount> list;
  list.reserve(counts.size());
  for (const auto& [name, count] : counts) list.push_back({name, count});
  return list;
}

DeadLetterState StateAfter(RuleAction::Kind action) {
  switch (action) {
    case RuleAction::Kind::kDrop:
      return DeadLetterState::kDropped;
    case RuleAction::Kind::kHold:
      return DeadLetterState::kHeld;
    case RuleAction::Kind::kRedrive:
      break;
  }
  return DeadLetterState::kStored;
}

}  // namespace

// Returns 0, which precedes all rows, if the message no longer exists.
std::int64_t Database::SequenceOf(const DeadLetterId& id) {
  CachedStatement row = connection_.Prepare("SELECT seq FROM kept WHERE node = ? AND number = ?");
  row->Bind(id.node).Bind(id.number);
  return row->Step() ? row->Integer(0) : 0;
}

// Finds rows after `after` up to and including `until`. `index` is an INDEXED BY or NOT INDEXED clause, or
// empty.
std::vector<std::int64_t> Database::FindSequences(const SqlCondition& where, const char* index,
                                                  std::int64_t after, std::int64_t until, std::size_t limit) {
  SqliteStatement rows =
      connection_.PrepareUncached(std::string("SELECT seq FROM kept ") + index + " WHERE (" + where.text +
                                  ") AND seq > ? AND seq <= ? ORDER BY seq LIMIT ?");
  rows.BindAll(where.parameters).Bind(after).Bind(until).Bind(std::uint64_t{limit});
  std::vector<std::int64_t> sequences;
  while (rows.Step()) sequences.push_back(rows.Integer(0));
  return sequences;
}

// A filter that matches many messages fills a page from the first `rows_before_index` rows. For a filter that
// matches few, the rest is searched through the index, which has a tenth of the rows' size.
std::vector<std::int64_t> Database::FindPage(const Condition& filter, Time now, std::int64_t after,
                                             std::size_t limit) {
  const SqlCondition where = ToSql(filter, now);
  if (!IsCoveredByFilterIndex(filter)) return FindSequences(where, "", after, INT64_MAX, limit);
  const std::int64_t middle = after + settings_.rows_before_index;
  std::vector<std::int64_t> found = FindSequences(where, "NOT INDEXED", after, middle, limit);
  if (found.size() == limit) return found;
  const std::vector<std::int64_t> by_index =
      FindSequences(where, "INDEXED BY kept_filter", middle, INT64_MAX, limit - found.size());
  found.insert(found.end(), by_index.begin(), by_index.end());
  return found;
}

Database::Page Database::List(const Condition& filter, Time now, const std::optional<DeadLetterId>& after,
                              int limit) {
  const std::int64_t start = after ? SequenceOf(*after) : 0;
  const auto page_size = static_cast<std::size_t>(limit);
  Page page;
  // One message more than fits the page is requested to see whether the page is the last one.
  for (const std::int64_t sequence : FindPage(filter, now, start, page_size + 1)) {
    if (page.messages.size() == page_size) {
      page.next = page.messages.back().id;
      break;
    }
    CachedStatement row = connection_.Prepare(SelectRows(false) + "WHERE seq = ?");
    row->Bind(sequence);
    if (row->Step()) page.messages.push_back(ReadRow(*row, false));
  }
  return page;
}

std::optional<DeadLetter> Database::Show(const DeadLetterId& id, bool with_body) {
  return ReadById(id, with_body);
}

void Database::ForEach(const Condition& filter, Time now, bool with_body,
                       const std::function<bool(const DeadLetter&)>& visit) {
  const SqlCondition where = ToSql(filter, now);
  SqliteStatement rows =
      connection_.PrepareUncached(SelectRows(with_body) + "WHERE " + where.text + " ORDER BY seq");
  rows.BindAll(where.parameters);
  bool should_continue = true;
  while (should_continue && rows.Step()) should_continue = visit(ReadRow(rows, with_body));
}

std::int64_t Database::Count(const Condition& filter, Time now) {
  const SqlCondition where = ToSql(filter, now);
  SqliteStatement row = connection_.PrepareUncached("SELECT COUNT(*) FROM kept WHERE " + where.text);
  row.BindAll(where.parameters);
  return row.Step() ? row.Integer(0) : 0;
}

std::vector<NamedCount> Database::CountBy(const std::string& column) {
  if (!IsCountable(column)) throw StoreError(StoreError::Kind::kOther, "can't count by " + column, "");
  SqliteStatement rows =
      connection_.PrepareUncached("SELECT " + column + ", COUNT(*) FROM kept GROUP BY " + column);
  std::map<std::string, std::int64_t> counts;
  while (rows.Step()) counts[GroupName(column, rows)] += rows.Integer(1);
  return ToNamedCounts(counts);
}

std::vector<Database::OrderedRow> Database::ReadOpenRows(const OperatorAction& action, Time now) {
  const SqlCondition where = ToSql(action.filter, now);
  SqliteStatement statement =
      connection_.PrepareUncached(SelectRows(false) + "WHERE (" + where.text + ") AND seq > ? AND " +
                                  kOpenState + " ORDER BY seq LIMIT ?");
  statement.BindAll(where.parameters).Bind(action.cursor).Bind(action.limit);
  std::vector<OrderedRow> rows;
  while (statement.Step()) rows.push_back({ReadSequence(statement), ReadRow(statement, false)});
  return rows;
}

void Database::MarkByOperator(std::int64_t sequence, RuleAction::Kind action) {
  const DeadLetterState state = StateAfter(action);
  CachedStatement update = connection_.Prepare(
      "UPDATE kept SET state = ?, rank = ?, by_hand = ?, next_at = 0, not_before = 0, seen = ?, "
      "rule = 'by-hand', ground = '' WHERE seq = ?");
  update->Bind(static_cast<int>(state)).Bind(EvictionRank(state));
  update->Bind(action == RuleAction::Kind::kRedrive ? 1 : 0);
  update->Bind(action == RuleAction::Kind::kHold ? kHeldByOperator : 0).Bind(sequence).Step();
}

Database::OperatorActionResult Database::RunOperatorAction(const OperatorAction& action,
                                                           const ReviewSettings& settings,
                                                           const Timestamp& now) {
  const std::vector<OrderedRow> rows = ReadOpenRows(action, now.wall_time);
  OperatorActionResult result;
  if (static_cast<int>(rows.size()) == action.limit) result.next_cursor = rows.back().sequence;
  std::map<std::string, std::int64_t> forbidden;
  for (const OrderedRow& row : rows) {
    if (action.kind == RuleAction::Kind::kRedrive) {
      const ClassSettings* class_settings = settings.FindClass(row.dead_letter.class_name);
      const RedriveDecisionResult decision =
          DecideRedrive(row.dead_letter, class_settings, settings.policy, now);
      if (decision.decision != RedriveDecision::kAllowed) {
        ++result.forbidden;
        ++forbidden[std::string(Name(decision.reason))];
        continue;
      }
    }
    ++result.changed;
    if (!action.only_count) MarkByOperator(row.sequence, action.kind);
  }
  result.forbidden_by_reason = ToNamedCounts(forbidden);
  return result;
}

Database::OperatorActionResult Database::ApplyOperatorAction(const OperatorAction& action,
                                                             const ReviewSettings& settings,
                                                             const Timestamp& now) {
  if (action.only_count) return RunOperatorAction(action, settings, now);
  SqliteTransaction transaction(connection_);
  OperatorActionResult result = RunOperatorAction(action, settings, now);
  transaction.Commit();
  return result;
}

}  // namespace sagetally::dead_letter
