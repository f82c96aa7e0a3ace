// Converts dead letters and their attempt histories to JSON and back, for operators' output and for the
// store's JSON columns `history` and `attributes`. Functions without state, safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_JSON_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_JSON_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dead_letter/dead_letter.h"

namespace sagetally::dead_letter {

// Returns one JSON object on one line. `with_body` adds the body in Base64.
std::string ToJson(const DeadLetter& dead_letter, bool with_body);

std::string HistoryToJson(const std::vector<AttemptRecord>& history);
// Returns nothing if `text` is not a history that HistoryToJson could have written.
std::optional<std::vector<AttemptRecord>> ParseHistory(const std::string& text);

std::string AttributesToJson(const std::map<std::string, std::string>& attributes);
// Ignores values that are not strings. Returns an empty map if `text` is not a JSON object.
std::map<std::string, std::string> ParseAttributes(const std::string& text);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_JSON_H_
