// Where the store and its control socket are, and how rule files are read.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_

#include <string>

#include "config/config.h"
#include "config/node_file.h"
#include "dead_letter/dead_letter_manager.h"

namespace sagetally::dead_letter {

std::string FolderOf(const DeadLetterSettings& settings, const std::string& state_folder);
std::string DatabasePath(const std::string& folder);
std::string SocketPath(const std::string& state_folder);
Database::Settings DatabaseSettings(const DeadLetterSettings& settings, const std::string& folder);
ReviewSettings ReviewFrom(const SiteSettings& site, const DeadLetterSettings& settings);
DeadLetterManager::Settings MakeManagerSettings(const Config& config, const DeadLetterSettings& settings);
// The whole file. Throws std::runtime_error naming it.
std::string ReadText(const std::string& path);
// Throws std::runtime_error: "FILE: line 3, column 7: expected ..."
std::shared_ptr<const RuleSet> ReadRules(const std::string& path, const std::vector<std::string>& classes,
                                         std::string* text = nullptr);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_
