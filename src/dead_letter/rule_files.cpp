#include "dead_letter/rule_files.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace sagetally::dead_letter {
namespace {

// Messages that wait for the store may use at most 1/kJournalSpaceDivisor of the journal's disk limit, so
// that most of the journal's space stays available for delivery.
constexpr std::size_t kJournalSpaceDivisor = 8;

}  // namespace

std::string DatabaseFolder(const DeadLetterSettings& settings, const std::string& state_folder) {
  return settings.folder.empty() ? state_folder + "/kept" : settings.folder;
}

std::string DatabasePath(const std::string& folder) { return folder + "/kept.db"; }

std::string SocketPath(const std::string& state_folder) { return state_folder + "/control.sock"; }

Database::Settings DatabaseSettings(const DeadLetterSettings& settings, const std::string& folder) {
  Database::Settings database;
  database.path = DatabasePath(folder);
  database.budget_bytes = settings.budget_bytes;
  database.max_age = settings.max_age;
  return database;
}

ReviewSettings MakeReviewSettings(const SiteSettings& site, const DeadLetterSettings& settings) {
  ReviewSettings review;
  review.class_names = site.classes;
  review.classes = site.policy.classes;
  review.policy.max_attempts = site.policy.max_attempts;
  review.policy.redrive_deferred = settings.redrive_deferred;
  return review;
}

DeadLetterManager::Settings MakeManagerSettings(const Config& config, const DeadLetterSettings& settings) {
  DeadLetterManager::Settings manager;
  manager.node = config.name;
  manager.review = std::make_shared<const ReviewSettings>(MakeReviewSettings(config.site, settings));
  manager.limits.max_concurrent_calls = config.site.policy.max_concurrent_calls;
  manager.limits.max_pending_messages = config.site.policy.max_pending_messages;
  manager.limits.concurrency_fraction = settings.concurrency_fraction;
  manager.limits.pending_fraction = settings.pending_fraction;
  manager.limits.destination_rate = settings.destination_rate;
  manager.limits.initial_backoff = settings.initial_backoff;
  manager.limits.max_backoff = settings.max_backoff;
  manager.include_undeliverable = settings.include_undeliverable;
  manager.include_deferred = settings.include_deferred;
  manager.max_pending_bytes =
      std::min(settings.max_pending_bytes, config.disk_limit_bytes / kJournalSpaceDivisor);
  manager.seed = config.seed;
  return manager;
}

std::string ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || file.bad()) throw RuleFileError(path, "can't be read");
  return text.str();
}

RuleFile ReadRuleFile(const std::string& path, const std::vector<std::string>& classes) {
  RuleFile file;
  file.text = ReadTextFile(path);
  try {
    file.rules = std::make_shared<const RuleSet>(ParseRules(file.text, classes));
  } catch (const RuleError& error) {
    throw RuleFileError(path, error.what());
  }
  return file;
}

std::shared_ptr<const RuleSet> ReadRules(const std::string& path, const std::vector<std::string>& classes,
                                         std::string* text) {
  RuleFile file = ReadRuleFile(path, classes);
  if (text != nullptr) *text = std::move(file.text);
  return std::move(file.rules);
}

}  // namespace sagetally::dead_letter
