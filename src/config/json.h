// Reading JSON with simdjson: typed access to fields, with errors that name the field, and quoting for JSON
// that is written. Used by every reader of JSON from outside but the operators' files, which need a document
// they can change.
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

// Throws FormatError.
[[noreturn]] void Malformed(const std::string& message);
[[noreturn]] void ThrowWrongType(Value value, const char* name, const char* expected);

// Parses a document. The values in it last as long as `parser` and until it parses the next one. Throws
// FormatError.
Value Parse(simdjson::dom::parser& parser, std::string_view text);

// Returns the field's value, or nothing if it is absent or null. Throws FormatError if `object` is no object.
std::optional<Value> Find(Value object, const char* name);
// The same: sets `out` and returns true if the field has a value.
bool Find(Value object, const char* name, Value& out);
// Returns the field's value. Throws FormatError if it is absent or null.
Value Require(Value object, const char* name);

namespace internal {

bool AsBoolean(Value value, const char* name);
std::string AsString(Value value, const char* name);
// A finite number.
double AsNumber(Value value, const char* name, const char* expected);

// Also takes a number that is written with a fraction or an exponent, if it is whole.
template <typename T>
T AsInteger(Value value, const char* name) {
  static constexpr double kLargestExact = 9e15;  // doubles beyond it don't hold every whole number
  static constexpr const char* kExpected = "a whole number in its range";
  std::uint64_t whole = 0;
  if (value.get(whole) == simdjson::SUCCESS && std::in_range<T>(whole)) return static_cast<T>(whole);
  const double number = AsNumber(value, name, kExpected);
  const bool is_whole = std::trunc(number) == number && std::abs(number) <= kLargestExact;
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

// Returns a field that must be there. Throws FormatError.
template <typename T>
T Get(Value object, const char* name) {
  return As<T>(Require(object, name), name);
}
// Returns a field, or `default_value` if it is absent or null. Throws FormatError.
template <typename T>
T Get(Value object, const char* name, T default_value) {
  const std::optional<Value> value = Find(object, name);
  return value ? As<T>(*value, name) : default_value;
}

// Returns a time given in milliseconds, rounded to microseconds. Throws FormatError beyond 1e12 ms.
Duration Milliseconds(double milliseconds);
// Returns a field in milliseconds. Throws FormatError.
Duration GetMs(Value object, const char* name);
Duration GetMs(Value object, const char* name, double default_milliseconds);

// Returns a field that must be there and hold an array. Throws FormatError.
simdjson::dom::array List(Value object, const char* name);
// Calls `use(item)` for each item of a field that is an array; not at all if it is absent or null. Throws
// FormatError.
template <typename Use>
void ForEach(Value object, const char* name, Use use) {
  // An array of simdjson's that was never read must not be walked.
  if (!Find(object, name)) return;
  for (const Value item : List(object, name)) use(item);
}

// Returns a string as JSON, in quotes. `text` must be UTF-8.
std::string Quote(std::string_view text);

}  // namespace sagetally::json

#endif  // SAGETALLY_SRC_CONFIG_JSON_H_
