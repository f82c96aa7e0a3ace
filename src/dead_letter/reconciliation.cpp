#include "dead_letter/reconciliation.h"

#include <memory>

namespace sagetally::dead_letter {

std::set<DeadLetterId> Reconciliation::RedrivesInFlight() const {
  std::set<DeadLetterId> in_flight;
  for (const auto& [number, message] : context_.messages.messages()) {
    const bool is_open = message.final_status == FinalStatus::kPending || message.dead_letter_pending;
    if (message.redrive_number != 0 && is_open) {
      in_flight.insert({message.redrive_node, message.redrive_number});
    }
  }
  return in_flight;
}

void Reconciliation::Start() {
  if (is_running_ || redrives_.is_claiming()) return;
  const auto findings = std::make_shared<Findings>();
  is_running_ = context_.jobs.Run(
      [findings, in_flight = RedrivesInFlight(), journal_lost = is_journal_lost_, now = context_.clock.Now(),
       node = context_.settings.node](Database& database) {
        findings->claims_given_up = database.Reconcile(in_flight, journal_lost, now);
        findings->identities = database.Identities();
        findings->highest_number = database.HighestNumber(node);
      },
      [this, findings](const JobError* error) {
        is_running_ = false;
        if (error != nullptr) {
          context_.on_store_error(*error);
        } else {
          OnReconciled(*findings);
        }
        context_.run_due_work();
      });
}

void Reconciliation::OnReconciled(const Findings& findings) {
  health_.OnSuccess();
  is_done_ = true;
  is_journal_lost_ = false;
  redrives_.ForgetGeneration();
  for (const std::uint64_t identity : findings.identities) resubmissions_.AddRedrivable(identity);
  context_.messages.SkipNumbersBelow(findings.highest_number + 1);
  context_.log.Info("dead_letter.reconciled", {{"claims_given_up", findings.claims_given_up},
                                               {"in_flight", redrives_.identity_count()}});
}

}  // namespace sagetally::dead_letter
