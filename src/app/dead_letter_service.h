// Kept messages within a dispatcher: the keeper, the store's threads, the control socket.
#ifndef SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_
#define SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_

#include <memory>
#include <string>
#include <string_view>

#include "config/config.h"
#include "config/node_file.h"
#include "dead_letter/dead_letter_manager.h"
#include "dead_letter/operator_requests.h"
#include "net/control_server.h"
#include "net/event_loop.h"
#include "net/wakeup_descriptor.h"
#include "pipeline/message_pipeline.h"
#include "time/clock.h"

namespace sagetally {

class DeadLetterService {
 public:
  // Throws std::runtime_error naming the file and place at fault in the rules.
  DeadLetterService(EventLoop& loop, Logger& log, const Config& config, const DeadLetterSettings& settings,
                    MessageTable& ledger, const Clock& clock);
  ~DeadLetterService();

  DeadLetterSink* keep() { return &keeper_; }
  void Start(MessagePipeline& chain, bool journal_lost);
  void Stop() { keeper_.Stop(); }
  // The rules as their file says now, not yet in use. Throws as the constructor does.
  struct NewRules {
    std::shared_ptr<const dead_letter::RuleSet> rules;
    std::string text;
  };
  NewRules ReadNewRules() const;
  void Use(NewRules rules);
  dead_letter::DeadLetterManager& keeper() { return keeper_; }

 private:
  void Asked(std::string_view line, const ControlServer::Responder& answer);
  nlohmann::json Status() const;

  Logger& log_;
  const DeadLetterSettings settings_;
  const std::vector<std::string> classes_;
  const Clock& clock_;
  const std::string folder_, socket_path_;
  EventLoop& loop_;
  std::unique_ptr<WakeupDescriptor> bell_;
  std::unique_ptr<dead_letter::Worker> worker_, reader_;  // reading never makes taking over wait
  Timer wake_;
  dead_letter::DeadLetterManager keeper_;
  std::unique_ptr<ControlServer> control_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_DEAD_LETTER_SERVICE_H_
