#include "app/dead_letter_service.h"

#include <sys/stat.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "dead_letter/rule_files.h"

namespace sagetally {

KeptNode::KeptNode(Loop& loop, Logger& log, const Config& config, const KeptSettings& settings,
                   Ledger& ledger, const Clock& clock)
    : log_(log),
      settings_(settings),
      classes_(config.site.classes),
      clock_(clock),
      folder_(kept::FolderOf(settings, config.state_folder)),
      socket_path_(kept::SocketPath(config.state_folder)),
      loop_(loop),
      bell_(std::make_unique<Bell>(loop,
                                   [this] {
                                     worker_->Deliver();
                                     reader_->Deliver();
                                   })),
      wake_(loop, [this] { keeper_.Turn(); }),
      keeper_(
          kept::KeeperFrom(config, settings),
          [&]() -> kept::Jobs& {
            ::mkdir(folder_.c_str(), 0700);  // a folder that can't be made shows when the store is opened
            kept::Database::Settings database = kept::DatabaseSettings(settings, folder_);
            const auto ring = [bell = bell_.get()] { bell->Ring(); };
            worker_ = std::make_unique<kept::Worker>(database, ring);
            database.read_only = true;
            reader_ = std::make_unique<kept::Worker>(database, ring);
            return *worker_;
          }(),
          ledger, clock, log, [this](Duration d) { wake_.After(d); }) {
  Use(ReadNewRules());
}

KeptNode::~KeptNode() = default;

KeptNode::NewRules KeptNode::ReadNewRules() const {
  NewRules rules;
  if (settings_.rules_path.empty()) {
    rules.rules = std::make_shared<kept::RuleSet>();
  } else {
    rules.rules = kept::ReadRules(settings_.rules_path, classes_, &rules.text);
  }
  return rules;
}

void KeptNode::Use(NewRules rules) {
  log_.Info("kept.rules", {{"file", settings_.rules_path}, {"rules", rules.rules->rules.size()}});
  keeper_.SetRules(std::move(rules.rules), rules.text);
}

void KeptNode::Start(Chain& chain, bool journal_lost) {
  keeper_.Start({.take_again = [&chain](Message m) { return chain.admit.TakeAgain(std::move(m)); },
                 .up = [&chain](int destination) { return chain.route.Up(destination); },
                 .kept = [&chain](std::uint64_t number) { chain.book.Kept(number); }},
                journal_lost);
  try {
    control_ = std::make_unique<ControlServer>(
        loop_, socket_path_, kept::kMostRequest,
        [this](std::string_view line, const ControlServer::Answer& answer) { Asked(line, answer); });
  } catch (const std::exception& error) {  // delivery does not depend on it
    log_.Error("kept.no_control_socket", {{"why", error.what()}});
  }
  log_.Info("kept.on", {{"folder", folder_}});
}

nlohmann::json KeptNode::Status() const {
  const kept::Keeper::Counters& c = keeper_.counters();
  return {{"owed", keeper_.owed()},
          {"resends_out", keeper_.resends_out()},
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

void KeptNode::Asked(std::string_view line, const ControlServer::Answer& answer) {
  const auto operation = std::make_shared<kept::Operation>();
  try {
    *operation = kept::ReadOperation(line, classes_);
  } catch (const std::exception& error) {
    return answer(kept::ErrorLine(error.what()));
  }
  if (operation->kind == kept::Operation::Kind::kStatus) return answer(kept::OkLine({{"live", Status()}}));
  const auto result = std::make_shared<std::string>();
  kept::Jobs& jobs = operation->Writes() ? *worker_ : *reader_;
  const bool queued = jobs.Run(
      [operation, result, review = keeper_.review(), now = clock_.Stamp()](kept::Database& db) {
        try {
          *result = kept::OkLine(kept::Perform(*operation, db, review.get(), now));
        } catch (const kept::StoreError&) {
          throw;  // the store's trouble, not the request's
        } catch (const std::exception& error) {
          *result = kept::ErrorLine(error.what());
        }
      },
      [this, operation, result, answer](const kept::JobError* error) {
        if (operation->Writes()) keeper_.LookAgain();
        answer(error == nullptr ? *result : kept::ErrorLine("the store: " + error->what));
      });
  if (!queued) answer(kept::ErrorLine("busy: ask again"));
}

}  // namespace sagetally
