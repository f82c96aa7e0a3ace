// Soak schedules, and the rules that a soak run checks (soak_judge.h).
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>

#include "loadtest/soak/soak_judge.h"
#include "loadtest/soak/soak_schedule.h"

namespace sagetally::loadtest {
namespace {

// A request from 1000 to 2000 us to node 0.
RequestRecord Request(const std::string& id, RequestOutcome outcome, int status = 0) {
  RequestRecord request;
  request.id = id;
  request.sent_us = 1000;
  request.ended_us = 2000;
  request.outcome = outcome;
  request.status = status;
  return request;
}

TEST(SoakRules, ReportsAnExecutedRequestWithoutAResponse) {
  const std::vector<Observation> effect = {{ObservationKind::kEffect, 1500, "a"}};
  for (const RequestOutcome outcome :
       {RequestOutcome::kClosedOnFirstRequest, RequestOutcome::kClosedOnLaterRequest}) {
    const auto violations = FindViolations({Request("a", outcome)}, effect, {});
    ASSERT_EQ(violations.size(), 1U);
    EXPECT_EQ(violations[0].rule, "lost request");
    EXPECT_EQ(violations[0].id, "a");
  }
}

TEST(SoakRules, ReportsAnAcceptedMessageWithoutAFinalStatus) {
  const std::vector<Observation> effect = {{ObservationKind::kEffect, 1500, "a"}};
  const auto violations = FindViolations({Request("a", RequestOutcome::kAnswered, 202)}, effect, {});
  ASSERT_EQ(violations.size(), 1U);
  EXPECT_EQ(violations[0].rule, "lost message");
}

TEST(SoakRules, ReportsARejectedRequestThatWasForwarded) {
  for (const int status : {429, 503}) {
    for (const ObservationKind kind : {ObservationKind::kEffect, ObservationKind::kDeferred}) {
      const auto violations =
          FindViolations({Request("a", RequestOutcome::kAnswered, status)}, {{kind, 1500, "a"}}, {});
      ASSERT_EQ(violations.size(), 1U);
      EXPECT_EQ(violations[0].rule, "refused and forwarded");
    }
  }
}

TEST(SoakRules, ExcuseAnUnreadRequestThatItsClientSendsOnceMore) {
  RequestRecord resend = Request("a", RequestOutcome::kAnswered, 202);
  resend.sent_us = 3000;
  resend.is_resend = true;
  const std::vector<RequestRecord> requests = {Request("a", RequestOutcome::kClosedOnLaterRequest), resend};
  EXPECT_TRUE(FindViolations(requests, {{ObservationKind::kDelivered, 3500, "a"}}, {}).empty());
  const auto violations = FindViolations(requests, {{ObservationKind::kDelivered, 1500, "a"}}, {});
  ASSERT_EQ(violations.size(), 1U);
  EXPECT_EQ(violations[0].rule, "lost request");
}

TEST(SoakRules, ReportNothingForAllowedOutcomes) {
  const std::vector<Observation> observations = {{ObservationKind::kDelivered, 1500, "delivered"},
                                                 {ObservationKind::kUndeliverable, 1500, "notified"},
                                                 {ObservationKind::kEffect, 1500, "killed"},
                                                 {ObservationKind::kEffect, 1500, "timed out"}};
  const std::vector<RequestRecord> requests = {Request("delivered", RequestOutcome::kAnswered, 202),
                                               Request("notified", RequestOutcome::kAnswered, 202),
                                               Request("rejected", RequestOutcome::kAnswered, 429),
                                               Request("unread", RequestOutcome::kClosedOnLaterRequest),
                                               Request("timed out", RequestOutcome::kTimedOut)};
  EXPECT_TRUE(FindViolations(requests, observations, {}).empty());
  const std::vector<DownTime> killed = {{0, 1800, 5000}};
  EXPECT_TRUE(FindViolations({Request("killed", RequestOutcome::kClosedOnFirstRequest)}, observations, killed)
                  .empty());
}

TEST(SoakRules, ReportTooFewAnswersOnKeptAndOnNewConnections) {
  std::vector<RequestRecord> requests(200);
  for (std::size_t i = 0; i < 20; ++i) requests[i].is_first_on_connection = true;
  for (const std::size_t unanswered : {0U, 1U, 20U}) requests[unanswered].outcome = RequestOutcome::kTimedOut;
  EXPECT_TRUE(FindUnansweredClients(requests).empty());
  requests[2].outcome = RequestOutcome::kTimedOut;
  EXPECT_EQ(FindUnansweredClients(requests).size(), 1U);
  requests[21].outcome = RequestOutcome::kClosedOnLaterRequest;
  EXPECT_EQ(FindUnansweredClients(requests).size(), 2U);
}

TEST(SoakSchedule, IsEqualForEqualSeedsAndAfterWritingAndReading) {
  const std::string path = testing::TempDir() + "soak-schedule.json";
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const SoakSchedule drawn = DrawSchedule(seed);
    EXPECT_EQ(ToJson(drawn), ToJson(DrawSchedule(seed)));
    std::ofstream(path) << ToJson(drawn).dump(1);
    EXPECT_EQ(ToJson(ReadSchedule(path)), ToJson(drawn));
  }
  std::filesystem::remove(path);
}

TEST(SoakSchedule, ErrorNamesTheLineKeyOrUnknownFault) {
  const std::string path = testing::TempDir() + "soak-broken.json";
  const auto error_for = [&](const std::string& text) -> std::string {
    std::ofstream(path) << text;
    try {
      ReadSchedule(path);
    } catch (const std::runtime_error& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(error_for("{\n \"seed\": }").find("line 2"), std::string::npos);
  EXPECT_NE(error_for("{\"seed\": 1}").find("/seconds"), std::string::npos);
  nlohmann::json unknown = ToJson(DrawSchedule(1));
  unknown["node_faults"] = {{{"fault", "melt"}, {"at_ms", 1}, {"node", 0}}};
  EXPECT_NE(error_for(unknown.dump()).find("melt"), std::string::npos);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace sagetally::loadtest
