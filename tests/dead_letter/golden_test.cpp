// Checks that the present code is compatible with the dead-letter database that an earlier version of the
// program wrote (tests/golden/dead_letters/kept.db): it reads every value as it was written, and the same
// operations write the same rows. The environment variable SAGETALLY_GOLDEN has the folder of the golden
// data.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "dead_letter/dead_letter.h"
#include "dead_letter/dead_letter_json.h"
#include "dead_letter/rule_parser.h"
#include "dead_letter/storage/database.h"
#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The same values as in tests/golden/make_golden.cpp.
constexpr Time kStart{1'700'000'000'000'000};
constexpr Time kReadAt = kStart + seconds(320);
constexpr std::uint64_t kBootId = 9;
constexpr std::uint64_t kRulesHash = 1234;
const std::vector<std::string> kClasses = {"aviso", "pedido", "pagamento"};

fs::path GoldenFolder() {
  const char* folder = std::getenv("SAGETALLY_GOLDEN");
  if (folder == nullptr) throw std::runtime_error("SAGETALLY_GOLDEN: expected the folder of the golden data");
  return folder;
}

class GoldenDatabase : public testing::Test {
 protected:
  GoldenDatabase() {
    std::string name = (fs::temp_directory_path() / "sagetally-golden-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("can't create the folder " + name);
    folder_ = name;
    fs::copy_file(GoldenFolder() / "dead_letters" / "kept.db", CopyPath());  // SQLite writes files beside it
    std::ifstream file(GoldenFolder() / "expected" / "dead_letters.json");
    expected_ = Json::parse(file);
  }
  ~GoldenDatabase() override { fs::remove_all(folder_); }

  std::string CopyPath() const { return (folder_ / "kept.db").string(); }
  std::string RewrittenPath() const { return (folder_ / "rewritten.db").string(); }
  static Database::Settings SettingsFor(const std::string& path, bool read_only) {
    Database::Settings settings;
    settings.path = path;
    settings.read_only = read_only;
    return settings;
  }
  Database OpenCopy(bool read_only = true) const { return Database(SettingsFor(CopyPath(), read_only)); }
  const Json& expected() const { return expected_; }

 private:
  fs::path folder_;
  Json expected_;
};

// Returns all stored values of a message under the keys of dead_letters.json.
Json AllValues(const DeadLetter& dead_letter) {
  Json values = Json::parse(ToJson(dead_letter, true));
  values["may_have_run_moment"] = nullptr;
  if (const std::optional<Timestamp>& first = dead_letter.first_uncertain_attempt) {
    values["may_have_run_moment"] = {{"wall_us", first->wall_time.count()},
                                     {"steady_us", first->steady_time.count()},
                                     {"boot", first->boot_id}};
  }
  values["may_have_run_at"] = dead_letter.first_uncertain_endpoint;
  values["life"] = dead_letter.incarnation;
  values["worth"] = dead_letter.priority_weight;
  values["not_before_us"] = dead_letter.not_before.count();
  values["by_hand"] = dead_letter.requested_by_operator;
  values["last_outcome"] = Name(dead_letter.LastOutcome());
  return values;
}

TEST_F(GoldenDatabase, ReadsEveryValueOfEveryMessage) {
  Database database = OpenCopy();
  const Json& messages = expected().at("messages");
  std::size_t index = 0;
  database.ForEach(Condition(), kReadAt, true, [&](const DeadLetter& dead_letter) {
    if (index < messages.size()) {
      EXPECT_EQ(AllValues(dead_letter), messages[index]) << "message " << index;
    }
    ++index;
    return true;
  });
  EXPECT_EQ(index, messages.size());
  EXPECT_EQ(messages.size(), 20U);
}

TEST_F(GoldenDatabase, FindsEveryMessageByItsId) {
  Database database = OpenCopy();
  for (const Json& message : expected().at("messages")) {
    const std::optional<DeadLetterId> id = ParseDeadLetterId(message.at("kept").get<std::string>());
    ASSERT_TRUE(id.has_value());
    const std::optional<DeadLetter> shown = database.Show(*id, true);
    ASSERT_TRUE(shown.has_value());
    EXPECT_EQ(AllValues(*shown), message);
  }
}

TEST_F(GoldenDatabase, ListsEveryMessageWithoutItsBody) {
  Database database = OpenCopy();
  std::vector<DeadLetter> messages;
  database.ForEach(Condition(), kReadAt, true, [&](const DeadLetter& dead_letter) {
    messages.push_back(dead_letter);
    messages.back().request.body.clear();
    return true;
  });
  EXPECT_EQ(messages.size(), expected().at("messages").size());
  EXPECT_TRUE(database.List(Condition(), kReadAt, std::nullopt, 100).messages == messages);
}

TEST_F(GoldenDatabase, CountsAreThoseOfTheMessages) {
  Database database = OpenCopy();
  EXPECT_EQ(database.Count(Condition(), kReadAt), expected().at("all").get<std::int64_t>());
  for (const auto& [column, counts] : expected().at("counts").items()) {
    Json counted = Json::object();
    for (const auto& [name, count] : database.CountBy(column)) counted[name] = count;
    EXPECT_EQ(counted, counts) << column;
  }
  for (const auto& [node, number] : expected().at("highest_number").items()) {
    EXPECT_EQ(database.HighestNumber(node), number.get<std::uint64_t>()) << node;
  }
}

TEST_F(GoldenDatabase, ReadsIdentitiesAndRuleGeneration) {
  Database database = OpenCopy(false);
  const auto identities = expected().at("identities").get<std::vector<std::uint64_t>>();
  const std::vector<std::uint64_t> read = database.Identities();
  EXPECT_EQ(std::multiset<std::uint64_t>(read.begin(), read.end()),
            std::multiset<std::uint64_t>(identities.begin(), identities.end()));
  EXPECT_EQ(kSchemaVersion, expected().at("schema_version").get<int>());
  EXPECT_EQ(database.Generation(expected().at("rules_hash").get<std::uint64_t>()),
            expected().at("rules_generation").get<std::int64_t>());
}

TEST_F(GoldenDatabase, OnlyOpenMessagesCanBeClaimed) {
  for (const Json& message : expected().at("messages")) {
    Database database = OpenCopy(false);
    const DeadLetterId id = *ParseDeadLetterId(message.at("kept").get<std::string>());
    const auto state = message.at("state").get<std::string>();
    const bool held_by_operator = id.number == 115;
    const bool claimable = (state == "kept" || state == "held") && !held_by_operator;
    const std::optional<DeadLetter> claimed = database.Claim(id, message.at("rule").get<std::string>());
    EXPECT_EQ(claimed.has_value(), claimable) << ToString(id) << " " << state;
    if (claimed) database.Unclaim(id, Time(0));
  }
  Database database = OpenCopy(false);
  EXPECT_EQ(database.Reconcile({{"n0", 112}}, false, kReadAt),
            0);  // the only claim belongs to a redrive in flight
  EXPECT_EQ(database.Reconcile({}, false, kReadAt), 1);
}

// ---- The same operations write the same rows.

Message CompletedMessage(std::uint64_t number, FailureReason reason,
                         FinalStatus status = FinalStatus::kFailed) {
  const std::string binary_text("\x00\x01\xff\"\n body with \xc3\xa9", 18);
  Message message;
  message.number = number;
  message.request.id = "dead-" + std::to_string(number);
  message.request.message_class = static_cast<int>(number % 3);
  message.request.destination = static_cast<int>(number % 4);
  message.request.idempotency_key = number % 5 == 0 ? "" : "key-" + std::to_string(number);
  message.request.body = "body of " + std::to_string(number) + binary_text;
  if (number % 2 == 0) {
    message.request.protocol = IngressProtocol::kCloudEvents;
    message.request.attributes = {
        {"source", "/golden"}, {"type", "order.\xc3\xa9"}, {"id", message.request.id}};
  }
  message.accepted_at = kStart + seconds(number);
  message.deadline = message.accepted_at + seconds(20);
  message.final_status = status;
  message.completed_at = message.accepted_at + seconds(10);
  message.failure_reason = reason;
  return message;
}

void AddAttempt(Message& message, std::optional<Outcome> outcome, Duration retry_after = Duration(0)) {
  const Time sent_at = message.accepted_at + milliseconds(500 * (message.attempts + 1));
  const std::string endpoint = "s-" + std::to_string(message.attempts);
  message.attempts += 1;
  message.history.push_back(
      {{sent_at, sent_at - kStart + seconds(1000), kBootId}, endpoint, outcome, retry_after});
  const bool may_have_run = !outcome || MayHaveRun(*outcome);
  if (may_have_run && !message.first_uncertain_attempt) {
    message.first_uncertain_attempt = sent_at;
    message.first_uncertain_endpoint = endpoint;
  }
}

Database::Entry EntryOf(const Message& message, const std::string& node) {
  const auto message_class = static_cast<std::size_t>(message.request.message_class);
  Database::Entry entry;
  entry.dead_letter =
      FromMessage(message, node, kClasses[message_class], 0.5 + static_cast<double>(message_class));
  entry.identity = IdentityOf(message.request);
  entry.redriven = message.redrive_number != 0;
  return entry;
}

// The number of the first of the 11 messages that RunOperations changes.
constexpr std::uint64_t kFirstTargetNumber = 110;
DeadLetterId TargetId(std::uint64_t offset) { return {"n0", kFirstTargetNumber + offset}; }

// Returns a message that failed for `reason`, with the attempts that lead to it.
Message MessageFailedFor(FailureReason reason) {
  const bool shed = reason == FailureReason::kShed;
  Message message = CompletedMessage(100 + static_cast<std::uint64_t>(reason), reason,
                                     shed ? FinalStatus::kRejected : FinalStatus::kFailed);
  switch (reason) {
    case FailureReason::kAttemptsExhausted:
      for (int outcome = 1; outcome < 8; ++outcome) AddAttempt(message, static_cast<Outcome>(outcome));
      break;
    case FailureReason::kRejectedUntilDeadline:
      AddAttempt(message, Outcome::kRejected, milliseconds(250));
      AddAttempt(message, Outcome::kRejected, milliseconds(2000));
      break;
    case FailureReason::kInterruptedByRestart:
      AddAttempt(message, std::nullopt);
      break;
    case FailureReason::kExpiredUnsent:
    case FailureReason::kShed:
      break;
    default:
      AddAttempt(message, Outcome::kTimeout);
  }
  return message;
}

void StoreMessages(Database& database) {
  std::vector<Database::Entry> entries;
  for (int reason = 1; reason <= 9; ++reason) {
    entries.push_back(
        EntryOf(MessageFailedFor(static_cast<FailureReason>(reason)), reason % 4 == 0 ? "n1" : "n0"));
  }
  for (std::uint64_t offset = 0; offset < 11; ++offset) {
    Message message = CompletedMessage(kFirstTargetNumber + offset, FailureReason::kExpiredAfterAttempts);
    AddAttempt(message, Outcome::kRejected, milliseconds(250));
    entries.push_back(EntryOf(message, "n0"));
  }
  database.Store(entries);
  database.Store({entries.front()});  // again: changes nothing
}

void Redrive(Database& database, const DeadLetterId& id, FinalStatus status, Outcome outcome,
             Time not_before) {
  const std::optional<DeadLetter> claimed = database.Claim(id, "again");
  ASSERT_TRUE(claimed.has_value());
  Message message = ToMessage(*claimed, kStart + seconds(300));
  message.number = 1000;
  AddAttempt(message, outcome);
  message.request.message_class = static_cast<int>(id.number % 3);
  message.final_status = status;
  message.completed_at = kStart + seconds(290);
  message.failure_reason =
      status == FinalStatus::kFailed ? FailureReason::kAttemptsExhausted : FailureReason::kNone;
  Database::Entry entry = EntryOf(message, "n0");
  entry.not_before = not_before;
  database.Store({entry});
}

void RunOperations(Database& database) {
  const Timestamp now{kStart + seconds(280), seconds(1280), kBootId};
  ReviewSettings review;
  review.class_names = kClasses;
  review.classes.resize(kClasses.size());
  for (ClassSettings& settings : review.classes) settings.idempotency = Idempotency::kIdempotent;
  review.policy.max_attempts = 9;
  const RuleSet rules = ParseRules(
      "rule held: when id = \"dead-119\" then hold;\n"
      "rule dropped: when id = \"dead-120\" then drop;\n",
      kClasses);
  RulePacer pacer;
  database.Due({rules, review, database.Generation(kRulesHash), now, {}, 100}, pacer);
  Redrive(database, TargetId(0), FinalStatus::kDelivered, Outcome::kOk, Time(0));
  Redrive(database, TargetId(1), FinalStatus::kFailed, Outcome::kReset, kStart + seconds(400));
  Redrive(database, TargetId(1), FinalStatus::kFailed, Outcome::kError, kStart + seconds(500));
  database.Claim(TargetId(2), "again");
  database.Claim(TargetId(3), "again");
  database.Unclaim(TargetId(3), kStart + seconds(600));
  ASSERT_EQ(
      database.MarkResubmitted(IdentityOf(CompletedMessage(114, FailureReason::kNone).request).value(), 2000),
      1);
  const auto act = [&](RuleAction::Kind action, const std::string& id) {
    const Condition filter = ParseCondition("id = \"" + id + "\"", kClasses);
    ASSERT_EQ(
        database.ApplyOperatorAction({.kind = action, .filter = filter, .limit = 10}, review, now).changed,
        1);
  };
  act(RuleAction::Kind::kHold, "dead-115");
  act(RuleAction::Kind::kDrop, "dead-116");
  act(RuleAction::Kind::kRedrive, "dead-117");
  database.Claim(TargetId(8), "again");
  // The journal was lost while message 118 was claimed, so it may have run.
  database.Reconcile({TargetId(2)}, true, kStart + seconds(310));
}

// Returns each row of a query as text, with the type of each value.
std::vector<std::string> Rows(const std::string& path, const std::string& query) {
  sqlite3* raw = nullptr;
  EXPECT_EQ(sqlite3_open_v2(path.c_str(), &raw, SQLITE_OPEN_READONLY, nullptr), SQLITE_OK);
  const std::unique_ptr<sqlite3, int (*)(sqlite3*)> database(raw, sqlite3_close_v2);
  sqlite3_stmt* prepared = nullptr;
  EXPECT_EQ(sqlite3_prepare_v2(raw, query.c_str(), -1, &prepared, nullptr), SQLITE_OK) << query;
  const std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt*)> statement(prepared, sqlite3_finalize);
  std::vector<std::string> rows;
  while (sqlite3_step(prepared) == SQLITE_ROW) {
    std::string row;
    for (int column = 0; column < sqlite3_column_count(prepared); ++column) {
      const int type = sqlite3_column_type(prepared, column);
      const void* bytes = sqlite3_column_blob(prepared, column);
      const std::string value =
          bytes == nullptr ? ""
                           : std::string(static_cast<const char*>(bytes),
                                         static_cast<std::size_t>(sqlite3_column_bytes(prepared, column)));
      row += std::string(sqlite3_column_name(prepared, column)) + "=" + std::to_string(type) + ":" + value +
             "\n";
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

TEST_F(GoldenDatabase, SameOperationsWriteTheSameRows) {
  {
    Database database(SettingsFor(RewrittenPath(), false));
    StoreMessages(database);
    RunOperations(database);
  }
  for (const char* query : {"SELECT type, name, tbl_name, sql FROM sqlite_master ORDER BY name",
                            "SELECT * FROM kept ORDER BY seq", "SELECT * FROM rules", "PRAGMA user_version",
                            "PRAGMA auto_vacuum", "PRAGMA page_size", "PRAGMA page_count"}) {
    const std::vector<std::string> golden = Rows(CopyPath(), query);
    EXPECT_FALSE(golden.empty()) << query;
    EXPECT_EQ(Rows(RewrittenPath(), query), golden) << query;
  }
}

}  // namespace
}  // namespace sagetally::dead_letter
