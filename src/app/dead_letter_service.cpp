#include "app/dead_letter_service.h"

#include <sys/stat.h>

#include <utility>

#include "dead_letter/rule_files.h"

namespace sagetally {
namespace {

constexpr mode_t kFolderMode = 0700;

// Creates the folder and returns its path. Errors are ignored here, because opening the store reports them.
std::string CreateFolder(std::string folder) {
  ::mkdir(folder.c_str(), kFolderMode);
  return folder;
}

dead_letter::Database::Settings DatabaseSettingsFor(const DeadLetterSettings& settings,
                                                    const std::string& folder, bool read_only) {
  dead_letter::Database::Settings database = dead_letter::DatabaseSettings(settings, folder);
  database.read_only = read_only;
  return database;
}

}  // namespace

DeadLetterService::DeadLetterService(EventLoop& loop, Logger& log, const Config& config,
                                     const DeadLetterSettings& settings, MessageTable& messages,
                                     const Clock& clock)
    : loop_(loop),
      log_(log),
      settings_(settings),
      classes_(config.site.classes),
      clock_(clock),
      folder_(CreateFolder(dead_letter::DatabaseFolder(settings, config.state_folder))),
      socket_path_(dead_letter::SocketPath(config.state_folder)),
      result_wakeup_(loop,
                     [this] {
                       writer_.Deliver();
                       reader_.Deliver();
                     }),
      writer_(DatabaseSettingsFor(settings, folder_, false), [this] { result_wakeup_.Notify(); }),
      reader_(DatabaseSettingsFor(settings, folder_, true), [this] { result_wakeup_.Notify(); }),
      work_timer_(loop, [this] { manager_.RunDueWork(); }),
      manager_(dead_letter::MakeManagerSettings(config, settings), writer_, messages, clock, log,
               [this](Duration delay) { work_timer_.Schedule(delay); }) {
  UseRules(LoadRules());
}

DeadLetterService::~DeadLetterService() = default;

void DeadLetterService::Start(MessagePipeline& pipeline, bool journal_is_new) {
  manager_.Start(
      {.accept_redrive =
           [&pipeline](Message message) {
             return pipeline.admission_controller.AcceptRedrive(std::move(message));
           },
       .has_usable_endpoint =
           [&pipeline](int destination) { return pipeline.router.HasUsableEndpoint(destination); },
       .on_dead_lettered =
           [&pipeline](std::uint64_t number) { pipeline.completion_handler.OnDeadLettered(number); }},
      journal_is_new);
  OpenControlSocket();
  log_.Info("dead_letter.enabled", {{"folder", folder_}});
}

void DeadLetterService::OpenControlSocket() {
  try {
    control_ = std::make_unique<DeadLetterControl>(loop_, socket_path_, classes_, clock_, manager_, writer_,
                                                   reader_);
  } catch (const std::exception& error) {  // messages can be delivered without the control socket
    log_.Error("dead_letter.control_socket_failed", {{"why", error.what()}});
  }
}

DeadLetterService::LoadedRules DeadLetterService::LoadRules() const {
  LoadedRules loaded;
  if (settings_.rules_path.empty()) {
    loaded.rules = std::make_shared<dead_letter::RuleSet>();
  } else {
    loaded.rules = dead_letter::ReadRules(settings_.rules_path, classes_, &loaded.text);
  }
  return loaded;
}

void DeadLetterService::UseRules(LoadedRules rules) {
  log_.Info("dead_letter.rules_loaded",
            {{"file", settings_.rules_path}, {"rules", rules.rules->rules.size()}});
  manager_.SetRules(std::move(rules.rules), rules.text);
}

}  // namespace sagetally
