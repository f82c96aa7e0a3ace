// Tests that a request which comes more than once makes one message and has one answer: whatever the answer
// was, and also after a restart. Uses the real pipeline, journal and dispatch policy.
#include <gtest/gtest.h>

#include "core/id_history.h"
#include "journal/id_log.h"
#include "pipeline_node.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Indices of message classes in the configuration.
constexpr int kAvisoClass = 0;
constexpr int kPagamentoClass = 2;

struct RepeatedRequests : testing::Test {
  std::unique_ptr<PipelineNode> MakeNode() {
    return std::make_unique<PipelineNode>(files, clock, config, settings);
  }
  void Restart() {
    node.reset();
    files.Restart();
    clock.now += milliseconds(700);
    node = MakeNode();
  }
  // Submits a request to destination 7, or to one without endpoints, and returns the response, which must
  // come at once.
  AdmissionResult Submit(const std::string& id, int message_class = kAvisoClass, int destination = 7) {
    std::optional<AdmissionResult> response;
    SubmitFor(id, message_class, destination, [&](const AdmissionResult& result) {
      response = result;
      return true;
    });
    return response.value();
  }
  void SubmitFor(const std::string& id, int message_class, int destination, AdmissionCallback respond) {
    Request request;
    request.id = id;
    request.message_class = message_class;
    request.destination = destination;
    request.time_left = seconds(8);
    node->pipeline.request_validator.Submit({request}, std::move(respond));
    node->RunPending();
  }
  void EndUndelivered(const std::string& id) {
    ASSERT_EQ(Submit(id, kPagamentoClass).status, AdmissionStatus::kAccepted);
    node->CompleteCall(Outcome::kReset);
    ASSERT_EQ(node->notified.size(), 1U);
    node->pipeline.completion_handler.OnNotificationAcknowledged(node->notified.front());
    ASSERT_EQ(node->messages.size(), 0U);
  }

  const Config config = ConfigWithOneEndpoint();
  FaultInjectingFileSystem files;
  TestClock clock;
  JournalSettings settings = SmallJournal();
  std::unique_ptr<PipelineNode> node = MakeNode();
};

TEST_F(RepeatedRequests, ARejectedIdIsRejectedAgainAlsoAfterARestart) {
  constexpr int kUnknownDestination = 99;
  EXPECT_EQ(Submit("a", kAvisoClass, kUnknownDestination).status, AdmissionStatus::kRejected);
  for (int restarts = 0; restarts <= 2; ++restarts) {
    const AdmissionResult repeated = Submit("a");
    EXPECT_EQ(repeated.status, AdmissionStatus::kRejected);
    EXPECT_TRUE(repeated.is_repeat);
    EXPECT_TRUE(node->calls.empty());
    Restart();
  }
}

TEST_F(RepeatedRequests, ADeliveredIdIsNotSentAgainAlsoAfterARestart) {
  EXPECT_EQ(Submit("a").status, AdmissionStatus::kAccepted);
  node->CompleteCall(Outcome::kOk);
  for (int restarts = 0; restarts <= 2; ++restarts) {
    const AdmissionResult repeated = Submit("a");
    EXPECT_EQ(repeated.status, AdmissionStatus::kAccepted);
    EXPECT_TRUE(repeated.is_repeat);
    EXPECT_TRUE(node->calls.empty());
    Restart();
  }
}

TEST_F(RepeatedRequests, AnIdWhoseNoticeIsAcknowledgedIsNotSentAgainAlsoAfterARestart) {
  EndUndelivered("a");
  for (int restarts = 0; restarts <= 2; ++restarts) {
    EXPECT_TRUE(Submit("a", kPagamentoClass).is_repeat);
    EXPECT_TRUE(node->calls.empty());
    Restart();
  }
}

// The records of the ids leave the journal with their segments.
TEST_F(RepeatedRequests, IdsAreRememberedAfterTheirSegmentsWereDropped) {
  settings.disk_budget = 600'000;
  Restart();
  for (int i = 0; i < 2000; ++i) {
    ASSERT_EQ(Submit("m" + std::to_string(i)).status, AdmissionStatus::kAccepted);
    node->CompleteCall(Outcome::kOk);
    node->AdvanceTime(milliseconds(5));
  }
  ASSERT_GT(node->journal.counters().segments_dropped, 0U);
  Restart();
  for (int i = 0; i < 2000; ++i) EXPECT_TRUE(Submit("m" + std::to_string(i)).is_repeat) << i;
  EXPECT_TRUE(node->calls.empty());
}

TEST_F(RepeatedRequests, AnIdIsForgottenOnceNoCopyCanComeAnyMore) {
  EXPECT_EQ(Submit("a").status, AdmissionStatus::kAccepted);
  node->CompleteCall(Outcome::kOk);
  clock.now += seconds(8) + IdHistory::kMaxRequestDelay - milliseconds(1);
  EXPECT_TRUE(Submit("a").is_repeat);
  clock.now += seconds(2);
  EXPECT_FALSE(Submit("a").is_repeat);
  EXPECT_EQ(node->calls.size(), 1U);
}

TEST_F(RepeatedRequests, NewIdsAreRejectedWhileTooManyAreRemembered) {
  Request request;
  for (std::size_t i = 0; i < IdHistory::kMaxIds; ++i) {
    request.id = "m" + std::to_string(i);
    node->messages.id_history().Add(request, SubmissionOutcome::kAccepted, clock.now, clock.now);
  }
  const AdmissionResult rejected = Submit("new");
  EXPECT_EQ(rejected.status, AdmissionStatus::kRejected);
  EXPECT_GT(rejected.retry_after, Duration(0));
  EXPECT_TRUE(Submit("m0").is_repeat);
  clock.now += IdHistory::kMinRetention + milliseconds(1);
  EXPECT_EQ(Submit("newer").status, AdmissionStatus::kAccepted);
  EXPECT_LE(node->messages.id_history().size(), IdHistory::kMaxIds);
}

