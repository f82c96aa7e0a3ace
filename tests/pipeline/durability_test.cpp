// Tests the pipeline with a journal whose disk is full or slow: no response, call or notification is sent
// before its record is durable.
#include <gtest/gtest.h>

#include "pipeline_node.h"

namespace sagetally {
namespace {

// Indices of message classes in the configuration.
constexpr int kAvisoClass = 0;
constexpr int kPagamentoClass = 2;

struct DurabilityTest : testing::Test {
  std::unique_ptr<PipelineNode> MakeNode(const JournalSettings& settings = SmallJournal()) {
    return std::make_unique<PipelineNode>(files, clock, config, settings);
  }
  static const Message& MessageOf(PipelineNode& node, const CallRequest& call) {
    return *node.messages.Find(call.message_number);
  }

  const Config config = ConfigWithOneEndpoint();
  FaultInjectingFileSystem files;
  TestClock clock;
};

// The disk fills up after message "p" was recorded and before its attempt can be.
struct FullDiskTest : DurabilityTest {
  FullDiskTest() {
    files.plan = [this](std::uint64_t, std::string_view operation) {
      const bool fails = is_full && operation == "append" && ++appends > 1;
      return Step{fails ? Fault::kError : Fault::kNone, ENOSPC};
    };
    node->Submit(kPagamentoClass, "p");
  }

  bool is_full = true;
  int appends = 0;
  const std::unique_ptr<PipelineNode> node = MakeNode();
};

TEST_F(FullDiskTest, CallIsDeferredAndNewMessagesAreRejected) {
  EXPECT_TRUE(node->calls.empty());
  EXPECT_FALSE(node->journal.is_writable());
  EXPECT_EQ(node->messages.pending_count(), 1);
  node->Submit(kPagamentoClass, "later");
  EXPECT_EQ(node->responses.at("later").status, AdmissionStatus::kRejected);
  EXPECT_EQ(node->responses.at("later").retry_after, std::chrono::seconds(1));
  node->AdvanceTime(std::chrono::seconds(2));
  EXPECT_TRUE(node->calls.empty());
  EXPECT_TRUE(node->notified.empty());
}

TEST_F(FullDiskTest, DeliveryResumesOnceTheDiskHasSpaceAgain) {
  node->Submit(kPagamentoClass, "later");
  node->AdvanceTime(std::chrono::seconds(2));
  is_full = false;
  node->AdvanceTime(std::chrono::seconds(4));
  EXPECT_TRUE(node->journal.is_writable());
  ASSERT_EQ(node->calls.size(), 1U);
  EXPECT_EQ(node->responses.at("p").status, AdmissionStatus::kAccepted);
  EXPECT_EQ(MessageOf(*node, node->calls[0]).first_uncertain_attempt, std::nullopt);
  node->CompleteCall(Outcome::kOk);
  EXPECT_EQ(node->messages.size(), 0U);
  node->Submit(kPagamentoClass, "again");
  EXPECT_EQ(node->responses.at("again").status, AdmissionStatus::kAccepted);
  EXPECT_EQ(node->calls.size(), 1U);
}

// A message completes while the disk is full.
struct FullDiskAtCompletionTest : DurabilityTest {
  void SetUp() override {
    node->Submit(kPagamentoClass, "p");
    ASSERT_EQ(node->calls.size(), 1U);
    files.plan = [](std::uint64_t, std::string_view operation) {
      return Step{operation == "append" ? Fault::kError : Fault::kNone, ENOSPC};
    };
    node->CompleteCall(Outcome::kReset);  // the call may have run, so the client has to be notified
    node->AdvanceTime(std::chrono::seconds(9));
  }

  std::unique_ptr<PipelineNode> node = MakeNode();
};

TEST_F(FullDiskAtCompletionTest, ClientIsNotifiedOnceAfterTheCompletionIsRecorded) {
  EXPECT_TRUE(node->notified.empty());
  EXPECT_EQ(node->messages.pending_count(), 0);
  EXPECT_EQ(node->messages.size(), 1U);

  files.plan = nullptr;
  node->AdvanceTime(std::chrono::seconds(4));
  ASSERT_EQ(node->notified.size(), 1U);
  node->pipeline.completion_handler.OnNotificationAcknowledged(node->notified.front());
  EXPECT_EQ(node->messages.size(), 0U);

  node.reset();
  files.Restart();
  node = MakeNode();
  EXPECT_EQ(node->messages.size(), 0U);
}

struct SyncedClassTest : DurabilityTest {
  SyncedClassTest() { settings.class_durability[kPagamentoClass] = Durability::kSynced; }

  JournalSettings settings = SmallJournal();
};

TEST_F(SyncedClassTest, ResponseCallAndNotificationWaitForTheSyncAndOtherClassesDoNot) {
  const std::unique_ptr<PipelineNode> node = MakeNode(settings);
  node->Submit(kAvisoClass, "a");
  EXPECT_TRUE(node->responses.contains("a"));
  EXPECT_EQ(node->calls.size(), 1U);
  node->Submit(kPagamentoClass, "p");
  EXPECT_FALSE(node->responses.contains("p"));
  EXPECT_EQ(node->calls.size(), 1U);

  node->AdvanceTime(settings.group_commit_delay);
  EXPECT_EQ(node->syncs.size(), 1U);
  EXPECT_FALSE(node->responses.contains("p"));
  node->CompleteSyncs();
  EXPECT_EQ(node->responses.at("p").status, AdmissionStatus::kAccepted);
  ASSERT_EQ(node->calls.size(), 2U);

  node->CompleteCall(Outcome::kOk);
  node->CompleteCall(Outcome::kReset);
  node->AdvanceTime(std::chrono::milliseconds(1));
  EXPECT_TRUE(node->notified.empty());
  node->AdvanceTime(settings.group_commit_delay);
  node->CompleteSyncs();
  EXPECT_EQ(node->notified.size(), 1U);
}

TEST_F(SyncedClassTest, PolicyDecidesAgainOnAttemptThatWaitedTooLongForTheSync) {
  const std::unique_ptr<PipelineNode> node = MakeNode(settings);
  node->Submit(kPagamentoClass, "slow");
  node->AdvanceTime(settings.group_commit_delay);
  clock.now += std::chrono::milliseconds(80);
  node->CompleteSyncs();
  EXPECT_TRUE(node->calls.empty() || MessageOf(*node, node->calls[0]).attempts == 2);
  for (int i = 0; i < 4 && node->calls.empty(); ++i) {
    node->AdvanceTime(std::chrono::milliseconds(20));
    node->CompleteSyncs();
  }
  ASSERT_EQ(node->calls.size(), 1U);
  EXPECT_EQ(MessageOf(*node, node->calls[0]).attempts, 2);
}

}  // namespace
}  // namespace sagetally
