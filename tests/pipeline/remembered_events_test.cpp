// Tests that an event which has ended is recognised when it comes again, whatever takes up the disk and the
// memory meanwhile. Uses the real pipeline, journal and dispatch policy.
#include <gtest/gtest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "pipeline_node.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Indices of message classes in the configuration.
constexpr int kAvisoClass = 0;
constexpr int kPagamentoClass = 2;

constexpr std::size_t kLargeBody = 20'480;
constexpr std::size_t kMaxBody = 64 * 1024;

struct RememberedEvents : testing::Test {
  RememberedEvents() {
    settings.disk_budget = 3'000'000;
    settings.segment_bytes = 0;
    Restart();
  }
  void Restart() {
    node.reset();
    files->Restart();
    clock.now += milliseconds(700);
    node = std::make_unique<PipelineNode>(*files, clock, config, settings);
    node->messages.memory().SetLimit(memory_limit);
  }
  // Submits an event to destination 7 and returns the response, which must come at once.
  AdmissionResult Submit(const std::string& id, int message_class, std::size_t body_bytes) {
    Request request;
    request.id = "/test|" + id;
    request.message_class = message_class;
    request.destination = 7;
    request.time_left = seconds(8);
    request.idempotency_key = "key-" + id;
    request.body = std::string(body_bytes, 'b');
    request.protocol = IngressProtocol::kCloudEvents;
    request.attributes = {{"ce-id", id}, {"ce-source", "/test"}, {"ce-type", "t"}};
    std::optional<AdmissionResult> response;
    node->pipeline.request_validator.Submit({request}, [&](const AdmissionResult& result) {
      response = result;
      return true;
    });
    node->RunPending();
    CollectCalls();
    return response.value();
  }
  // Counts the calls that were made since the last time.
  void CollectCalls() {
    for (const CallRequest& call : node->calls) {
      if (counted_calls.insert(call.message_number).second) ++calls_of[call.request->id];
    }
  }
  void DeliverOldestCall() {
    counted_calls.erase(node->calls.front().message_number);
    node->CompleteCall(Outcome::kOk);
    CollectCalls();
  }

  const Config config = ConfigWithOneEndpoint();
  std::unique_ptr<FaultInjectingFileSystem> files = std::make_unique<FaultInjectingFileSystem>();
  TestClock clock;
  JournalSettings settings = SmallJournal();
  std::size_t memory_limit = 4'600'000;
  std::unique_ptr<PipelineNode> node;
  std::set<std::uint64_t> counted_calls;  // message numbers of the calls in flight
  std::map<std::string, int> calls_of;    // by request id
};

// Guards against review/6: a payment that ran a second time when it came again, because its end was forgotten
// for the bodies of later events, although the disk held little that was needed.
TEST_F(RememberedEvents, APaymentIsRememberedBehindManyLargeEvents) {
  ASSERT_EQ(Submit("pay", kPagamentoClass, 300).status, AdmissionStatus::kAccepted);
  DeliverOldestCall();
  for (int i = 0; i < 1000; ++i) {
    ASSERT_EQ(Submit("n" + std::to_string(i), kAvisoClass, kLargeBody).status, AdmissionStatus::kAccepted);
    DeliverOldestCall();
    node->AdvanceTime(milliseconds(10));
    if (i % 300 == 299) Restart();
  }
  for (int restarts = 0; restarts <= 1; ++restarts) {
    const AdmissionResult repeated = Submit("pay", kPagamentoClass, 300);
    EXPECT_EQ(repeated.status, AdmissionStatus::kAccepted);
    EXPECT_TRUE(repeated.is_repeat);
    Restart();
  }
  // The promise holds for the others as well, because an end takes up little without its body.
  for (int i = 0; i < 1000; ++i)
    EXPECT_TRUE(Submit("n" + std::to_string(i), kAvisoClass, kLargeBody).is_repeat);
  EXPECT_EQ(calls_of["/test|pay"], 1);
}

