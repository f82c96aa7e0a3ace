// The hash under which identities and rule files are stored.
#ifndef SAGETALLY_SRC_DEAD_LETTER_TEXT_HASH_H_
#define SAGETALLY_SRC_DEAD_LETTER_TEXT_HASH_H_

#include <cstdint>
#include <string_view>

namespace sagetally::dead_letter {

// XXH3, 64 bits; never 0.
std::uint64_t HashText(std::string_view text);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_TEXT_HASH_H_
