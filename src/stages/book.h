// Book: the last stage. Each message's one end, on record before it is told.
#ifndef SAGETALLY_SRC_STAGES_BOOK_H_
#define SAGETALLY_SRC_STAGES_BOOK_H_

#include "clock/clock.h"
#include "core/ledger.h"
#include "core/ports.h"

namespace sagetally {

class Book {
 public:
  Book(Ledger& ledger, Journal& journal, Teller& teller, const Clock& clock)
      : ledger_(ledger), journal_(journal), teller_(teller), clock_(clock) {}

  void End(Message& message, enum End end, Duration again = Duration(0));
  void Tell(Message& message);              // its end, if a notice is owed; then lets it go
  void Heard(std::uint64_t number);         // a notice arrived
  void NobodyToTell(std::uint64_t number);  // from within Tell: its end has no hearer
  void TellAgain();                         // after a restart: all that is owed

 private:
  Ledger& ledger_;
  Journal& journal_;
  Teller& teller_;
  const Clock& clock_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_STAGES_BOOK_H_
