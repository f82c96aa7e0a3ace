// Bytes of a handover that sagetally 0.1.0 encoded, before its code was renamed (tests/golden/README.md): the
// present code reads the same values from them, and encodes the same bytes.
//
// Covers what src/handover encodes. The packets around it belong to the handover session in src/app.
#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "handover/handover_state.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

std::string ReadGoldenFile(const std::string& name) {
  std::ifstream file(std::string(SAGETALLY_GOLDEN) + "/" + name, std::ios::binary);
  EXPECT_TRUE(file.is_open()) << name;
  return {std::istreambuf_iterator<char>(file), {}};
}

Json ReadExpected() { return Json::parse(ReadGoldenFile("expected/handover.json")); }

// Names of the outcomes in the golden data, by number.
constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};

Json OutcomeJson(Outcome outcome) { return kOutcomeNames.at(static_cast<std::size_t>(outcome)); }

// The decoded values in the form of expected/handover.json. Comparing whole objects finds a value that is
// missing or too many on either side, too.

Json ToJson(const LoadReport& report) {
  return {{"allowance_left", report.quota_left}, {"limit", report.rate_limit}};
}

Json ToJson(const Timestamp& timestamp) {
  return {{"wall_us", timestamp.wall_time.count()},
          {"steady_us", timestamp.steady_time.count()},
          {"boot", timestamp.boot_id}};
}

Json ToJson(const EndpointUpdate& update) {
  const EndpointRecord& record = update.record;
  return {{"endpoint", record.endpoint},
          {"address", update.address},
          {"destination", record.destination},
          {"zone", record.zone},
          {"kind", record.kind},
          {"rate", record.rate},
          {"state_number", static_cast<int>(record.state)}};
}

Json ToJson(const CompletedAttempt& attempt) {
  return {{"sent_us", attempt.sent_at.count()},
          {"ended_us", attempt.completed_at.count()},
          {"deadline_us", attempt.deadline.count()},
          {"destination", attempt.destination},
          {"class_number", attempt.message_class},
          {"attempts", attempt.attempts},
          {"endpoint", attempt.endpoint},
          {"outcome", OutcomeJson(attempt.outcome)},
          {"told_wait_us", attempt.retry_after.count()},
          {"load", ToJson(attempt.load_report)}};
}

Json ToJson(const InFlightCall& call) {
  const std::optional<Time>& uncertain = call.first_uncertain_attempt;
  return {{"number", call.number},
          {"endpoint", call.endpoint},
          {"sent_us", call.sent_at.count()},
          {"may_have_run_us", uncertain ? Json(uncertain->count()) : Json()},
          {"may_have_run_at", call.first_uncertain_endpoint}};
}

Json ToJson(const CallResult& result) {
  return {{"number", result.number},
          {"outcome", OutcomeJson(result.outcome)},
          {"over", result.completed},
          {"told_wait_us", result.retry_after.count()},
          {"load", ToJson(result.load_report)}};
}

template <typename Value>
Json ToJsonArray(const std::vector<Value>& values) {
  Json array = Json::array();
  for (const Value& value : values) array.push_back(ToJson(value));
  return array;
}

Json ToJson(const HandoverState& state) {
  return {{"version", kHandoverVersion},
          {"now", ToJson(state.now)},
          {"classes", state.classes},
          {"revision", state.revision},
          {"endpoints", ToJsonArray(state.endpoints)},
          {"recent_attempts", ToJsonArray(state.recent_attempts)},
          {"calls_out", ToJsonArray(state.in_flight_calls)}};
}

TEST(HandoverGolden, StateHasTheSameValuesAndBytes) {
  const std::string bytes = ReadGoldenFile("handover/state");
  const auto state = DecodeHandoverState(bytes);
  ASSERT_TRUE(state);
  EXPECT_EQ(ToJson(*state), ReadExpected().at("state"));
  EXPECT_EQ(EncodeHandoverState(*state), bytes);
}

TEST(HandoverGolden, EveryCallResultHasTheSameValuesAndBytes) {
  const Json expected = ReadExpected().at("results");
  std::set<std::string> outcomes;
  for (const auto& [name, values] : expected.items()) {
    SCOPED_TRACE(name);
    const std::string bytes = ReadGoldenFile("handover/" + name);
    const auto result = DecodeCallResult(bytes);
    ASSERT_TRUE(result);
    EXPECT_EQ(ToJson(*result), values);
    EXPECT_EQ(EncodeCallResult(*result), bytes);
    outcomes.insert(values.at("outcome"));
  }
  EXPECT_EQ(outcomes, std::set<std::string>(kOutcomeNames.begin(), kOutcomeNames.end()));
}

// The state and the results as they crossed the socket, behind the header of their datagram.
TEST(HandoverGolden, DatagramsCarryTheSameBytes) {
  constexpr std::size_t kHeaderBytes = 2;  // the kind, and whether more of the packet follows
  const Json expected = ReadExpected();
  std::size_t states = 0;
  std::size_t results = 0;
  for (const Json& datagram : expected.at("from_old_process")) {
    const std::string name = datagram.at("file");
    SCOPED_TRACE(name);
    const std::string kind = datagram.at("kind");
    if (kind != "s" && kind != "r") continue;
    const std::string bytes = ReadGoldenFile("handover/" + name);
    ASSERT_GE(bytes.size(), kHeaderBytes);
    EXPECT_EQ(bytes.substr(0, kHeaderBytes), kind + '\0');
    const std::string payload = bytes.substr(kHeaderBytes);
    if (kind == "s") {
      const auto state = DecodeHandoverState(payload);
      ASSERT_TRUE(state);
      EXPECT_EQ(ToJson(*state), expected.at("state"));
      EXPECT_EQ(EncodeHandoverState(*state), payload);
      ++states;
    } else {
      const auto result = DecodeCallResult(payload);
      ASSERT_TRUE(result);
      const std::string outcome = OutcomeJson(result->outcome);
      EXPECT_EQ(ToJson(*result), expected.at("results").at("result-" + outcome));
      EXPECT_EQ(EncodeCallResult(*result), payload);
      ++results;
    }
  }
  EXPECT_EQ(states, 1U);
  EXPECT_EQ(results, kOutcomeNames.size());
}

}  // namespace
}  // namespace sagetally
