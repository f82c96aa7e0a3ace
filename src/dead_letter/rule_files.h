// Provides the paths of a node's dead-letter store and control socket, reads rule files, and derives the
// settings of the store and of the dead-letter manager from the configuration. Functions without state,
// called at startup, on a reload and by the command line.
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

// Returns the store's folder: the configured one, or `kept` in the state folder.
std::string DatabaseFolder(const DeadLetterSettings& settings, const std::string& state_folder);
// Returns the database file in the store's folder, and the control socket in the state folder.
std::string DatabasePath(const std::string& folder);
std::string SocketPath(const std::string& state_folder);

// Derive the settings of the store, the review and the manager from the configuration.
Database::Settings DatabaseSettings(const DeadLetterSettings& settings, const std::string& folder);
ReviewSettings MakeReviewSettings(const SiteSettings& site, const DeadLetterSettings& settings);
DeadLetterManager::Settings MakeManagerSettings(const Config& config, const DeadLetterSettings& settings);

// A rule file that can't be read or contains an error.
struct RuleFileError : std::runtime_error {
  // The text of what() is, for example, "FILE: line 3, column 7: expected ...".
  RuleFileError(const std::string& path, const std::string& reason)
      : std::runtime_error(path + ": " + reason), path(path), reason(reason) {}
  std::string path;
  std::string reason;
};

// Returns the content of the file. Throws RuleFileError.
std::string ReadTextFile(const std::string& path);

struct RuleFile {
  std::shared_ptr<const RuleSet> rules;
  std::string text;  // the content of the file; its hash lets the store recognize unchanged rules
};
// Reads and parses a rule file. `classes` are the configured class names; if it is empty, any word is
// accepted as a class. Throws RuleFileError.
RuleFile ReadRuleFile(const std::string& path, const std::vector<std::string>& classes);
// The same; stores the content of the file in `text` unless that is null.
std::shared_ptr<const RuleSet> ReadRules(const std::string& path, const std::vector<std::string>& classes,
                                         std::string* text = nullptr);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_FILES_H_
