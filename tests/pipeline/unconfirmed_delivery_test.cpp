// Tests of deliveries whose response may be a repeat of an earlier one: such a message is delivered only once
// that is confirmed, and otherwise its class decides whether it is sent again.
#include <gtest/gtest.h>

#include "pipeline_node.h"

namespace sagetally {
namespace {

// Indices of message classes in the configuration.
constexpr int kIdempotentClass = 0;
constexpr int kNotIdempotentClass = 2;

struct UnconfirmedDelivery : testing::Test {
  void SubmitAndDeliver(int message_class) {
    node->Submit(message_class, "a");
    ASSERT_EQ(node->calls.size(), 1U);
    node->ReportProvisionalResult(Outcome::kOk);
  }
  void Restart() {
    node.reset();
    files.Restart();
    clock.now += std::chrono::milliseconds(700);
    node = std::make_unique<PipelineNode>(files, clock, config, SmallJournal());
    node->RunPending();
  }

  const Config config = ConfigWithOneEndpoint();
  FaultInjectingFileSystem files;
  TestClock clock;
  std::unique_ptr<PipelineNode> node = std::make_unique<PipelineNode>(files, clock, config, SmallJournal());
};

TEST_F(UnconfirmedDelivery, CompletesTheMessageOnceItIsConfirmed) {
  SubmitAndDeliver(kNotIdempotentClass);
  EXPECT_EQ(node->messages.size(), 1U);
  node->CompleteCall(Outcome::kOk);
  EXPECT_EQ(node->messages.size(), 0U);
  EXPECT_TRUE(node->notified.empty());
}

TEST_F(UnconfirmedDelivery, SendsAnIdempotentMessageAgainIfItIsRevoked) {
  SubmitAndDeliver(kIdempotentClass);
  node->CompleteCall(Outcome::kReset);
  node->AdvanceTime(std::chrono::seconds(2));
  ASSERT_EQ(node->calls.size(), 1U);
  EXPECT_EQ(node->messages.Find(node->calls[0].message_number)->attempts, 2);
  node->CompleteCall(Outcome::kOk);
  EXPECT_EQ(node->messages.size(), 0U);
}

TEST_F(UnconfirmedDelivery, NotifiesTheClientOfAMessageThatIsNotIdempotentIfItIsRevoked) {
  SubmitAndDeliver(kNotIdempotentClass);
  node->CompleteCall(Outcome::kReset);
  node->AdvanceTime(std::chrono::seconds(2));
  EXPECT_TRUE(node->calls.empty());
  EXPECT_EQ(node->notified.size(), 1U);
}

TEST_F(UnconfirmedDelivery, CountsAsACallThatMayHaveRunAfterAKill) {
  SubmitAndDeliver(kNotIdempotentClass);
  Restart();
  EXPECT_TRUE(node->calls.empty());
  EXPECT_EQ(node->notified.size(), 1U);
}

TEST_F(UnconfirmedDelivery, OfAnIdempotentMessageIsSentAgainAfterAKill) {
  SubmitAndDeliver(kIdempotentClass);
  Restart();
  EXPECT_EQ(node->calls.size(), 1U);
}

TEST_F(UnconfirmedDelivery, TakesNoPlaceOfANewMessage) {
  const auto submit_until_full = [&] {
    int accepted = 0;
    for (int i = 0; i <= config.site.policy.max_pending_messages; ++i) {
      const std::string id = "m" + std::to_string(i);
      node->Submit(kIdempotentClass, id);
      accepted += node->responses.at(id).status == AdmissionStatus::kAccepted ? 1 : 0;
    }
    return accepted;
  };
  const int places = submit_until_full();
  files.Restart();
  node.reset();
  FaultInjectingFileSystem other_files;
  node = std::make_unique<PipelineNode>(other_files, clock, config, SmallJournal());
  SubmitAndDeliver(kIdempotentClass);
  EXPECT_EQ(submit_until_full(), places);
  node.reset();
}

}  // namespace
}  // namespace sagetally
