// Runs random sequences of events, including restarts, on a dispatcher. The simulated clients and endpoints
// count the completed messages independently. Each completion must increment exactly one counter of the
// metrics, in the process in which the message completes.
#include <set>

#include "../pipeline/pipeline_node.h"

namespace sagetally {
namespace {

constexpr int kClasses = 3;

// Completions and rejections that clients and endpoints have observed in one process, by class.
struct ExpectedCounts {
  std::array<std::uint64_t, kClasses> delivered{};
  std::array<std::uint64_t, kClasses> rejected{};
  std::array<std::uint64_t, kClasses> failed{};
  // Messages that were rejected or failed; their clients left before they could observe which.
  std::array<std::uint64_t, kClasses> client_left{};
};

// Runs random events and restarts on one dispatcher.
class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed) : random_(seed) { Restart(); }

  void Step() {
    switch (Draw(11)) {
      case 0:
      case 1:
      case 2:
        return SubmitNew(1 + (Draw(3) == 0 ? Draw(3) : 0));
      case 3:
        return SubmitDuplicate();
      case 4:
        return Draw(3) == 0 ? Restart() : SubmitNew(1);
      case 5:
        // Advances by 1 ms to 8.192 s. The messages' deadlines are at most 9.001 s after their submission.
        return node_->AdvanceTime(std::chrono::milliseconds(1 << Draw(13)));
      case 6:
        return AcknowledgeNotification();
      case 7:
        draining_ = !draining_;
        return;
      default:
        return CompleteCall();
    }
  }

  void Check() {
    const std::string text = node_->metrics.FormatStatsd({});
    const auto counter = [&](const std::string& name, int message_class) {
      const std::string prefix = "balancer." + name + "." + class_names_[message_class] + ":";
      return std::stoull(text.substr(text.find(prefix) + prefix.size()));
    };
    for (int i = 0; i < kClasses; ++i) {
      const std::uint64_t rejected = counter("dropped", i);
      const std::uint64_t failed = counter("bad_gateway", i);
      assert(counter("passed", i) == expected_.delivered[i]);
      assert(rejected >= expected_.rejected[i] && failed >= expected_.failed[i]);
      // Messages whose clients left before the response are counted as rejected or as failed.
      assert(rejected + failed == expected_.rejected[i] + expected_.failed[i] + expected_.client_left[i]);
    }
    std::size_t pending = 0;
    for (const auto& [id, state] : messages_) pending += state.accepted && !state.completed ? 1 : 0;
    assert(node_->messages.pending_count() == static_cast<int>(pending));
  }

  int completions = 0;
  int restarts = -1;  // -1, as the first start also increments it

 private:
  struct KnownMessage {
    int message_class = 0;
    bool accepted = false;
    bool completed = false;
  };

  // Returns a random number from 0 to `max`.
  int Draw(int max) { return boost::random::uniform_int_distribution<int>(0, max)(random_); }

  void Restart() {
    node_.reset();
    disk_.Restart();
    expected_ = ExpectedCounts();
    ++restarts;
    node_ = std::make_unique<PipelineNode>(disk_, clock_, config_, SmallJournal(),
                                           [this](const Message& message) { OnNotified(message); });
    node_->pipeline.admission_controller.is_accepting = [this] { return !draining_; };
    node_->RunPending();
  }
  void OnNotified(const Message& message) {
    KnownMessage& known = messages_.at(message.request.id);
    // A repeated notification is not counted: the message was counted when it completed.
    if (std::exchange(known.completed, true)) return;
    ++completions;
    const bool is_rejected = message.final_status == FinalStatus::kRejected;
    ++(is_rejected ? expected_.rejected : expected_.failed)[known.message_class];
  }
  void AcknowledgeNotification() {
    if (node_->notified.empty()) return;
    const int last = static_cast<int>(node_->notified.size()) - 1;
    node_->pipeline.completion_handler.OnNotificationAcknowledged(node_->notified[Draw(last)]);
  }

