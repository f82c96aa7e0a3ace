// Reads JSON with simdjson: gives typed access to fields, with errors that name the field. Also quotes
// strings for JSON that is written. Every reader of JSON from outside the process uses it except the readers
// of operators' files, which need a document that they can modify. Callable on any thread.
#ifndef SAGETALLY_SRC_CONFIG_JSON_H_
#define SAGETALLY_SRC_CONFIG_JSON_H_

#include <simdjson.h>

#include <cmath>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "config/format_error.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally::json {

using Value = simdjson::dom::element;

// Throws FormatError with `message`.
[[noreturn]] void Malformed(const std::string& message);
// Throws FormatError saying that the field `name` holds a `value` of a type other than `expected`.
[[noreturn]] void ThrowWrongType(Value value, const char* name, const char* expected);

// Parses a document. Its values are valid until `parser` is destroyed or parses the next document. Throws
// FormatError.
Value Parse(simdjson::dom::parser& parser, std::string_view text);
// Does the same for a document in which bytes that are not UTF-8 are replaced, so that one string of it does
// not make the rest unreadable.
Value ParseReplacingInvalidUtf8(simdjson::dom::parser& parser, std::string_view text);

// Returns the field's value, or nothing if it is absent or null. Throws FormatError if `object` is not an
// object.
std::optional<Value> Find(Value object, const char* name);
// Does the same, but sets `out` and returns true if the field has a value.
bool Find(Value object, const char* name, Value& out);
// Returns the field's value. Throws FormatError if it is absent or null.
Value Require(Value object, const char* name);

namespace internal {

bool AsBoolean(Value value, const char* name);
std::string AsString(Value value, const char* name);
// Throws FormatError if the number is not finite.
double AsNumber(Value value, const char* name, const char* expected);

// Also accepts a number that is written with a fraction or an exponent, if its value is whole.
template <typename T>
T AsInteger(Value value, const char* name) {
  // Doubles beyond this value can't represent every whole number.
  static constexpr double kMaxExactInteger = 9e15;
  static constexpr const char* kExpected = "a whole number in its range";
  std::uint64_t whole = 0;
  if (value.get(whole) == simdjson::SUCCESS && std::in_range<T>(whole)) return static_cast<T>(whole);
  const double number = AsNumber(value, name, kExpected);
  const bool is_whole = std::trunc(number) == number && std::abs(number) <= kMaxExactInteger;
  if (!is_whole || !std::in_range<T>(static_cast<std::int64_t>(number))) {
    ThrowWrongType(value, name, kExpected);
  }
  return static_cast<T>(number);
}

}  // namespace internal

// Returns the value as a bool, a std::string, an integer or a floating-point number. Throws FormatError
// naming `name` if it has another type or is out of the range of T.
template <typename T>
T As(Value value, const char* name) {
  if constexpr (std::is_same_v<T, bool>) {
    return internal::AsBoolean(value, name);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return internal::AsString(value, name);
  } else if constexpr (std::is_integral_v<T>) {
    return internal::AsInteger<T>(value, name);
  } else {
    return static_cast<T>(internal::AsNumber(value, name, "a number"));
  }
}

// Returns the value of a required field. Throws FormatError.
template <typename T>
T Get(Value object, const char* name) {
  return As<T>(Require(object, name), name);
}
// Returns the value of a field, or `default_value` if the field is absent or null. Throws FormatError.
template <typename T>
T Get(Value object, const char* name, T default_value) {
  const std::optional<Value> value = Find(object, name);
  return value ? As<T>(*value, name) : default_value;
}

// Converts milliseconds to a duration, rounded to microseconds. Throws FormatError beyond 1e12 ms.
Duration Milliseconds(double milliseconds);
// Returns the value of a required field that is given in milliseconds. Throws FormatError.
Duration GetMs(Value object, const char* name);
// Does the same, but returns `default_milliseconds` if the field is absent or null.
Duration GetMs(Value object, const char* name, double default_milliseconds);

// Returns the array in a required field. Throws FormatError.
simdjson::dom::array List(Value object, const char* name);
// Calls `use(item)` for each item of the array in a field. Does nothing if the field is absent or null.
// Throws FormatError.
template <typename Use>
void ForEach(Value object, const char* name, Use use) {
  // A simdjson array that was not set by a successful read must not be iterated over.
  if (!Find(object, name)) return;
  for (const Value item : List(object, name)) use(item);
}

// Returns `text` as a JSON string, in quotes and with escapes. The result is valid JSON whatever bytes `text`
// has: those that are not UTF-8 are replaced as by ReplaceInvalidUtf8().
std::string Quote(std::string_view text);

}  // namespace sagetally::json

#endif  // SAGETALLY_SRC_CONFIG_JSON_H_
