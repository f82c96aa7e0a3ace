#include "pipeline/admission_controller.h"

#include <algorithm>
#include <utility>

namespace sagetally {
namespace {

// While the journal has no room, for which it looks all the time, and to a client of a node that drains or
// ends.
constexpr Duration kComeAgain = std::chrono::seconds(1);

}  // namespace

void Admit::Take(std::vector<Request> requests, Reply reply) {
  if (takes && !takes()) return Refuse(requests, reply, {Verdict::kStopping, kComeAgain, "draining"});
  if (ledger_.held() + static_cast<int>(requests.size()) > most_held_) {
    return Refuse(requests, reply, {Verdict::kRefused, Duration(0), "all places are taken"});
  }
  const Time now = clock_.Now();
  std::vector<const Message*> taken;
  Waiting waiting;
  for (Request& request : requests) {
    Message message;
    message.deadline = now + request.time_left;
    message.request = std::move(request);
    message.answered = false;
    if (keep_ != nullptr) message.taken_at = now;
    const Message& added = ledger_.Add(std::move(message));
    taken.push_back(&added);
    waiting.numbers.push_back(added.number);
  }
  // What is owed goes before what is remembered for repeats' sake.
  bool on_record = journal_.Taken(taken);
  while (!on_record && ledger_.ForgetOldest()) on_record = journal_.Taken(taken);
  if (!on_record) {
    for (const Message* message : taken) {
      if (tally_ != nullptr) tally_->Refused(message->request.message_class);
    }
    for (const std::uint64_t number : waiting.numbers) ledger_.Remove(number);
    reply({Verdict::kRefused, kComeAgain, "no room on disk"});
    return;
  }
  for (const Message* message : taken) {
    if (keep_ != nullptr) keep_->Taken(*message);
    route_.Taken(*message);
  }
  waiting.reply = std::move(reply);
  waiting_.push_back(std::move(waiting));
}

void Admit::Refuse(const std::vector<Request>& requests, const Reply& reply, const Answer& answer) {
  for (const Request& request : requests) {
    if (tally_ != nullptr) tally_->Refused(request.message_class);
  }
  reply(answer);
}

bool Admit::TakeAgain(Message message) {
  if ((takes && !takes()) || ledger_.held() >= most_held_) return false;
  const Message& added = ledger_.Add(std::move(message));
  const Message* one[] = {&added};
  if (!journal_.Taken(one)) {
    ledger_.Remove(added.number);
    return false;
  }
  route_.Taken(added);
  return true;
}

void Admit::AnswerTaken() {
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    // Not yet safely on record: asked again when the journal has moved on.
    const bool safe = std::all_of(waiting.numbers.begin(), waiting.numbers.end(), [&](std::uint64_t number) {
      const Message* m = ledger_.Find(number);
      return m == nullptr || journal_.Safe(*m);
    });
    if (!safe) {
      waiting_.push_back(std::move(waiting));
      continue;
    }
    Message* only = waiting.numbers.size() == 1 ? ledger_.Find(waiting.numbers.front()) : nullptr;
    // Given up in the same step: the answer itself is the end, and no notice is owed.
    const bool refused = only != nullptr && only->end == End::kRefused && only->attempts == 0;
    const bool heard = waiting.reply(refused ? Answer{Verdict::kRefused, only->again, "no room"} : Answer());
    for (const std::uint64_t number : waiting.numbers) {
      Message* m = ledger_.Find(number);
      if (m == nullptr) continue;
      m->answered = true;
      if (!heard && m->end == End::kNone) {
        // The client closed before it was answered and hands the message in anew: this copy is withdrawn.
        route_.Withdrawn(*m);
        book_.End(*m, End::kOver);
      } else if (m->notice_owed && (refused || !heard)) {
        book_.Kept(number);  // the client knows its end, or hands it in anew: nothing to keep
        book_.Heard(number);
      } else {
        book_.Tell(*m);
      }
    }
  }
}

}  // namespace sagetally
