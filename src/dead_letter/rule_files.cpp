#include "dead_letter/rule_files.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sagetally::dead_letter {

std::string FolderOf(const DeadLetterSettings& settings, const std::string& state_folder) {
  return settings.folder.empty() ? state_folder + "/kept" : settings.folder;
}
std::string DatabasePath(const std::string& folder) { return folder + "/kept.db"; }
std::string SocketPath(const std::string& state_folder) { return state_folder + "/control.sock"; }

Database::Settings DatabaseSettings(const DeadLetterSettings& settings, const std::string& folder) {
  Database::Settings db;
  db.path = DatabasePath(folder);
  db.budget_bytes = settings.budget_bytes;
  db.max_age = settings.max_age;
  return db;
}

ReviewSettings ReviewFrom(const SiteSettings& site, const DeadLetterSettings& settings) {
  ReviewSettings review;
  review.class_names = site.classes;
  review.classes = site.policy.classes;
  review.policy.max_attempts = site.policy.max_attempts;
  review.policy.redrive_deferred = settings.redrive_deferred;
  return review;
}

DeadLetterManager::Settings MakeManagerSettings(const Config& config, const DeadLetterSettings& settings) {
  DeadLetterManager::Settings keeper;
  keeper.node = config.name;
  keeper.review = std::make_shared<const ReviewSettings>(ReviewFrom(config.site, settings));
  keeper.limits.max_concurrent_calls = config.site.policy.max_concurrent_calls;
  keeper.limits.max_pending_messages = config.site.policy.max_pending_messages;
  keeper.limits.concurrency_fraction = settings.concurrency_fraction;
  keeper.limits.held_share = settings.pending_fraction;
  keeper.limits.destination_rate = settings.destination_rate;
  keeper.limits.backoff = settings.initial_backoff;
  keeper.limits.backoff_most = settings.max_backoff;
  keeper.undeliverable = settings.include_undeliverable;
  keeper.deferred = settings.include_deferred;
  // The journal keeps most of its room for delivery.
  keeper.owed_bytes = std::min(settings.max_pending_bytes, config.disk_limit_bytes / 8);
  keeper.seed = config.seed;
  return keeper;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || file.bad()) throw std::runtime_error(path + ": can't be read");
  return text.str();
}

std::shared_ptr<const RuleSet> ReadRules(const std::string& path, const std::vector<std::string>& classes,
                                         std::string* text) {
  const std::string read = ReadText(path);
  try {
    auto rules = std::make_shared<const RuleSet>(ParseRules(read, classes));
    if (text != nullptr) *text = read;
    return rules;
  } catch (const RuleError& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

}  // namespace sagetally::dead_letter
