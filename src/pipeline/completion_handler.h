// Book: the last stage. Each message's one end, on record before it is told.
#ifndef SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_
#define SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_

#include <set>

#include "core/message_table.h"
#include "core/ports.h"
#include "time/clock.h"

namespace sagetally {

class Book {
 public:
  Book(Ledger& ledger, Journal& journal, Teller& teller, const Clock& clock, Keep* keep, Tally* tally)
      : ledger_(ledger), journal_(journal), teller_(teller), clock_(clock), keep_(keep), tally_(tally) {}

  void End(Message& message, enum End end, Duration again = Duration(0));
  void Tell(Message& message);              // its end, if a notice is owed; then lets it go
  void Heard(std::uint64_t number);         // a notice arrived
  void NobodyToTell(std::uint64_t number);  // from within Tell: its end has no hearer
  void Owe(Message& message);               // to the store of kept messages, if it is; else lets it go
  void Kept(std::uint64_t number);          // the store has it, or never will
  void TellAgain();                         // after a restart: all that is owed
  void Progress();                          // tells what waited for the journal

  bool settled() const { return waiting_.empty(); }

 private:
  Ledger& ledger_;
  Journal& journal_;
  Teller& teller_;
  const Clock& clock_;
  Keep* keep_;                       // may be null
  Tally* tally_;                     // may be null
  std::set<std::uint64_t> waiting_;  // ended and answered, and not yet safe on record
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_PIPELINE_COMPLETION_HANDLER_H_
