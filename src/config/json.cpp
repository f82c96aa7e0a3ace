#include "config/json.h"

#include "base/utf8.h"

namespace sagetally::json {
namespace {

const char* TypeName(Value value) {
  switch (value.type()) {
    case simdjson::dom::element_type::ARRAY:
      return "an array";
    case simdjson::dom::element_type::OBJECT:
      return "an object";
    case simdjson::dom::element_type::INT64:
    case simdjson::dom::element_type::UINT64:
    case simdjson::dom::element_type::DOUBLE:
      return "a number";
    case simdjson::dom::element_type::STRING:
      return "a string";
    case simdjson::dom::element_type::BOOL:
      return "a boolean";
    case simdjson::dom::element_type::NULL_VALUE:
      break;
  }
  return "null";
}

}  // namespace

void Malformed(const std::string& message) { throw FormatError(message); }

void ThrowWrongType(Value value, const char* name, const char* expected) {
  throw FormatError(std::string("wrong type of '") + name + "'", {name, expected, TypeName(value)});
}

Value Parse(simdjson::dom::parser& parser, std::string_view text) {
  Value root;
  if (const simdjson::error_code error = parser.parse(text.data(), text.size()).get(root)) {
    throw FormatError(std::string("no JSON: ") + simdjson::error_message(error), {"", "JSON", ""});
  }
  return root;
}

Value ParseReplacingInvalidUtf8(simdjson::dom::parser& parser, std::string_view text) {
  return IsUtf8(text) ? Parse(parser, text) : Parse(parser, ReplaceInvalidUtf8(text));
}

bool Find(Value object, const char* name, Value& out) {
  simdjson::dom::object fields;
  if (object.get(fields) != simdjson::SUCCESS) {
    throw FormatError(std::string("no object around '") + name + "'", {name, "an object", TypeName(object)});
  }
  return fields.at_key(name).get(out) == simdjson::SUCCESS && !out.is_null();
}

std::optional<Value> Find(Value object, const char* name) {
  Value value;
  if (!Find(object, name, value)) return std::nullopt;
  return value;
}

Value Require(Value object, const char* name) {
  const std::optional<Value> value = Find(object, name);
  if (!value) throw FormatError(std::string("missing field '") + name + "'", {name, "a value", "nothing"});
  return *value;
}

namespace internal {

bool AsBoolean(Value value, const char* name) {
  bool result = false;
  if (value.get(result) != simdjson::SUCCESS) ThrowWrongType(value, name, "a boolean");
  return result;
}

std::string AsString(Value value, const char* name) {
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS) ThrowWrongType(value, name, "a string");
  return std::string(text);
}

double AsNumber(Value value, const char* name, const char* expected) {
  double number = 0;
  if (value.get(number) != simdjson::SUCCESS || !std::isfinite(number)) ThrowWrongType(value, name, expected);
  return number;
}

}  // namespace internal

Duration Milliseconds(double milliseconds) {
  static constexpr double kMaxMilliseconds = 1e12;
  if (std::abs(milliseconds) > kMaxMilliseconds) Malformed("time out of range");
  return Duration(std::llround(milliseconds * 1000.0));
}

Duration GetMs(Value object, const char* name) { return Milliseconds(Get<double>(object, name)); }

Duration GetMs(Value object, const char* name, double default_milliseconds) {
  return Milliseconds(Get<double>(object, name, default_milliseconds));
}

simdjson::dom::array List(Value object, const char* name) {
  const Value value = Require(object, name);
  simdjson::dom::array list;
  if (value.get(list) != simdjson::SUCCESS) ThrowWrongType(value, name, "an array");
  return list;
}

std::string Quote(std::string_view text) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char c : ReplaceInvalidUtf8(text)) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += {'\\', c};
    } else if (byte < 0x20) {
      quoted += {'\\', 'u', '0', '0', kHexDigits[byte >> 4], kHexDigits[byte & 15]};
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

}  // namespace sagetally::json
