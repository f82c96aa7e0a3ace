// The hash by which the store identifies rule files and submitted messages. It is stored, so it must not
// change. Safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_TEXT_HASH_H_
#define SAGETALLY_SRC_DEAD_LETTER_TEXT_HASH_H_

#include <cstdint>
#include <string_view>

namespace sagetally::dead_letter {

// Returns the 64-bit XXH3 hash of `text`, with 1 in the place of 0.
std::uint64_t HashText(std::string_view text);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_TEXT_HASH_H_
