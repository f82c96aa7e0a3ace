// Random lives of a node, and an account of its messages' ends kept by their clients and partners alone:
// each end moves exactly one count, in the process in which it happens.
#include <set>

#include "../pipeline/pipeline_node.h"

namespace sagetally {
namespace {

constexpr int kClasses = 3;

struct Account {  // of one process
  std::array<std::uint64_t, kClasses> passed{}, dropped{}, bad_gateway{}, gone{};
};

class Life {
 public:
  explicit Life(std::uint64_t seed) : random_(seed) { Restart(); }

  void Step() {
    switch (Draw(11)) {
      case 0:
      case 1:
      case 2:
        return HandIn(1 + (Draw(3) == 0 ? Draw(3) : 0));
      case 3:
        return Again();
      case 4:
        return Draw(3) == 0 ? Restart() : HandIn(1);
      case 5:
        return node_->Pass(std::chrono::milliseconds(1 << Draw(13)));  // up to beyond every deadline
      case 6:
        if (!node_->told.empty())
          node_->chain.completion_handler.OnNotificationAcknowledged(
              node_->told[Draw(int(node_->told.size()) - 1)]);
        return;
      case 7:
        draining_ = !draining_;
        return;
      default:
        return Return();
    }
  }

  void Check() {
    const std::string text = node_->figures.FormatStatsd({});
    const auto figure = [&](const std::string& name, int cls) {
      const std::string wanted = "balancer." + name + "." + names_[cls] + ":";
      return std::stoull(text.substr(text.find(wanted) + wanted.size()));
    };
    for (int cls = 0; cls < kClasses; ++cls) {
      const std::uint64_t dropped = figure("dropped", cls), bad = figure("bad_gateway", cls);
      assert(figure("passed", cls) == account_.passed[cls]);
      assert(dropped >= account_.dropped[cls] && bad >= account_.bad_gateway[cls]);
      // Who had left before the answer counts too, under either.
      assert(dropped + bad == account_.dropped[cls] + account_.bad_gateway[cls] + account_.gone[cls]);
    }
    std::size_t open = 0;
    for (const auto& [name, state] : messages_) open += state.taken && !state.ended ? 1 : 0;
    assert(node_->ledger.pending_count() == static_cast<int>(open));
  }
  int ends = 0, restarts = -1;

 private:
  struct Known {
    int cls = 0;
    bool taken = false, ended = false;
  };
  int Draw(int most) { return boost::random::uniform_int_distribution<int>(0, most)(random_); }

  void Restart() {
    node_.reset();
    disk_.Restart();
    account_ = Account();
    ++restarts;
    node_ = std::make_unique<Whole>(disk_, clock_, config_, SmallJournal(),
                                    [this](const Message& m) { Told(m); });
    node_->chain.admission.is_accepting = [this] { return !draining_; };
    node_->Settle();
  }
  void Told(const Message& m) {
    Known& known = messages_.at(m.request.id);
    if (std::exchange(known.ended, true)) return;  // told again: counted where it ended
    ++ends;
    ++(m.final_status == FinalStatus::kRejected ? account_.dropped : account_.bad_gateway)[known.cls];
  }
  Request Make(const std::string& id, int cls) {
    Request r;
    r.id = id;
    r.message_class = cls;
    r.destination = Draw(20) == 0 ? 8 : 7;  // nobody lives at 8
    r.time_left = std::chrono::milliseconds(1 + Draw(9000));
    r.body = std::string(Draw(4) == 0 ? Draw(12'000) : 0, 'b');  // so that the disk fills up now and then
    r.protocol = IngressProtocol::kCloudEvents;                  // these are remembered, and may come again
    return r;
  }
  void Submit(std::vector<Request> requests) {
    std::vector<std::string> ids;
    for (const Request& r : requests) {
      messages_[r.id].cls = r.message_class;
      ids.push_back(r.id);
    }
    const bool leaves = Draw(6) == 0;
    node_->chain.validator.Submit(std::move(requests), [this, ids, leaves](const AdmissionResult& answer) {
      for (const std::string& id : ids) Answered(messages_.at(id), answer, leaves);
      return !leaves;
    });
    node_->Settle();
  }
  void Answered(Known& known, const AdmissionResult& answer, bool left) {
    if (answer.status == AdmissionStatus::kInvalid) return;
    if (answer.status != AdmissionStatus::kAccepted) {
      assert(!known.taken);
      ++account_.dropped[known.cls];
      return;
    }
    if (known.taken) return;  // came before
    known.taken = true;
    if (left) known.ended = true, ++account_.gone[known.cls], ++ends;
  }

  void HandIn(int size) {
    std::vector<Request> requests;
    for (int i = 0; i < size; ++i)
      requests.push_back(Make("m" + std::to_string(next_++), Draw(kClasses - 1)));
    if (Draw(20) == 0) requests.back().time_left = Duration(0);  // malformed: none of them counts
    Submit(std::move(requests));
  }
  // One that is held, or whose end is remembered: the same answer, and no count.
  void Again() {
    for (const auto& [name, known] : messages_) {
      if (!known.taken || Draw(3) != 0) continue;
      Request r = Make(name, known.cls);
      r.destination = 7;
      const bool was_draining = std::exchange(draining_, false);
      if (node_->ledger.FindDuplicate(r) != nullptr &&
          node_->ledger.FindDuplicate(r)->final_status != FinalStatus::kRejected)
        Submit({r});
      draining_ = was_draining;
      return;
    }
  }
  void Return() {  // a call comes back
    if (node_->calls.empty()) return;
    const CallRequest order = node_->calls.front();
    const std::string id = order.request->id;
    static constexpr Outcome kOutcomes[] = {Outcome::kOk,       Outcome::kOk,      Outcome::kError,
                                            Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed,
                                            Outcome::kReset};
    const Outcome outcome = kOutcomes[Draw(6)];
    const bool over = outcome == Outcome::kRejected && Draw(3) == 0;
    Known& known = messages_.at(id);
    if ((outcome == Outcome::kOk || over) && !std::exchange(known.ended, true)) {
      ++ends;
      ++(over ? account_.bad_gateway : account_.passed)[known.cls];
    }
    node_->Finish(outcome, over);
  }

  const Config config_ = OneEndpoint();
  const std::vector<std::string> names_ = config_.site.classes;
  FaultInjectingFileSystem disk_;
  TestClock clock_;
  boost::random::mt19937_64 random_;
  std::unique_ptr<Whole> node_;
  Account account_;
  std::map<std::string, Known> messages_;
  int next_ = 0;
  bool draining_ = false;
};

void EachEndMovesOneCountThroughRandomLives() {
  int ends = 0, restarts = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    Life life(seed);
    for (int i = 0; i < 120; ++i) {
      life.Step();
      life.Check();
    }
    ends += life.ends;
    restarts += life.restarts;
  }
  std::fprintf(stderr, "%d ends over %d restarts\n", ends, restarts);
  assert(ends > 2000 && restarts > 200);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  EachEndMovesOneCountThroughRandomLives();
  std::puts("1 passed, 0 failed");
}
