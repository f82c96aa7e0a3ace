#include "dead_letter/rule_files.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sagetally::kept {

std::string FolderOf(const KeptSettings& settings, const std::string& state_folder) {
  return settings.folder.empty() ? state_folder + "/kept" : settings.folder;
}
std::string DatabasePath(const std::string& folder) { return folder + "/kept.db"; }
std::string SocketPath(const std::string& state_folder) { return state_folder + "/control.sock"; }

Database::Settings DatabaseSettings(const KeptSettings& settings, const std::string& folder) {
  Database::Settings db;
  db.path = DatabasePath(folder);
  db.budget_bytes = settings.budget_bytes;
  db.age = settings.age;
  return db;
}

ReviewSettings ReviewFrom(const SiteSettings& site, const KeptSettings& settings) {
  ReviewSettings review;
  review.class_names = site.classes;
  review.classes = site.module.classes;
  review.judge.max_attempts = site.module.max_attempts;
  review.judge.resend_deferred = settings.resend_deferred;
  return review;
}

Keeper::Settings KeeperFrom(const Config& config, const KeptSettings& settings) {
  Keeper::Settings keeper;
  keeper.node = config.name;
  keeper.review = std::make_shared<const ReviewSettings>(ReviewFrom(config.site, settings));
  keeper.limits.slots = config.site.module.slots;
  keeper.limits.most_held = config.site.module.most_held;
  keeper.limits.slots_share = settings.slots_share;
  keeper.limits.held_share = settings.held_share;
  keeper.limits.destination_rate = settings.destination_rate;
  keeper.limits.backoff = settings.backoff;
  keeper.limits.backoff_most = settings.backoff_most;
  keeper.undeliverable = settings.undeliverable;
  keeper.deferred = settings.deferred;
  // The journal keeps most of its room for delivery.
  keeper.owed_bytes = std::min(settings.owed_bytes, config.disk_bytes / 8);
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

}  // namespace sagetally::kept
