// Tests of the dead-letter store: filters, storing, claims, eviction, reviews of due messages, migration of
// older schemas, and damaged, locked, missing and full files.
#include <sqlite3.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>

#include "../app/world.h"
#include "dead_letter/dead_letter_json.h"
#include "dead_letter/rule_evaluation.h"
#include "dead_letter/rule_parser.h"
#include "dead_letter/rule_printer.h"
#include "dead_letter/storage/schema.h"
#include "dead_letter/storage/worker.h"
#include "sample.h"

namespace sagetally::dead_letter {
namespace {

Database::Settings SettingsIn(const TemporaryFolder& folder) {
  Database::Settings settings;
  settings.path = folder.path + "/kept.db";
  settings.max_age = std::chrono::hours(100'000'000 / 3600);
  return settings;
}

DeadLetter FailedMessage(std::uint64_t number, const std::string& name = "aviso", std::size_t body = 10) {
  DeadLetter dead_letter;
  dead_letter.id = {"n0", number};
  dead_letter.class_name = name;
  dead_letter.request.id = "m" + std::to_string(number);
  dead_letter.request.body = std::string(body, 'b');
  dead_letter.body_size = body;
  dead_letter.final_status = FinalStatus::kFailed;
  dead_letter.ended_at = Time(static_cast<std::int64_t>(number));
  return dead_letter;
}

void SqlFiltersFindTheMessagesThatMatch() {
  assert(rc::check("filters", [](const std::vector<DeadLetter>& messages, const Condition& printed) {
    const TemporaryFolder folder;
    Database::Settings settings = SettingsIn(folder);
    settings.rows_before_index = *rc::gen::inRange(0, 5);  // small, so that List uses both rows and index
    Database db(settings);
    const Time now(80'000'000);
    const Condition filter = ParseCondition(Print(printed), kClasses);
    std::vector<Database::Entry> entries;
    std::size_t expected = 0;
    std::uint64_t number = 0;
    for (DeadLetter dead_letter : messages) {
      dead_letter.id.number = ++number;
      entries.push_back({dead_letter, false, Time(0), {}});
      expected += Matches(filter, dead_letter, now);
    }
    db.Store(entries);
    const Database::Page page = db.List(filter, now, std::nullopt, 1000);
    RC_ASSERT(page.messages.size() == expected);
    RC_ASSERT(db.Count(filter, now) == static_cast<std::int64_t>(expected));
    for (const DeadLetter& dead_letter : page.messages) {
      RC_ASSERT(Matches(filter, dead_letter, now));
    }
  }));
}

void StoredMessagesAreReadUnchanged() {
  const TemporaryFolder folder;
  Database db(SettingsIn(folder));
  DeadLetter dead_letter = FailedMessage(7);
  dead_letter.request.body = std::string("\0\xff\r\n", 4);
  dead_letter.body_size = 4;
  dead_letter.request.protocol = IngressProtocol::kCloudEvents;
  dead_letter.request.attributes = {{"source", "/shop"}, {"type", "order"}};
  dead_letter.history = {{{Time(5), Time(6), 7}, "s-1", Outcome::kRejected, std::chrono::milliseconds(250)},
                         {{Time(8), Time(9), 7}, "s-2", std::nullopt, Duration(0)}};
  dead_letter.attempts = 2;
  dead_letter.first_uncertain_attempt = dead_letter.history[1].sent_at;
  dead_letter.first_uncertain_endpoint = "s-2";
  const Database::Entry entry{dead_letter, false, Time(0), 5};
  db.Store({entry});
  db.Store({entry});  // storing again changes nothing
  assert(db.Count(Condition(), Time(0)) == 1 && db.Show(dead_letter.id, true) == dead_letter);
  struct stat mode {};
  assert(::stat((folder.path + "/kept.db").c_str(), &mode) == 0 && (mode.st_mode & 0777) == 0600);
  // Another message gets the same number if the clock is set back while the journal is empty.
  DeadLetter other = FailedMessage(7);
  other.ended_at = Time(99);
  db.Store({{other, false, Time(0), {}}});
  assert(db.Count(Condition(), Time(0)) == 2 && db.HighestNumber("n0") == 8);
}

// Guards against a stored message of an older version that the store, or a report on it, can't read.
void IdsThatAreNotUtf8AreStoredAndReported() {
  const TemporaryFolder folder;
  Database db(SettingsIn(folder));
  DeadLetter dead_letter = FailedMessage(7);
  dead_letter.request.id = "pedido-n\xba-0077";
  dead_letter.request.idempotency_key = "\xc3";
  db.Store({{dead_letter, false, Time(0), 5}});
  const std::optional<DeadLetter> stored = db.Show(dead_letter.id, true);
  assert(stored && stored->request.id == dead_letter.request.id);
  assert(stored->request.idempotency_key == dead_letter.request.idempotency_key);
  assert(ToJson(*stored, true).find("pedido-n\xef\xbf\xbd-0077") != std::string::npos);
}

void OneClaimAtATimeAndItsResultIsRecordedOnce() {
  const TemporaryFolder folder;
  Database db(SettingsIn(folder));
  db.Store({{FailedMessage(1), false, Time(0), 11}});
  std::optional<DeadLetter> claimed = db.Claim({"n0", 1}, "r");
  assert(claimed && claimed->request.body.size() == 10 && !db.Claim({"n0", 1}, "r"));
  assert(db.MarkResubmitted(11, 2) == 0);  // has no effect on a claimed message
  DeadLetter result = *claimed;
  result.attempts = 2;
  result.history.resize(2);
  result.final_status = FinalStatus::kRejected;
  for (int i = 0; i < 2; ++i) db.Store({{result, true, Time(500), 11}});  // stored twice
  const DeadLetter after = *db.Show({"n0", 1}, false);
  assert(after.state == DeadLetterState::kStored && after.redrives == 1 && after.attempts == 2 &&
         after.final_status == FinalStatus::kFailed);
  assert(after.not_before == Time(500));
  assert(db.MarkResubmitted(11, 1) == 0 && db.MarkResubmitted(11, 2) == 1);  // only a later message counts
  assert(!db.Claim({"n0", 1}, "r"));
  // Message 3 was claimed by a process that ended before its journal recorded the redrive.
  db.Store({{FailedMessage(2), false, Time(0), {}}, {FailedMessage(3), false, Time(0), {}}});
  assert(db.Claim({"n0", 2}, "r") && db.Claim({"n0", 3}, "r"));
  assert(db.Reconcile({{"n0", 2}}, false, Time(9)) == 1);
  assert(db.Show({"n0", 2}, false)->state == DeadLetterState::kClaimed &&
         db.Show({"n0", 3}, false)->state == DeadLetterState::kStored);
  assert(db.Reconcile({}, true, Time(9)) == 1 &&
         db.Show({"n0", 2}, false)->first_uncertain_attempt);  // may have run, because the journal was lost
}

void EvictionRemovesTheLowestPriorityWeightAndTheOldestFirst() {
  const TemporaryFolder folder;
  Database::Settings settings = SettingsIn(folder);
  settings.budget_bytes = 2'000'000;
  Database db(settings);
  std::vector<Database::Entry> entries;
  for (std::uint64_t n = 1; n <= 300; ++n) {
    DeadLetter dead_letter = FailedMessage(n, n % 3 == 0 ? "pagamento" : "aviso", 10'000);
    dead_letter.priority_weight = n % 3 == 0 ? 5 : 1;
    entries.push_back({dead_letter, false, Time(0), {}});
  }
  for (std::size_t i = 0; i < entries.size(); i += 20) {
    db.Store({entries.begin() + static_cast<std::ptrdiff_t>(i),
              entries.begin() + static_cast<std::ptrdiff_t>(i + 20)});
    db.Evict(Time(1000));
    assert(db.UsedBytes() <= 2'100'000);
  }
  assert(db.Count(ParseCondition("class = pagamento", kClasses), Time(0)) == 100);
  const auto avisos =
      db.List(ParseCondition("class = aviso", kClasses), Time(0), std::nullopt, 1000).messages;
  assert(!avisos.empty() && avisos.size() < 120 && avisos.back().id.number == 299);
  for (std::size_t i = 1; i < avisos.size(); ++i) assert(avisos[i].id.number - avisos[i - 1].id.number <= 2);
  settings.max_age = std::chrono::microseconds(100);
  const Database::Evicted by_age = Database(settings).Evict(Time(350));
  assert(by_age.for_age > 0 && by_age.for_space == 0);
}

void MessagesOfBlockedRulesAreReviewedAtTheRateOfTheRule() {
  const TemporaryFolder folder;
  Database db(SettingsIn(folder));
  std::vector<Database::Entry> entries;
  for (std::uint64_t n = 1; n <= 40; ++n) entries.push_back({FailedMessage(n), false, Time(0), {}});
  db.Store(entries);
  ReviewSettings site;
  site.class_names = {"aviso"};
  site.classes.resize(1);
  site.classes[0].idempotency = Idempotency::kIdempotent;
  site.policy.max_attempts = 6;
  const RuleSet slow = ParseRules("rule a: when true then resend rate 10/s;", {});
  const std::int64_t first = db.Generation(1);
  const Timestamp now{Time(1'000'000), Time(1), 1};
  RulePacer pacer;
  assert(db.Due({slow, site, first, now, {}, 5}, pacer).list.size() == 5);
  assert(db.Due({slow, site, first, now, {0}, 5}, pacer).list.empty());  // the destination is excluded
  const Time blocked_until = now.wall_time + std::chrono::seconds(1);
  pacer.BlockUntil("a", blocked_until);
  Database::Candidates due = db.Due({slow, site, first, now, {}, 5}, pacer);
  assert(due.list.empty() && due.next_review == blocked_until);
  assert(pacer.TakeSlot("a", 10) ==
         now.wall_time + std::chrono::seconds(5));  // after 40 slots, 10 per second
  const Timestamp later{now.wall_time + std::chrono::milliseconds(1450), Time(2), 1};
  pacer.Clear();
  assert(db.Due({slow, site, first, later, {}, 50}, pacer).list.size() == 5);
  // With another rule file, messages that the old rules held are reviewed again, but messages that an
  // operator holds are not.
  const RuleSet hold = ParseRules("rule h: when destination = 0 then hold;", {});
  assert(db.Generation(1) == first && db.Generation(2) == first + 1);
  assert(db.Due({hold, site, first + 1, later, {}, 50}, pacer).held == 40);
  db.ApplyOperatorAction(
      {.kind = RuleAction::Kind::kHold, .filter = ParseCondition("id = \"m1\"", {}), .limit = 100}, site,
      later);
  assert(db.Generation(3) == first + 2);
  assert(db.Due({slow, site, first + 2, later, {}, 50}, pacer).list.size() == 39);
}

void OlderSchemasAreMigratedAndNewerOnesRejected() {
  const TemporaryFolder folder;
  const std::string path = folder.path + "/kept.db";
  sqlite3* raw = nullptr;
  assert(sqlite3_open(path.c_str(), &raw) == SQLITE_OK);
  const std::string v1 =
      std::string(kMigrations[0]) +
      "INSERT INTO kept (node, number, state, id, key, class, destination, form, attributes, "
      "body_size, taken_at, deadline, ended_at, end, reason, attempts, history, last_outcome, "
      "may_steady, may_boot, may_at, worth, body) VALUES ('n0', 5, 0, 'old', '', 'aviso', 7, 0, "
      "'{}', 1, 1, 2, 3, 2, 1, 0, '[]', 7, 0, 0, '', 1, 'x'); PRAGMA user_version = 1;";
  assert(sqlite3_exec(raw, v1.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(raw);
  {
    Database db(SettingsIn(folder));
    assert(db.Show({"n0", 5}, true)->request.body == "x");
    db.Store({{FailedMessage(6), false, Time(0), 3}});
    assert(db.Identities().size() == 1);
  }
  assert(sqlite3_open(path.c_str(), &raw) == SQLITE_OK);
  assert(sqlite3_exec(raw, "PRAGMA user_version = 9", nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(raw);
  std::optional<JobError> error = ReopeningDatabase(SettingsIn(folder)).Run([](Database&) {});
  assert(error && error->kind == StoreError::Kind::kNewerSchema &&
         error->message.find("version 9") != error->message.npos);
  assert(!error->file_replaced);
}

void DamagedLockedAndMissingFilesAreReported() {
  const TemporaryFolder folder;
  ReopeningDatabase store(SettingsIn(folder));
  const std::string path = folder.path + "/kept.db";
  const auto store_message = [&](std::uint64_t n) {
    return store.Run([&](Database& db) {
      db.Store({{FailedMessage(n, "aviso", 5000), false, Time(0), {}}});
    });
  };
  for (std::uint64_t n = 1; n <= 50; ++n) assert(!store_message(n));
  // The file is locked by another connection.
  sqlite3* raw = nullptr;
  assert(sqlite3_open(path.c_str(), &raw) == SQLITE_OK);
  assert(sqlite3_exec(raw, "BEGIN EXCLUSIVE", nullptr, nullptr, nullptr) == SQLITE_OK);
  std::optional<JobError> error = store_message(51);
  assert(error && error->kind == StoreError::Kind::kBusy && !error->file_replaced);
  sqlite3_exec(raw, "ROLLBACK", nullptr, nullptr, nullptr);
  sqlite3_close(raw);
  assert(!store_message(51));
  // The file is removed while it is in use.
  std::filesystem::remove(path);
  error = store_message(52);
  assert(error && error->file_replaced && !store_message(52));
  // The file is truncated in the middle of a page.
  ReopeningDatabase(SettingsIn(folder)).Run([&](Database& db) {
    for (std::uint64_t n = 1; n <= 50; ++n) db.Store({{FailedMessage(n, "aviso", 5000), false, Time(0), {}}});
  });
  for (const char* suffix : {"-wal", "-shm"}) std::filesystem::remove(path + suffix);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) / 2 + 100);
  ReopeningDatabase cut(SettingsIn(folder));
  const auto use = [](Database& db) {
    db.ForEach(Condition(), Time(0), true, [](const DeadLetter&) { return true; });
    db.Store({{FailedMessage(99), false, Time(0), {}}});
  };
  error = cut.Run(use);
  assert(error && error->kind == StoreError::Kind::kDamaged && error->file_replaced);
  assert(!cut.Run(use));
  // The file contains something other than a database.
  ReopeningDatabase(SettingsIn(folder)).Run([](Database&) {});
  for (const char* suffix : {"-wal", "-shm"}) std::filesystem::remove(path + suffix);
  std::ofstream(path, std::ios::binary | std::ios::trunc) << std::string(20000, 'z');
  ReopeningDatabase second(SettingsIn(folder));
  error = second.Run([](Database&) {});
  assert(error && error->file_replaced && !error->message.empty());
  assert(!second.Run([](Database& db) { assert(db.Count(Condition(), Time(0)) == 0); }));
}

void AFullStoreIsReported() {
  const TemporaryFolder folder;
  Database::Settings settings = SettingsIn(folder);
  settings.budget_bytes = 1'000'000;
  ReopeningDatabase store(settings);
  std::optional<JobError> error;
  for (std::uint64_t n = 1; n <= 100 && !error; ++n) {
    error = store.Run([&](Database& db) {
      db.Store({{FailedMessage(n, "aviso", 60'000), false, Time(0), {}}});
    });
  }
  assert(error && error->kind == StoreError::Kind::kFull);
  assert(!store.Run([](Database& db) { assert(db.Evict(Time(1000)).for_space > 0); }));
  assert(!store.Run([&](Database& db) { db.Store({{FailedMessage(200), false, Time(0), {}}}); }));
}

}  // namespace
}  // namespace sagetally::dead_letter

int main() {
  using namespace sagetally::dead_letter;
  SqlFiltersFindTheMessagesThatMatch();
  StoredMessagesAreReadUnchanged();
  IdsThatAreNotUtf8AreStoredAndReported();
  OneClaimAtATimeAndItsResultIsRecordedOnce();
  EvictionRemovesTheLowestPriorityWeightAndTheOldestFirst();
  MessagesOfBlockedRulesAreReviewedAtTheRateOfTheRule();
  OlderSchemasAreMigratedAndNewerOnesRejected();
  DamagedLockedAndMissingFilesAreReported();
  AFullStoreIsReported();
  std::puts("9 passed, 0 failed");
}
