// Bytes from outside never make text or JSON of the program that is not UTF-8.
#include "base/utf8.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <utility>

#include "config/json.h"

namespace sagetally {
namespace {

constexpr char kReplacement[] = "\xef\xbf\xbd";

// Returns up to 12 bytes, which are often parts of characters.
std::string RandomBytes(std::mt19937& random) {
  static const std::string kParts[] = {"a",
                                       "\"",
                                       "\\",
                                       std::string(1, '\0'),
                                       "\n",
                                       "\xba",
                                       "\xc3",
                                       "\xc3\xa9",
                                       "\xe2\x82",
                                       "\xe2\x82\xac",
                                       "\xed\xa0\x80",
                                       "\xf0\x9f\x98\x80",
                                       "\xc0\x80",
                                       "\xff",
                                       "\xf5\x80\x80\x80",
                                       "\xf4\x90\x80\x80"};
  std::string bytes;
  for (unsigned i = random() % 5; i > 0; --i) bytes += kParts[random() % std::size(kParts)];
  if (random() % 2 == 0) bytes += static_cast<char>(random() % 256);
  return bytes;
}

// Guards against review/1: a notice with an id in Latin-1 was no JSON.
TEST(Utf8, QuotedTextIsJsonWhateverItsBytes) {
  std::mt19937 random(1);
  simdjson::dom::parser parser;
  for (int i = 0; i < 100'000; ++i) {
    const std::string bytes = RandomBytes(random);
    const std::string quoted = json::Quote(bytes);
    std::string_view text;
    ASSERT_EQ(parser.parse(quoted).get(text), simdjson::SUCCESS) << i;
    ASSERT_EQ(text, ReplaceInvalidUtf8(bytes)) << i;
  }
}

// Two libraries decide: simdjson whether a text is valid, Boost.Locale which bytes of it are not.
TEST(Utf8, OnlyInvalidTextIsChanged) {
  std::mt19937 random(2);
  for (int i = 0; i < 100'000; ++i) {
    const std::string bytes = RandomBytes(random) + "\xff";  // so that the text is decoded
    const std::string replaced = ReplaceInvalidUtf8(bytes);
    ASSERT_TRUE(IsUtf8(replaced)) << i;
    const std::string_view valid_part(bytes.data(), bytes.size() - 1);
    ASSERT_EQ(replaced == std::string(valid_part) + kReplacement, IsUtf8(valid_part)) << i;
  }
}

TEST(Utf8, ReplacesEachInvalidByte) {
  const std::pair<std::string, std::string> cases[] = {
      {"pedido-n\xba-0077", std::string("pedido-n") + kReplacement + "-0077"},
      {"\xc3", kReplacement},
      {"\xc3\xa9\xa9", std::string("\xc3\xa9") + kReplacement},
      {"", ""}};
  for (const auto& [bytes, text] : cases) EXPECT_EQ(ReplaceInvalidUtf8(bytes), text);
}

}  // namespace
}  // namespace sagetally
