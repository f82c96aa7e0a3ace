// Helpers for tests of error messages. Header-only; used by the tests of this folder.
#ifndef SAGETALLY_TESTS_LOADTEST_REJECTED_H_
#define SAGETALLY_TESTS_LOADTEST_REJECTED_H_

#include <cassert>
#include <cstdio>
#include <exception>
#include <string>

namespace sagetally::loadtest {

// Returns the message of the exception that `call` throws, or an empty string if it throws none.
template <typename F>
std::string ErrorOf(F call) {
  try {
    call();
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

// An invalid text, and the JSON pointer of the value that is invalid.
struct InvalidText {
  const char* text;
  const char* pointer;
};

// Asserts that `read` fails for each text of the table with a message that begins with the row's pointer.
template <typename F, std::size_t kSize>
void EachErrorBeginsWithItsPointer(const InvalidText (&table)[kSize], F read) {
  for (const InvalidText& row : table) {
    const std::string error = ErrorOf([&] { read(row.text); });
    if (!error.starts_with(row.pointer)) std::fprintf(stderr, "%s: %s\n", row.text, error.c_str());
    assert(error.starts_with(row.pointer));
  }
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_TESTS_LOADTEST_REJECTED_H_
