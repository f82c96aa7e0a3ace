// The chain of stages as one: take in, admit, route, send, relay, book.
#ifndef SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_
#define SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_

#include "pipeline/admission_controller.h"
#include "pipeline/attempt_sender.h"
#include "pipeline/completion_handler.h"
#include "pipeline/outcome_handler.h"
#include "pipeline/request_validator.h"
#include "pipeline/router.h"

namespace sagetally {

struct Chain {
  Chain(const SiteSettings& site, std::uint64_t seed, Ledger& ledger, Journal& journal, Caller& caller,
        Teller& teller, Host& host, const Clock& clock, Keep* keep = nullptr, Tally* tally = nullptr)
      : ledger(ledger),
        keep(keep),
        book(ledger, journal, teller, clock, keep, tally),
        send(site.module.classes, ledger, journal, caller, clock, keep != nullptr,
             [this](const CallResult& result) { relay.Back(result); }),
        route(Sender(site.module, seed), ledger, send, book, caller, host, clock),
        relay(ledger, journal, route, book, clock, keep, memory),
        admit(ledger, journal, route, book, clock, site.module.most_held, keep, tally),
        intake(site, ledger, route, admit, keep) {}

  // After a restart: every message still owed goes to the module with its history, and every end not yet
  // heard is told again. The list of endpoints must be known by then.
  void Resume() {
    std::vector<std::uint64_t> forbidden;
    for (const auto& [number, message] : ledger.messages()) {
      if (message.end != End::kNone || message.out) continue;  // out: with an earlier process
      if (message.request.message_class == kNoClass || (keep != nullptr && !keep->MayGoOn(message))) {
        forbidden.push_back(number);
      } else {
        route.Taken(message);
      }
    }
    for (const std::uint64_t number : forbidden) {
      book.End(*ledger.Find(number), End::kFailed);
    }
    book.TellAgain();
  }

  // What waited for the journal may go on.
  void Progress() {
    send.Progress();
    book.Progress();
    admit.AnswerTaken();
  }

  // Nothing waits for the journal: what was said has been acted upon.
  bool Settled() const { return admit.settled() && send.settled() && book.settled(); }

  void Step() {
    route.Step();
    admit.AnswerTaken();
  }

  Ledger& ledger;
  Keep* keep;  // may be null
  AttemptMemory memory;
  Book book;
  SendStage send;
  Route route;
  Relay relay;
  Admit admit;
  Intake intake;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_MESSAGE_PIPELINE_H_
