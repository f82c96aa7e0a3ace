#include "dead_letter/text_hash.h"

#include <xxhash.h>

namespace sagetally::dead_letter {

std::uint64_t HashText(std::string_view text) {
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

}  // namespace sagetally::dead_letter
