// UTF-8, the encoding of all JSON that the program reads and writes (RFC 8259, section 8.1). Bytes from
// outside of the process need not be UTF-8. Callable on any thread.
#ifndef SAGETALLY_SRC_BASE_UTF8_H_
#define SAGETALLY_SRC_BASE_UTF8_H_

#include <string>
#include <string_view>

namespace sagetally {

// Returns whether `text` is well-formed UTF-8.
bool IsUtf8(std::string_view text);

// Returns `text` with U+FFFD, the replacement character, in place of each byte that is not part of a
// well-formed character. Returns well-formed text unchanged.
std::string ReplaceInvalidUtf8(std::string_view text);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_UTF8_H_
