// What a call says as it refuses; empty if it doesn't.
#ifndef SAGETALLY_TESTS_LOADTEST_REJECTED_H_
#define SAGETALLY_TESTS_LOADTEST_REJECTED_H_

#include <cassert>
#include <cstdio>
#include <exception>
#include <string>

namespace sagetally::loadtest {

template <typename F>
std::string Refused(F call) {
  try {
    call();
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

// Each text of the table is refused with words that begin with its place.
template <typename Table, typename F>
void EachNamesItsPlace(const Table& table, F read) {
  for (const auto& [text, place] : table) {
    const std::string what = Refused([&, text = text] { read(text); });
    if (!what.starts_with(place)) std::fprintf(stderr, "%s: %s\n", text, what.c_str());
    assert(what.starts_with(place));
  }
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_TESTS_LOADTEST_REJECTED_H_
