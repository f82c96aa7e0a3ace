// The chain of stages as one: take in, admit, route, send, relay, book.
#ifndef SAGETALLY_SRC_STAGES_CHAIN_H_
#define SAGETALLY_SRC_STAGES_CHAIN_H_

#include "stages/admit.h"
#include "stages/book.h"
#include "stages/intake.h"
#include "stages/relay.h"
#include "stages/route.h"
#include "stages/send.h"

namespace sagetally {

struct Chain {
  Chain(const SiteSettings& site, std::uint64_t seed, Ledger& ledger, Journal& journal, Caller& caller,
        Teller& teller, Host& host, const Clock& clock)
      : ledger(ledger),
        book(ledger, journal, teller, clock),
        send(ledger, journal, caller, clock),
        route(Sender(site.module, seed), ledger, send, book, caller, host, clock),
        relay(ledger, journal, route, book, clock),
        admit(ledger, journal, route, book, clock, site.module.most_held),
        intake(site, ledger, route, admit) {}

  // After a restart: every message still owed goes to the module with its history, and every end not yet
  // heard is told again. The list of endpoints must be known by then.
  void Resume() {
    for (const auto& [number, message] : ledger.messages()) {
      if (message.end == End::kNone) route.Taken(message);
    }
    book.TellAgain();
  }

  void Step() {
    route.Step();
    admit.AnswerTaken();
  }

  Ledger& ledger;
  Book book;
  SendStage send;
  Route route;
  Relay relay;
  Admit admit;
  Intake intake;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_STAGES_CHAIN_H_
