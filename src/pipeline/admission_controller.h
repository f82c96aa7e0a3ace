// Admit: takes requests on, all of a submission or none, once they are on record; refuses at once what cannot
// be held.
#ifndef SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
#define SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_

#include <functional>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "pipeline/completion_handler.h"
#include "pipeline/router.h"
#include "time/clock.h"

namespace sagetally {

// Answers the client; false if it has gone without one.
using Reply = std::function<bool(const Answer&)>;

class Admit {
 public:
  Admit(Ledger& ledger, Journal& journal, Route& route, Book& book, const Clock& clock, int most_held,
        Keep* keep, Tally* tally)
      : ledger_(ledger),
        journal_(journal),
        route_(route),
        book_(book),
        clock_(clock),
        most_held_(most_held),
        keep_(keep),
        tally_(tally) {}

  void Take(std::vector<Request> requests, Reply reply);
  // A kept message that is sent again, with its history and no client; false if there is no room for it.
  bool TakeAgain(Message message);
  // After each step: answers what was taken in before it.
  void AnswerTaken();
  bool settled() const { return waiting_.empty(); }  // nobody waits for an answer
  // Whether messages are taken on at present; absent: they are.
  std::function<bool()> takes;

  // All of them, for one reason.
  void Refuse(const std::vector<Request>& requests, const Reply& reply, const Answer& answer);

 private:
  struct Waiting {
    std::vector<std::uint64_t> numbers;
    Reply reply;
  };

  Ledger& ledger_;
  Journal& journal_;
  Route& route_;
  Book& book_;
  const Clock& clock_;
  const int most_held_;
  Keep* keep_;    // may be null
  Tally* tally_;  // may be null
  std::vector<Waiting> waiting_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_ADMISSION_CONTROLLER_H_
