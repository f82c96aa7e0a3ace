// Parses operators' requests. The keys and words belong to the protocol and must not change.
#include <array>
#include <nlohmann/json.hpp>

#include "dead_letter/operator_requests.h"

namespace sagetally::dead_letter {
namespace {

using Json = nlohmann::json;
using Kind = OperatorRequest::Kind;

[[noreturn]] void ThrowExpected(const char* key, const std::string& expected) {
  throw OperatorRequestError(std::string("/") + key, "expected " + expected);
}

std::string ReadText(const Json& request, const char* key, const std::string& default_value) {
  if (!request.contains(key)) return default_value;
  if (!request[key].is_string()) ThrowExpected(key, "a string");
  return request[key].get<std::string>();
}

struct NumberRange {
  std::int64_t min;
  std::int64_t max;
};

std::int64_t ReadNumber(const Json& request, const char* key, NumberRange range, std::int64_t default_value) {
  if (!request.contains(key)) return default_value;
  const Json& value = request[key];
  const bool is_in_range = value.is_number_integer() && value.get<std::int64_t>() >= range.min &&
                           value.get<std::int64_t>() <= range.max;
  if (!is_in_range) {
    ThrowExpected(key,
                  "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
  }
  return value.get<std::int64_t>();
}

bool ReadFlag(const Json& request, const char* key) {
  if (!request.contains(key)) return false;
  if (!request[key].is_boolean()) ThrowExpected(key, "true or false");
  return request[key].get<bool>();
}

std::optional<DeadLetterId> ReadId(const Json& request, const char* key) {
  const std::string text = ReadText(request, key, "");
  if (text.empty()) return std::nullopt;
  std::optional<DeadLetterId> id = ParseDeadLetterId(text);
  if (!id) ThrowExpected(key, "NODE/NUMBER");
  return id;
}

Condition ReadFilter(const Json& request, const std::vector<std::string>& classes) {
  const std::string text = ReadText(request, "filter", "true");
  try {
    return ParseCondition(text, classes);
  } catch (const RuleError& error) {
    throw OperatorRequestError("filter", error.what());
  }
}

RuleSet ReadRuleText(const Json& request, const std::vector<std::string>& classes) {
  const std::string text = ReadText(request, "rules", "");
  try {
    return ParseRules(text, classes);
  } catch (const RuleError& error) {
    throw OperatorRequestError("rules", error.what());
  }
}

RuleAction::Kind ReadAction(const Json& request) {
  const std::string action = ReadText(request, "action", "");
  if (action == "resend") return RuleAction::Kind::kRedrive;
  if (action == "hold") return RuleAction::Kind::kHold;
  if (action == "drop") return RuleAction::Kind::kDrop;
  ThrowExpected("action", "resend, hold or drop");
}

struct Operation {
  std::string_view name;
  Kind kind;
};
constexpr std::array<Operation, 6> kOperations = {{{"status", Kind::kStatus},
                                                   {"list", Kind::kList},
                                                   {"show", Kind::kShow},
                                                   {"stats", Kind::kStats},
                                                   {"try", Kind::kDryRun},
                                                   {"act", Kind::kAct}}};

Kind ReadKind(const Json& request) {
  const std::string name = ReadText(request, "op", "");
  for (const Operation& operation : kOperations) {
    if (operation.name == name) return operation.kind;
  }
  ThrowExpected("op", "one of status, list, show, stats, try, act");
}

void CheckVersion(const Json& request) {
  if (request.contains("v") && request["v"] == kControlVersion) return;
  ThrowExpected("v", std::to_string(kControlVersion) + ", the version of this node's control socket");
}

void ReadListArguments(const Json& request, const std::vector<std::string>& classes,
                       OperatorRequest& result) {
  result.filter = ReadFilter(request, classes);
  result.with_body = ReadFlag(request, "body");
  const int max_limit = result.with_body ? kMaxPageSizeWithBodies : kMaxPageSize;
  result.limit = static_cast<int>(ReadNumber(request, "limit", {1, max_limit}, result.limit));
  result.after = ReadId(request, "after");
}

void ReadShowArguments(const Json& request, OperatorRequest& result) {
  const std::optional<DeadLetterId> id = ReadId(request, "id");
  if (!id) ThrowExpected("id", "NODE/NUMBER");
  result.id = *id;
  result.with_body = ReadFlag(request, "body");
}

void ReadActArguments(const Json& request, const std::vector<std::string>& classes, OperatorRequest& result) {
  result.filter = ReadFilter(request, classes);
  result.action = ReadAction(request);
  result.cursor = ReadNumber(request, "cursor", {0, INT64_MAX}, 0);
  result.only_count = ReadFlag(request, "only_count");
}

}  // namespace

OperatorRequest ParseOperatorRequest(std::string_view line, const std::vector<std::string>& classes) {
  const Json request = Json::parse(line, nullptr, false);
  if (!request.is_object()) throw OperatorRequestError("", "expected one JSON object per line");
  CheckVersion(request);
  OperatorRequest result;
  result.kind = ReadKind(request);
  switch (result.kind) {
    case Kind::kStatus:
      break;
    case Kind::kList:
      ReadListArguments(request, classes, result);
      break;
    case Kind::kShow:
      ReadShowArguments(request, result);
      break;
    case Kind::kStats:
      result.by = ReadText(request, "by", result.by);
      break;
    case Kind::kDryRun:
      result.rules = ReadRuleText(request, classes);
      result.after = ReadId(request, "after");
      break;
    case Kind::kAct:
      ReadActArguments(request, classes, result);
      break;
  }
  return result;
}

}  // namespace sagetally::dead_letter