  Request MakeRequest(const std::string& id, int message_class) {
    Request request;
    request.id = id;
    request.message_class = message_class;
    request.destination = Draw(20) == 0 ? 8 : 7;  // destination 8 has no endpoint
    request.time_left = std::chrono::milliseconds(1 + Draw(9000));
    request.body =
        std::string(Draw(4) == 0 ? Draw(12'000) : 0, 'b');  // large bodies fill the disk now and then
    // CloudEvents are remembered after completion and may be submitted again.
    request.protocol = IngressProtocol::kCloudEvents;
    return request;
  }
  void Submit(std::vector<Request> requests) {
    std::vector<std::string> ids;
    for (const Request& request : requests) {
      messages_[request.id].message_class = request.message_class;
      ids.push_back(request.id);
    }
    const bool client_leaves = Draw(6) == 0;
    node_->pipeline.request_validator.Submit(std::move(requests),
                                             [this, ids, client_leaves](const AdmissionResult& result) {
                                               for (const std::string& id : ids) {
                                                 OnAdmission(messages_.at(id), result, client_leaves);
                                               }
                                               return !client_leaves;
                                             });
    node_->RunPending();
  }
  void OnAdmission(KnownMessage& known, const AdmissionResult& result, bool client_left) {
    if (result.status == AdmissionStatus::kInvalid) return;
    if (result.status != AdmissionStatus::kAccepted) {
      assert(!known.accepted);
      ++expected_.rejected[known.message_class];
      return;
    }
    if (known.accepted) return;  // a duplicate
    known.accepted = true;
    if (!client_left) return;
    known.completed = true;
    ++expected_.client_left[known.message_class];
    ++completions;
  }

  void SubmitNew(int size) {
    std::vector<Request> requests;
    for (int i = 0; i < size; ++i) {
      const std::string id = "m" + std::to_string(next_message_id_++);
      requests.push_back(MakeRequest(id, Draw(kClasses - 1)));
    }
    // A malformed message: no message of the request is counted.
    if (Draw(20) == 0) requests.back().time_left = Duration(0);
    Submit(std::move(requests));
  }
  // Submits a duplicate of a message that is pending or whose completion is remembered. It gets the same
  // response and is not counted.
  void SubmitDuplicate() {
    for (const auto& [id, known] : messages_) {
      if (!known.accepted || Draw(3) != 0) continue;
      Request request = MakeRequest(id, known.message_class);
      request.destination = 7;
      const bool was_draining = std::exchange(draining_, false);
      const Message* earlier = node_->messages.FindDuplicate(request);
      if (earlier != nullptr && earlier->final_status != FinalStatus::kRejected) Submit({request});
      draining_ = was_draining;
      return;
    }
  }
  // Completes the oldest call in flight with a random outcome.
  void CompleteCall() {
    if (node_->calls.empty()) return;
    static constexpr Outcome kOutcomes[] = {Outcome::kOk,       Outcome::kOk,      Outcome::kError,
                                            Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed,
                                            Outcome::kReset};
    KnownMessage& known = messages_.at(node_->calls.front().request->id);
    const Outcome outcome = kOutcomes[Draw(6)];
    // Whether the endpoint reports the message as expired.
    const bool is_expired = outcome == Outcome::kRejected && Draw(3) == 0;
    if ((outcome == Outcome::kOk || is_expired) && !std::exchange(known.completed, true)) {
      ++completions;
      ++(is_expired ? expected_.failed : expected_.delivered)[known.message_class];
    }
    node_->CompleteCall(outcome, is_expired);
  }

  const Config config_ = ConfigWithOneEndpoint();
  const std::vector<std::string> class_names_ = config_.site.classes;
  FaultInjectingFileSystem disk_;
  TestClock clock_;
  boost::random::mt19937_64 random_;
  std::unique_ptr<PipelineNode> node_;
  ExpectedCounts expected_;
  std::map<std::string, KnownMessage> messages_;
  int next_message_id_ = 0;
  bool draining_ = false;
};

void EachCompletionIncrementsOneCounterInRandomHistories() {
  int completions = 0;
  int restarts = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    RandomHistory history(seed);
    for (int i = 0; i < 120; ++i) {
      history.Step();
      history.Check();
    }
    completions += history.completions;
    restarts += history.restarts;
  }
  std::fprintf(stderr, "%d completions over %d restarts\n", completions, restarts);
  assert(completions > 2000 && restarts > 200);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  EachCompletionIncrementsOneCounterInRandomHistories();
  std::puts("1 passed, 0 failed");
}
