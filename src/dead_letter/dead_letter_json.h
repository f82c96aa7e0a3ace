// Dead letters and their histories as JSON: what operators read, and what the store holds in its column
// `history`.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_JSON_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_JSON_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dead_letter/dead_letter.h"

namespace sagetally::dead_letter {

// One object on one line; `with_body` adds the body in Base64.
std::string ToJson(const DeadLetter& dead_letter, bool with_body);

std::string HistoryToJson(const std::vector<AttemptRecord>& history);
// Nothing if `text` is not a history.
std::optional<std::vector<AttemptRecord>> ParseHistory(const std::string& text);

std::string AttributesToJson(const std::map<std::string, std::string>& attributes);
// Values that are no texts are left out.
std::map<std::string, std::string> ParseAttributes(const std::string& text);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_JSON_H_
