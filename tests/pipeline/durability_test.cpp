// The pipeline over a journal whose disk fills up or is slow: no response, call or notification goes out
// before its record is durable.
#include <gtest/gtest.h>

#include "pipeline_node.h"

namespace sagetally {
namespace {

constexpr int kAviso = 0;
constexpr int kPagamento = 2;

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

// The disk is full once message "p" is on record, but not its attempt.
struct FullDiskTest : DurabilityTest {
  FullDiskTest() {
    files.plan = [this](std::uint64_t, std::string_view operation) {
      const bool fails = is_full && operation == "append" && ++appends > 1;
      return Step{fails ? Fault::kError : Fault::kNone, ENOSPC};
    };
    node->Submit(kPagamento, "p");
  }

  bool is_full = true;
  int appends = 0;
  const std::unique_ptr<PipelineNode> node = MakeNode();
};

TEST_F(FullDiskTest, CallWaitsAndNewMessagesAreRejected) {
  EXPECT_TRUE(node->calls.empty());
  EXPECT_FALSE(node->journal.is_writable());
  EXPECT_EQ(node->messages.pending_count(), 1);
  node->Submit(kPagamento, "later");
  EXPECT_EQ(node->responses.at("later").status, AdmissionStatus::kRejected);
  EXPECT_EQ(node->responses.at("later").retry_after, std::chrono::seconds(1));
  node->AdvanceTime(std::chrono::seconds(2));
  EXPECT_TRUE(node->calls.empty());
  EXPECT_TRUE(node->notified.empty());
}

TEST_F(FullDiskTest, DeliveryResumesByItselfOnceThereIsSpace) {
  node->Submit(kPagamento, "later");
  node->AdvanceTime(std::chrono::seconds(2));
  is_full = false;
  node->AdvanceTime(std::chrono::seconds(4));
  EXPECT_TRUE(node->journal.is_writable());
  ASSERT_EQ(node->calls.size(), 1U);
  EXPECT_EQ(node->responses.at("p").status, AdmissionStatus::kAccepted);
  EXPECT_EQ(MessageOf(*node, node->calls[0]).first_uncertain_attempt, std::nullopt);
  node->CompleteCall(Outcome::kOk);
  EXPECT_EQ(node->messages.size(), 0U);
  node->Submit(kPagamento, "again");
  EXPECT_EQ(node->responses.at("again").status, AdmissionStatus::kAccepted);
  EXPECT_EQ(node->calls.size(), 1U);
}

// A message that expires while the disk is full.
struct FullDiskAtCompletionTest : DurabilityTest {
  void SetUp() override {
    node->Submit(kPagamento, "p");
    ASSERT_EQ(node->calls.size(), 1U);
    files.plan = [](std::uint64_t, std::string_view operation) {
      return Step{operation == "append" ? Fault::kError : Fault::kNone, ENOSPC};
    };
    node->CompleteCall(Outcome::kReset);  // may have run, so the client has to be notified
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
  SyncedClassTest() { settings.class_durability[kPagamento] = Durability::kSynced; }

  JournalSettings settings = SmallJournal();
};

TEST_F(SyncedClassTest, ResponseCallAndNotificationWaitForTheDiskAndOtherClassesDoNot) {
  const std::unique_ptr<PipelineNode> node = MakeNode(settings);
  node->Submit(kAviso, "a");
  EXPECT_TRUE(node->responses.contains("a"));
  EXPECT_EQ(node->calls.size(), 1U);
  node->Submit(kPagamento, "p");
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

TEST_F(SyncedClassTest, AttemptThatWaitedTooLongForTheDiskIsDecidedAnew) {
  const std::unique_ptr<PipelineNode> node = MakeNode(settings);
  node->Submit(kPagamento, "slow");
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
