// Answers operators' requests about dead letters on the node's control socket. The requests are executed on
// the threads of the dead-letter store; this class itself is used on the event loop's thread only. Owned by
// DeadLetterService. The protocol is described in docs/kept.md, "The control socket".
#ifndef SAGETALLY_SRC_APP_DEAD_LETTER_CONTROL_H_
#define SAGETALLY_SRC_APP_DEAD_LETTER_CONTROL_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/dead_letter_manager.h"
#include "dead_letter/operator_requests.h"
#include "dead_letter/storage/worker.h"
#include "net/control_server.h"
#include "net/event_loop.h"
#include "time/clock.h"

namespace sagetally {

// The control socket of one node.
class DeadLetterControl {
 public:
  // `writer` executes the requests that change the store, `reader` all others. `classes` are the names of the
  // message classes by number. All references must outlive this object. Throws std::runtime_error if it can't
  // listen at `socket_path`.
  DeadLetterControl(EventLoop& loop, const std::string& socket_path, const std::vector<std::string>& classes,
                    const Clock& clock, dead_letter::DeadLetterManager& manager,
                    dead_letter::JobRunner& writer, dead_letter::JobRunner& reader);

 private:
  void OnRequest(std::string_view line, const ControlServer::Responder& respond);
  // Executes the request on a thread of the store, and responds on the loop's thread.
  void Execute(dead_letter::OperatorRequest request, const ControlServer::Responder& respond);
  nlohmann::json Status() const;

  const std::vector<std::string>& classes_;
  const Clock& clock_;
  dead_letter::DeadLetterManager& manager_;
  dead_letter::JobRunner& writer_;
  dead_letter::JobRunner& reader_;
  ControlServer server_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_DEAD_LETTER_CONTROL_H_
