// Tests of how the places for messages are shared between clients.
#include <gtest/gtest.h>

#include "pipeline_node.h"

namespace sagetally {
namespace {

struct ClientShare : testing::Test {
  AdmissionStatus Submit(std::uint64_t client) {
    Request request;
    request.id = "m" + std::to_string(next_id++);
    request.destination = 7;
    request.time_left = std::chrono::seconds(8);
    AdmissionStatus status = AdmissionStatus::kAccepted;
    node.pipeline.request_validator.Submit(
        {request},
        [&](const AdmissionResult& result) {
          status = result.status;
          return true;
        },
        client);
    node.RunPending();
    return status;
  }

  Config config = ConfigWithOneEndpoint();
  FaultInjectingFileSystem files;
  TestClock clock;
  JournalSettings settings = SmallJournal();
  PipelineNode node{files, clock, config, settings};
  int next_id = 0;
};

// Guards against incident 021729: one client at full speed took all places, and others were refused.
TEST_F(ClientShare, OneClientLeavesPlacesForOthers) {
  const int places = config.site.policy.max_pending_messages;
  int accepted = 0;
  while (Submit(1) == AdmissionStatus::kAccepted) ++accepted;
  EXPECT_GE(accepted, places * 8 / 9 - 1);
  EXPECT_LT(accepted, places);
  EXPECT_EQ(Submit(1), AdmissionStatus::kRejected);
  for (std::uint64_t client = 2; client <= 4; ++client) {
    EXPECT_EQ(Submit(client), AdmissionStatus::kAccepted) << client;
  }
}

TEST_F(ClientShare, AClientMaySubmitAgainWhenItsMessagesHaveEnded) {
  while (Submit(1) == AdmissionStatus::kAccepted) continue;
  node.AdvanceTime(std::chrono::seconds(20));
  EXPECT_EQ(node.messages.PendingCountOf(1), config.site.policy.max_concurrent_calls);  // these never end
  EXPECT_EQ(Submit(1), AdmissionStatus::kAccepted);
}

}  // namespace
}  // namespace sagetally
