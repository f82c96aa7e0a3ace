// Tests that the handover format stays compatible with sagetally 0.1.0, whose encoded handover is stored as
// golden data (see tests/golden/README.md): the present code must decode the same values from these bytes,
// and encode the same bytes from these values.
//
// Covers the encodings in src/handover. The packets that carry them belong to the handover classes in
// src/app.
#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

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

// The names of the outcomes in the golden data, indexed by outcome number.
constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};

Json OutcomeJson(Outcome outcome) { return kOutcomeNames.at(static_cast<std::size_t>(outcome)); }

// The following functions convert decoded values to the JSON form of expected/handover.json. Comparing whole
// JSON objects also finds values that are missing or superfluous on either side.

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
  return {{"number", call.message_number},
          {"endpoint", call.endpoint},
          {"sent_us", call.sent_at.count()},
          {"may_have_run_us", uncertain ? Json(uncertain->count()) : Json()},
          {"may_have_run_at", call.first_uncertain_endpoint}};
}

Json ToJson(const CallResult& result) {
  return {{"number", result.message_number},
          {"outcome", OutcomeJson(result.outcome)},
          {"over", result.message_expired},
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
          {"classes", state.class_names},
          {"revision", state.endpoint_list_revision},
          {"endpoints", ToJsonArray(state.endpoints)},
          {"recent_attempts", ToJsonArray(state.recent_attempts)},
          {"calls_out", ToJsonArray(state.in_flight_calls)}};
}

void ExpectSameState(const std::string& bytes, const Json& expected) {
  const auto state = DecodeHandoverState(bytes);
  ASSERT_TRUE(state);
  EXPECT_EQ(ToJson(*state), expected);
  EXPECT_EQ(EncodeHandoverState(*state), bytes);
}

void ExpectSameCallResult(const std::string& bytes, const Json& expected) {
  const auto result = DecodeCallResult(bytes);
  ASSERT_TRUE(result);
  EXPECT_EQ(ToJson(*result), expected);
  EXPECT_EQ(EncodeCallResult(*result), bytes);
}

// Returns the payloads of all datagrams of one kind that the predecessor sent, in order.
std::vector<std::string> ReadPayloads(const Json& expected, const std::string& kind) {
  std::vector<std::string> payloads;
  for (const Json& datagram : expected.at("from_old_process")) {
    if (datagram.at("kind") != kind) continue;
    const std::string bytes = ReadGoldenFile("handover/" + datagram.at("file").get<std::string>());
    const std::string header = kind + '\0';  // the zero byte says that no further part of the packet follows
    EXPECT_TRUE(bytes.starts_with(header)) << datagram;
    payloads.push_back(bytes.substr(header.size()));
  }
  return payloads;
}

TEST(HandoverGolden, StateDecodesToExpectedValuesAndReencodesToSameBytes) {
  ExpectSameState(ReadGoldenFile("handover/state"), ReadExpected().at("state"));
}

TEST(HandoverGolden, EveryCallResultDecodesToExpectedValuesAndReencodesToSameBytes) {
  const Json expected = ReadExpected().at("results");
  std::set<std::string> outcomes;
  for (const auto& [name, values] : expected.items()) {
    SCOPED_TRACE(name);
    ExpectSameCallResult(ReadGoldenFile("handover/" + name), values);
    outcomes.insert(values.at("outcome"));
  }
  EXPECT_EQ(outcomes, std::set<std::string>(kOutcomeNames.begin(), kOutcomeNames.end()));
}

TEST(HandoverGolden, StateDatagramDecodesToExpectedValuesAndReencodesToSameBytes) {
  const Json expected = ReadExpected();
  const std::vector<std::string> states = ReadPayloads(expected, "s");
  ASSERT_EQ(states.size(), 1U);
  ExpectSameState(states.front(), expected.at("state"));
}

// The predecessor reported one call result for each outcome, in the order of the outcome numbers.
TEST(HandoverGolden, CallResultDatagramsDecodeToExpectedValuesAndReencodeToSameBytes) {
  const Json expected = ReadExpected();
  const std::vector<std::string> results = ReadPayloads(expected, "r");
  ASSERT_EQ(results.size(), kOutcomeNames.size());
  for (std::size_t i = 0; i < results.size(); ++i) {
    const std::string name = "result-" + std::string(kOutcomeNames[i]);
    SCOPED_TRACE(name);
    ExpectSameCallResult(results[i], expected.at("results").at(name));
  }
}

}  // namespace
}  // namespace sagetally
