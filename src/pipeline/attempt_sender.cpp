#include "pipeline/attempt_sender.h"

namespace sagetally {
namespace {

// What the module knew when it chose the endpoint holds for so long: waits and drains may have come since.
constexpr Duration kFresh = std::chrono::milliseconds(50);

}  // namespace

void SendStage::Go(std::uint64_t number, const std::string& endpoint, Duration time_out) {
  Message* message = ledger_.Find(number);
  if (message == nullptr || message->end != End::kNone || message->out) return;
  message->out = true;
  message->attempts += 1;
  const Moment now = clock_.Stamp();
  message->out_since = now.wall;
  message->out_at = endpoint;
  if (histories_) message->history.push_back({now, endpoint, {}, Duration(0)});
  journal_.Attempted(*message);
  if (journal_.Safe(*message)) {
    Call(*message, endpoint, time_out);
  } else {
    waiting_[number] = {endpoint, time_out, now.wall};
  }
}

// A connection may come up long after the module chose to send: whether the destination still drops a repeat
// is judged when the bytes leave, from the first attempt on record.
void SendStage::Call(const Message& message, const std::string& endpoint, Duration time_out) {
  CallOrder order{message.number, &message.request, endpoint, time_out};
  const ClassSettings& c = classes_.at(static_cast<std::size_t>(message.request.message_class));
  if (message.may_have_run && c.effect == Effect::kKeyed) {
    order.write_within = *message.may_have_run + c.repeat_window - clock_.Now();
  }
  caller_.Call(order);
}

void SendStage::Progress() {
  const Time now = clock_.Now();
  std::vector<std::uint64_t> unsent = std::exchange(unsent_, {});
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const Message* message = ledger_.Find(at->first);
    if (message != nullptr && message->end == End::kNone) {
      if (!journal_.Safe(*message)) {
        ++at;
        continue;
      }
      if (now - at->second.since <= kFresh) {
        Call(*message, at->second.endpoint, at->second.time_out);
        at = waiting_.erase(at);
        continue;
      }
    }
    unsent.push_back(at->first);
    at = waiting_.erase(at);
  }
  for (const std::uint64_t number : unsent) {
    CallResult never_left;
    never_left.number = number;
    never_left.outcome = Outcome::kMoot;
    back_(never_left);
  }
}

}  // namespace sagetally
