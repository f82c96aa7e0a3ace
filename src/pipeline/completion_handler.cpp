#include "pipeline/completion_handler.h"

#include <utility>
#include <vector>

namespace sagetally {

void Book::End(Message& message, enum End end, Duration again) {
  if (message.end != End::kNone) return;
  if (keep_ != nullptr) {
    keep_->Ending(message, end);
  } else if (message.kept_as != 0) {
    message.kept_owed = true;  // guards against a second resend: the store still calls it claimed
  }
  ledger_.End(message, end, again, clock_.Now());
  journal_.Ended(message);
  if (tally_ != nullptr) tally_->Ended(message);
  if (message.answered) Tell(message);
}

void Book::Tell(Message& message) {
  if (!journal_.Safe(message)) {
    waiting_.insert(message.number);
    return;
  }
  if (message.notice_owed) teller_.Tell(message);
  Owe(message);
}

void Book::Owe(Message& message) {
  // Where messages are kept no more, what is owed to the store waits in the journal until they are again.
  if (keep_ != nullptr && message.kept_owed && message.end != End::kNone && message.answered &&
      !message.out) {
    keep_->Owed(message);
  }
  ledger_.Settle(message);
}

void Book::Kept(std::uint64_t number) {
  Message* message = ledger_.Find(number);
  if (message == nullptr || !message->kept_owed) return;
  journal_.Kept(*message);
  ledger_.Kept(*message);
}

void Book::NobodyToTell(std::uint64_t number) {
  if (Message* message = ledger_.Find(number)) message->notice_owed = false;
}

void Book::Heard(std::uint64_t number) {
  Message* message = ledger_.Find(number);
  if (message == nullptr || !message->notice_owed) return;
  message->notice_owed = false;
  journal_.Told(*message);
  ledger_.Settle(*message);
}

void Book::Progress() {
  for (const std::uint64_t number : std::exchange(waiting_, {})) {
    if (Message* message = ledger_.Find(number)) Tell(*message);
  }
}

void Book::TellAgain() {
  std::vector<std::uint64_t> owed;
  for (const auto& [number, message] : ledger_.messages()) {
    if (message.notice_owed || message.kept_owed) owed.push_back(number);
  }
  for (const std::uint64_t number : owed) {
    Tell(*ledger_.Find(number));
  }
}

}  // namespace sagetally
