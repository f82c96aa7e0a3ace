// Stores and redrives the dead letters of a dispatcher: owns the dead-letter manager, the two threads of the
// store and the control socket. Owned by the Dispatcher; used on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_
#define SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "app/dead_letter_control.h"
#include "config/config.h"
#include "config/node_file.h"
#include "dead_letter/dead_letter_manager.h"
#include "dead_letter/storage/worker.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/wakeup_descriptor.h"
#include "pipeline/message_pipeline.h"
#include "time/clock.h"

namespace sagetally {

// The dead letters of one dispatcher.
class DeadLetterService {
 public:
  // Redrive rules that have been read from their file and are not used yet, with the text of that file.
  struct LoadedRules {
    std::shared_ptr<const dead_letter::RuleSet> rules;
    std::string text;
  };

  // Loads the redrive rules. `loop`, `log`, `messages` and `clock` must outlive this object. Throws
  // std::runtime_error that names the file of the rules and the position of the error.
  DeadLetterService(EventLoop& loop, Logger& log, const Config& config, const DeadLetterSettings& settings,
                    MessageTable& messages, const Clock& clock);
  ~DeadLetterService();

  // Starts to store dead letters and to redrive them through `pipeline`, which must outlive this object.
  // `journal_is_new` says that the journal held no record at the start, so it may have been lost. Failure to
  // open the control socket is only logged.
  void Start(MessagePipeline& pipeline, bool journal_is_new);
  // Starts no more redrives from now on. Dead letters are still stored.
  void Stop() { manager_.Stop(); }

  // Reads the rules from their file, without using them. Throws what the constructor throws.
  LoadedRules LoadRules() const;
  // Uses `rules` from now on.
  void UseRules(LoadedRules rules);

  // The interface by which the pipeline passes messages on. Never null.
  DeadLetterSink* sink() { return &manager_; }
  // The manager, which also counts what happens to dead letters.
  dead_letter::DeadLetterManager& manager() { return manager_; }

 private:
  void OpenControlSocket();

  EventLoop& loop_;
  Logger& log_;
  const DeadLetterSettings settings_;
  const std::vector<std::string> classes_;
  const Clock& clock_;
  const std::string folder_;
  const std::string socket_path_;
  WakeupDescriptor result_wakeup_;
  dead_letter::Worker writer_;
  // A thread of its own, so that operators' queries never delay the transfer of messages to the store.
  dead_letter::Worker reader_;
  Timer work_timer_;
  dead_letter::DeadLetterManager manager_;
  std::unique_ptr<DeadLetterControl> control_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_
