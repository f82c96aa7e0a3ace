#include "app/dead_letter_service.h"

#include <sys/stat.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "dead_letter/rule_files.h"

namespace sagetally {

DeadLetterService::DeadLetterService(EventLoop& loop, Logger& log, const Config& config,
                                     const DeadLetterSettings& settings, MessageTable& ledger,
                                     const Clock& clock)
    : log_(log),
      settings_(settings),
      classes_(config.site.classes),
      clock_(clock),
      folder_(dead_letter::FolderOf(settings, config.state_folder)),
      socket_path_(dead_letter::SocketPath(config.state_folder)),
      loop_(loop),
      bell_(std::make_unique<WakeupDescriptor>(loop,
                                               [this] {
                                                 worker_->Deliver();
                                                 reader_->Deliver();
                                               })),
      wake_(loop, [this] { keeper_.RunDueWork(); }),
      keeper_(
          dead_letter::MakeManagerSettings(config, settings),
          [&]() -> dead_letter::JobRunner& {
            ::mkdir(folder_.c_str(), 0700);  // a folder that can't be made shows when the store is opened
            dead_letter::Database::Settings database = dead_letter::DatabaseSettings(settings, folder_);
            const auto ring = [bell = bell_.get()] { bell->Notify(); };
            worker_ = std::make_unique<dead_letter::Worker>(database, ring);
            database.read_only = true;
            reader_ = std::make_unique<dead_letter::Worker>(database, ring);
            return *worker_;
          }(),
          ledger, clock, log, [this](Duration d) { wake_.Schedule(d); }) {
  Use(ReadNewRules());
}

DeadLetterService::~DeadLetterService() = default;

DeadLetterService::NewRules DeadLetterService::ReadNewRules() const {
  NewRules rules;
  if (settings_.rules_path.empty()) {
    rules.rules = std::make_shared<dead_letter::RuleSet>();
  } else {
    rules.rules = dead_letter::ReadRules(settings_.rules_path, classes_, &rules.text);
  }
  return rules;
}

void DeadLetterService::Use(NewRules rules) {
  log_.Info("kept.rules", {{"file", settings_.rules_path}, {"rules", rules.rules->rules.size()}});
  keeper_.SetRules(std::move(rules.rules), rules.text);
}

void DeadLetterService::Start(MessagePipeline& chain, bool journal_lost) {
  keeper_.Start(
      {.accept_redrive = [&chain](Message m) { return chain.admission.AcceptRedrive(std::move(m)); },
       .has_usable_endpoint =
           [&chain](int destination) { return chain.router.HasUsableEndpoint(destination); },
       .on_dead_lettered =
           [&chain](std::uint64_t number) { chain.completion_handler.OnDeadLettered(number); }},
      journal_lost);
  try {
    control_ = std::make_unique<ControlServer>(
        loop_, socket_path_, dead_letter::kMaxRequestBytes,
        [this](std::string_view line, const ControlServer::Responder& answer) { Asked(line, answer); });
  } catch (const std::exception& error) {  // delivery does not depend on it
    log_.Error("kept.no_control_socket", {{"why", error.what()}});
  }
  log_.Info("kept.on", {{"folder", folder_}});
}

nlohmann::json DeadLetterService::Status() const {
  const dead_letter::DeadLetterManager::Counters& c = keeper_.counters();
  return {{"owed", keeper_.pending_transfers()},
          {"resends_out", keeper_.redrives_in_flight()},
          {"store_failing", keeper_.store_failing()},
          {"kept", c.kept},
          {"resends", c.resends},
          {"delivered", c.delivered},
          {"kept_again", c.kept_again},
          {"handed_in_again", c.handed_in_again},
          {"evicted", c.evicted},
          {"lost", c.owed_dropped},
          {"store_failures", c.transfers_failed},
          {"stores_begun_anew", c.stores_begun_anew}};
}

void DeadLetterService::Asked(std::string_view line, const ControlServer::Responder& answer) {
  const auto operation = std::make_shared<dead_letter::OperatorRequest>();
  try {
    *operation = dead_letter::ParseOperatorRequest(line, classes_);
  } catch (const std::exception& error) {
    return answer(dead_letter::ErrorLine(error.what()));
  }
  if (operation->kind == dead_letter::OperatorRequest::Kind::kStatus)
    return answer(dead_letter::OkLine({{"live", Status()}}));
  const auto result = std::make_shared<std::string>();
  dead_letter::JobRunner& jobs = operation->IsWrite() ? *worker_ : *reader_;
  const bool queued = jobs.Run(
      [operation, result, review = keeper_.review(),
       now = clock_.CurrentTimestamp()](dead_letter::Database& db) {
        try {
          *result =
              dead_letter::OkLine(dead_letter::ExecuteOperatorRequest(*operation, db, review.get(), now));
        } catch (const dead_letter::StoreError&) {
          throw;  // the store's trouble, not the request's
        } catch (const std::exception& error) {
          *result = dead_letter::ErrorLine(error.what());
        }
      },
      [this, operation, result, answer](const dead_letter::JobError* error) {
        if (operation->IsWrite()) keeper_.ScheduleReview();
        answer(error == nullptr ? *result : dead_letter::ErrorLine("the store: " + error->what));
      });
  if (!queued) answer(dead_letter::ErrorLine("busy: ask again"));
}

}  // namespace sagetally