// The same while the bodies are those of events whose delivery is not certain yet.
TEST_F(RememberedEvents, APaymentIsRememberedBehindManyUnconfirmedDeliveries) {
  ASSERT_EQ(Submit("pay", kPagamentoClass, 300).status, AdmissionStatus::kAccepted);
  DeliverOldestCall();
  for (int i = 0; i < 200; ++i) {
    ASSERT_EQ(Submit("n" + std::to_string(i), kAvisoClass, kLargeBody).status, AdmissionStatus::kAccepted);
    std::swap(node->calls.front(), node->calls.back());
    node->ReportProvisionalResult(Outcome::kOk);
    node->AdvanceTime(milliseconds(10));
  }
  EXPECT_TRUE(Submit("pay", kPagamentoClass, 300).is_repeat);
  EXPECT_EQ(calls_of["/test|pay"], 1);
}

// Where the space suffices for payments alone, a new event is rejected rather than one of them forgotten.
TEST_F(RememberedEvents, ANewEventIsRejectedRatherThanAPaymentForgotten) {
  settings.disk_budget = 400'000;
  Restart();
  int count = 0;
  while (Submit("pay" + std::to_string(count), kPagamentoClass, 10).status == AdmissionStatus::kAccepted) {
    DeliverOldestCall();
    node->AdvanceTime(milliseconds(10));
    ASSERT_LT(++count, 1000);
  }
  EXPECT_GT(count, 300);
  EXPECT_EQ(Submit("n", kAvisoClass, 10).status, AdmissionStatus::kRejected);
  for (int i = 0; i < count; ++i)
    EXPECT_TRUE(Submit("pay" + std::to_string(i), kPagamentoClass, 10).is_repeat);
  node->AdvanceTime(MessageTable::kDeduplicationWindow + milliseconds(1));
  EXPECT_EQ(Submit("later", kPagamentoClass, 10).status, AdmissionStatus::kAccepted);
}

// Any order of submissions, ends, repetitions, restarts and pressure on disk and memory: no call of a payment
// is made twice within the time for which its end is remembered.
TEST_F(RememberedEvents, NoPaymentRunsTwiceInAnyOrderOfEvents) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    boost::random::mt19937_64 random(seed);
    const auto draw = [&](int max) { return boost::random::uniform_int_distribution<int>(0, max)(random); };
    node.reset();
    files = std::make_unique<FaultInjectingFileSystem>();
    calls_of.clear();
    counted_calls.clear();
    settings.disk_budget = 400'000 + static_cast<std::uint64_t>(draw(2'600'000));
    memory_limit = 300'000 + static_cast<std::size_t>(draw(2'000'000));
    Restart();
    std::vector<std::pair<std::string, int>> submitted;
    for (int step = 0; step < 1500; ++step) {
      node->AdvanceTime(milliseconds(draw(40)));
      CollectCalls();
      if (!node->notified.empty() && draw(5) == 0) {
        node->pipeline.completion_handler.OnNotificationAcknowledged(node->notified.back());
        node->notified.pop_back();
      }
      const int action = draw(99);
      if (action < 45) {
        const std::string id = std::to_string(submitted.size());
        const int message_class = draw(2);
        submitted.emplace_back(id, message_class);
        Submit(id, message_class,
               static_cast<std::size_t>(draw(4) == 0 ? draw(static_cast<int>(kMaxBody)) : draw(2000)));
      } else if (action < 70 && !submitted.empty()) {
        const auto& [id, message_class] =
            submitted.at(static_cast<std::size_t>(draw(static_cast<int>(submitted.size()) - 1)));
        Submit(id, message_class, 10);
      } else if (action < 98 && !node->calls.empty()) {
        std::swap(node->calls.front(),
                  node->calls[static_cast<std::size_t>(draw(static_cast<int>(node->calls.size()) - 1))]);
        const std::uint64_t number = node->calls.front().message_number;
        if (draw(3) == 0) {
          node->ReportProvisionalResult(Outcome::kOk);
          continue;
        }
        counted_calls.erase(number);
        node->CompleteCall(draw(9) == 0 ? Outcome::kReset : Outcome::kOk);
        CollectCalls();
      } else if (action >= 98) {
        Restart();
        counted_calls.clear();
        CollectCalls();
      }
    }
    for (const auto& [id, message_class] : submitted) {
      if (message_class != kPagamentoClass) continue;
      ASSERT_LE(calls_of["/test|" + id], 1) << id;
    }
  }
}

}  // namespace
}  // namespace sagetally
