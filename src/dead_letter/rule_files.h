// Where a node has its dead-letter store, its control socket and its rule file, and what the configuration
// says of the manager's settings.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/node_file.h"
#include "dead_letter/dead_letter_manager.h"
#include "dead_letter/rule_parser.h"

namespace sagetally::dead_letter {

// The store's folder: as configured, or `kept` in the state folder.
std::string DatabaseFolder(const DeadLetterSettings& settings, const std::string& state_folder);
std::string DatabasePath(const std::string& folder);
std::string SocketPath(const std::string& state_folder);

Database::Settings DatabaseSettings(const DeadLetterSettings& settings, const std::string& folder);
ReviewSettings MakeReviewSettings(const SiteSettings& site, const DeadLetterSettings& settings);
DeadLetterManager::Settings MakeManagerSettings(const Config& config, const DeadLetterSettings& settings);

// A file that can't be read, or that has no rules in it.
struct RuleFileError : std::runtime_error {
  // what(): "FILE: line 3, column 7: expected ..."
  RuleFileError(const std::string& path, const std::string& reason)
      : std::runtime_error(path + ": " + reason), path(path), reason(reason) {}
  std::string path;
  std::string reason;
};

// The whole file. Throws RuleFileError.
std::string ReadTextFile(const std::string& path);

struct RuleFile {
  std::shared_ptr<const RuleSet> rules;
  std::string text;  // by which the store knows the rules again
};
// `classes`: the configured names; empty: any word is a class. Throws RuleFileError.
RuleFile ReadRuleFile(const std::string& path, const std::vector<std::string>& classes);
// The same; `text` gets the file's text if it is not null.
std::shared_ptr<const RuleSet> ReadRules(const std::string& path, const std::vector<std::string>& classes,
                                         std::string* text = nullptr);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_
