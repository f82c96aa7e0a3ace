// Helpers for tests of errors.
#ifndef SAGETALLY_TESTS_LOADTEST_REJECTED_H_
#define SAGETALLY_TESTS_LOADTEST_REJECTED_H_

#include <cassert>
#include <cstdio>
#include <exception>
#include <string>

namespace sagetally::loadtest {

// The message of the exception that `call` throws; empty if it throws none.
template <typename F>
std::string ErrorOf(F call) {
  try {
    call();
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

// A text that can't be read, and where its error is.
struct InvalidText {
  const char* text;
  const char* pointer;
};

// Asserts that reading each text fails with a message that begins with its pointer.
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
