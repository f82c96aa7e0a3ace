// Dead letters within a dispatcher: owns the manager, the store's two threads and the control socket. All on
// the loop's thread.
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

class DeadLetterService {
 public:
  // Redrive rules that were read from their file and are not yet in use.
  struct LoadedRules {
    std::shared_ptr<const dead_letter::RuleSet> rules;
    std::string text;
  };

  // Loads the redrive rules. Throws std::runtime_error naming the file and place at fault in them.
  DeadLetterService(EventLoop& loop, Logger& log, const Config& config, const DeadLetterSettings& settings,
                    MessageTable& messages, const Clock& clock);
  ~DeadLetterService();

  // Takes over dead letters and redrives them by `pipeline`, which must outlive this object.
  // `journal_is_new`: nothing was on record in the journal, so it may have been lost. A control socket that
  // can't be opened is logged only.
  void Start(MessagePipeline& pipeline, bool journal_is_new);
  // No more redrives are begun.
  void Stop() { manager_.Stop(); }

  // The rules as their file has them now. Throws as the constructor does.
  LoadedRules LoadRules() const;
  void UseRules(LoadedRules rules);

  DeadLetterSink* sink() { return &manager_; }
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
  dead_letter::Worker reader_;  // on its own, so that operators' reading never delays a transfer to the store
  Timer work_timer_;
  dead_letter::DeadLetterManager manager_;
  std::unique_ptr<DeadLetterControl> control_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_
