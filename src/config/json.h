// Reading JSON with simdjson: typed access that names the field it misses, and quoting for what is written.
#ifndef SAGETALLY_SRC_CONFIG_JSON_H_
#define SAGETALLY_SRC_CONFIG_JSON_H_

#include <simdjson.h>

#include <cmath>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

#include "sagetally/dispatch_policy.h"

namespace sagetally::json {

using Value = simdjson::dom::element;

[[noreturn]] inline void Malformed(const std::string& what) { throw std::runtime_error(what); }

// The field's value, or nothing if it is absent or null.
inline bool Find(Value object, const char* name, Value& out) {
  simdjson::dom::object fields;
  if (object.get(fields) != simdjson::SUCCESS) Malformed(std::string("no object around '") + name + "'");
  return fields.at_key(name).get(out) == simdjson::SUCCESS && !out.is_null();
}

inline Value Require(Value object, const char* name) {
  Value value;
  if (!Find(object, name, value)) Malformed(std::string("missing field '") + name + "'");
  return value;
}

template <typename T>
T As(Value value, const char* name) {
  const auto wrong = [&] { Malformed(std::string("wrong type of '") + name + "'"); };
  if constexpr (std::is_same_v<T, bool>) {
    bool b = false;
    if (value.get(b) != simdjson::SUCCESS) wrong();
    return b;
  } else if constexpr (std::is_same_v<T, std::string>) {
    std::string_view text;
    if (value.get(text) != simdjson::SUCCESS) wrong();
    return std::string(text);
  } else {
    if constexpr (std::is_integral_v<T>) {
      std::uint64_t whole = 0;
      if (value.get(whole) == simdjson::SUCCESS && std::in_range<T>(whole)) return static_cast<T>(whole);
    }
    double number = 0;
    if (value.get(number) != simdjson::SUCCESS || !std::isfinite(number)) wrong();
    if constexpr (std::is_integral_v<T>) {
      if (std::trunc(number) != number || std::abs(number) > 9e15) wrong();
      if (!std::in_range<T>(static_cast<std::int64_t>(number))) wrong();
    }
    return static_cast<T>(number);
  }
}

template <typename T>
T Get(Value object, const char* name) {
  return As<T>(Require(object, name), name);
}
template <typename T>
T Get(Value object, const char* name, T otherwise) {
  Value value;
  return Find(object, name, value) ? As<T>(value, name) : otherwise;
}

inline Duration Milliseconds(double ms) {
  if (std::abs(ms) > 1e12) Malformed("time out of range");
  return Duration(std::llround(ms * 1000.0));
}
template <typename... Otherwise>
Duration GetMs(Value object, const char* name, Otherwise... otherwise) {
  return Milliseconds(Get<double>(object, name, otherwise...));
}

inline simdjson::dom::array List(Value object, const char* name) {
  simdjson::dom::array list;
  if (Require(object, name).get(list) != simdjson::SUCCESS) {
    Malformed(std::string("wrong type of '") + name + "'");
  }
  return list;
}

// A string as JSON, in quotes. Bytes that are no UTF-8 must not reach this.
std::string Quote(std::string_view text);

}  // namespace sagetally::json

#endif  // SAGETALLY_SRC_CONFIG_JSON_H_
