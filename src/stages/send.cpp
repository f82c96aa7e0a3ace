#include "stages/send.h"

namespace sagetally {

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
  caller_.Call({number, &message->request, endpoint, time_out});
}

}  // namespace sagetally