// The records of class pagamento are synced before its clients get their responses.
struct RepeatedRequestsOfASyncedClass : RepeatedRequests {
  RepeatedRequestsOfASyncedClass() {
    node.reset();
    files.Restart();
    settings.class_durability[kPagamentoClass] = Durability::kSynced;
    node = MakeNode();
  }
  // A client whose connection may close before its response.
  struct WaitingClient {
    bool is_connected = true;
    std::optional<AdmissionResult> response;
  };
  void SubmitFor(WaitingClient& client, const std::string& id) {
    RepeatedRequests::SubmitFor(id, kPagamentoClass, 7, [&client](const AdmissionResult& result) {
      if (client.is_connected) client.response = result;
      return client.is_connected;
    });
  }
  void Sync() {
    node->AdvanceTime(settings.group_commit_delay);
    node->CompleteSyncs();
  }

  WaitingClient first;
  WaitingClient second;
};

TEST_F(RepeatedRequestsOfASyncedClass, ACopyIsAnsweredNoEarlierThanItsOriginal) {
  SubmitFor(first, "a");
  SubmitFor(second, "a");
  EXPECT_FALSE(second.response);
  Sync();
  EXPECT_EQ(first.response.value().status, AdmissionStatus::kAccepted);
  EXPECT_EQ(second.response.value().status, AdmissionStatus::kAccepted);
  EXPECT_TRUE(second.response->is_repeat);
  EXPECT_EQ(node->calls.size(), 1U);
}

// The connection of a client closes while its request waits, and it sends the request once more.
TEST_F(RepeatedRequestsOfASyncedClass, AMessageIsNotWithdrawnWhileAnotherConnectionWaitsForIt) {
  SubmitFor(first, "a");
  first.is_connected = false;
  SubmitFor(second, "a");
  Sync();
  EXPECT_EQ(second.response.value().status, AdmissionStatus::kAccepted);
  EXPECT_EQ(node->messages.pending_count(), 1);
  EXPECT_EQ(node->calls.size(), 1U);
}

TEST_F(RepeatedRequestsOfASyncedClass, AWithdrawnMessageIsAcceptedAgainOnlyWhileItsClientMayWait) {
  for (int i = 0; i < config.site.policy.max_concurrent_calls; ++i) Submit("out" + std::to_string(i));
  const std::size_t calls = node->calls.size();
  for (const std::string id : {"soon", "late"}) {
    WaitingClient gone;
    WaitingClient resent;
    const int pending = node->messages.pending_count();
    SubmitFor(gone, id);
    gone.is_connected = false;
    Sync();
    EXPECT_EQ(node->messages.pending_count(), pending);
    clock.now += id == "soon" ? DuplicateDetector::kClientTimeout / 2 : DuplicateDetector::kClientTimeout * 2;
    SubmitFor(resent, id);
    Sync();
    EXPECT_EQ(resent.response.value().status,
              id == "soon" ? AdmissionStatus::kAccepted : AdmissionStatus::kWithdrawn);
    EXPECT_EQ(node->calls.size(), calls);
  }
}

// A client may have gone when its message could be sent.
TEST_F(RepeatedRequestsOfASyncedClass, NothingIsForwardedForAClientThatHasGoneBeforeItsResponse) {
  SubmitFor(first, "a");
  first.is_connected = false;
  Sync();
  node->AdvanceTime(seconds(1));
  EXPECT_TRUE(node->calls.empty());
  EXPECT_EQ(node->messages.size(), 0U);
}

// The client of an event has gone before its response, and submits the event again.
TEST_F(RepeatedRequestsOfASyncedClass, AnEventThatWasWithdrawnIsDeliveredWhenItComesAgain) {
  const auto submit = [this](WaitingClient& client) {
    Request request;
    request.id = "source event";
    request.protocol = IngressProtocol::kCloudEvents;
    request.message_class = kPagamentoClass;
    request.destination = 7;
    request.time_left = seconds(8);
    node->pipeline.request_validator.Submit({request}, [&client](const AdmissionResult& result) {
      if (client.is_connected) client.response = result;
      return client.is_connected;
    });
    node->RunPending();
  };
  submit(first);
  first.is_connected = false;
  Sync();
  clock.now += seconds(1);
  submit(second);
  Sync();
  EXPECT_EQ(second.response.value().status, AdmissionStatus::kAccepted);
  EXPECT_EQ(node->calls.size(), 1U);
  EXPECT_TRUE(node->notified.empty());
}

TEST(IdLog, SkipsDamagedEntriesAndEntriesOfAnotherJournal) {
  const RememberedId id{0x1234567890abcdef, Time(0), Time(seconds(1'700'000'000)),
                        SubmissionOutcome::kShuttingDown};
  const std::string entry = EncodeIdEntry(id, 7);
  EXPECT_EQ(DecodeIdEntry(entry, 7), id);
  EXPECT_EQ(DecodeIdEntry(entry, 8), std::nullopt);
  EXPECT_EQ(DecodeIdEntry(entry.substr(1), 7), std::nullopt);
  for (std::size_t i = 0; i < entry.size(); ++i) {
    std::string damaged = entry;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    EXPECT_EQ(DecodeIdEntry(damaged, 7), std::nullopt);
  }
}

}  // namespace
}  // namespace sagetally
