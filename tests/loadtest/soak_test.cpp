// The soak's schedules and its judge.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>

#include "loadtest/soak/soak_judge.h"
#include "loadtest/soak/soak_schedule.h"

namespace sagetally::loadtest {
namespace {

RequestRecord Request(const std::string& id, RequestEnd end, int status = 0) {
  RequestRecord request;
  request.id = id;
  request.sent_us = 1000;
  request.ended_us = 2000;
  request.end = end;
  request.status = status;
  return request;
}

TEST(SoakJudge, FindsARequestThatRanAndGotNoResponse) {
  const std::vector<Observation> effect = {{ObservationKind::kEffect, 1500, "a"}};
  for (const RequestEnd end : {RequestEnd::kClosedOnFirst, RequestEnd::kClosedOnLater}) {
    const auto breaks = JudgeRequests({Request("a", end)}, effect, {});
    ASSERT_EQ(breaks.size(), 1U);
    EXPECT_EQ(breaks[0].rule, "lost request");
    EXPECT_EQ(breaks[0].id, "a");
  }
}

TEST(SoakJudge, FindsAMessageWithoutAnEnd) {
  const std::vector<Observation> effect = {{ObservationKind::kEffect, 1500, "a"}};
  const auto breaks = JudgeRequests({Request("a", RequestEnd::kAnswered, 202)}, effect, {});
  ASSERT_EQ(breaks.size(), 1U);
  EXPECT_EQ(breaks[0].rule, "lost message");
}

TEST(SoakJudge, LetsPassWhatTheRulesAllow) {
  const std::vector<Observation> observations = {{ObservationKind::kDelivered, 1500, "delivered"},
                                                 {ObservationKind::kUndeliverable, 1500, "told"},
                                                 {ObservationKind::kEffect, 1500, "killed"},
                                                 {ObservationKind::kEffect, 1500, "given up"}};
  const std::vector<RequestRecord> requests = {
      Request("delivered", RequestEnd::kAnswered, 202), Request("told", RequestEnd::kAnswered, 202),
      Request("refused", RequestEnd::kAnswered, 429), Request("unread", RequestEnd::kClosedOnLater),
      Request("given up", RequestEnd::kGivenUp)};
  EXPECT_TRUE(JudgeRequests(requests, observations, {}).empty());
  const std::vector<DownTime> killed = {{0, 1800, 5000}};
  EXPECT_TRUE(JudgeRequests({Request("killed", RequestEnd::kClosedOnFirst)}, observations, killed).empty());
}

TEST(SoakSchedule, IsDrawnAlikeForOneSeedAndReadBackWhole) {
  const std::string path = testing::TempDir() + "soak-schedule.json";
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const SoakSchedule drawn = DrawSchedule(seed);
    EXPECT_EQ(ToJson(drawn), ToJson(DrawSchedule(seed)));
    std::ofstream(path) << ToJson(drawn).dump(1);
    EXPECT_EQ(ToJson(ReadSchedule(path)), ToJson(drawn));
  }
  std::filesystem::remove(path);
}

TEST(SoakSchedule, NamesWhatCannotBeRead) {
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
