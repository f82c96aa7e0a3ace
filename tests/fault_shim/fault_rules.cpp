#include "fault_rules.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <utility>

namespace sagetally::fault_shim {
namespace {

struct ErrorName {
  std::string_view name;
  int number;
};

constexpr std::array kErrorNames = {ErrorName{"EAGAIN", EAGAIN},
                                    ErrorName{"EINTR", EINTR},
                                    ErrorName{"ENOBUFS", ENOBUFS},
                                    ErrorName{"ENOMEM", ENOMEM},
                                    ErrorName{"EMFILE", EMFILE},
                                    ErrorName{"ENFILE", ENFILE},
                                    ErrorName{"ECONNABORTED", ECONNABORTED},
                                    ErrorName{"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                    ErrorName{"ENETUNREACH", ENETUNREACH},
                                    ErrorName{"EHOSTUNREACH", EHOSTUNREACH},
                                    ErrorName{"ECONNRESET", ECONNRESET},
                                    ErrorName{"EPIPE", EPIPE},
                                    ErrorName{"ETIMEDOUT", ETIMEDOUT},
                                    ErrorName{"ECONNREFUSED", ECONNREFUSED},
                                    ErrorName{"EIO", EIO},
                                    ErrorName{"ENOSPC", ENOSPC}};

constexpr std::array<std::string_view, 14> kCalls = {
    "socket", "connect",    "accept", "readv",     "writev",    "recv",   "send",
    "sendto", "epoll_wait", "write",  "fdatasync", "ftruncate", "rename", "clock"};

bool ParseDouble(std::string_view text, double& value) {
  const std::string copy(text);
  char* end = nullptr;
  value = std::strtod(copy.c_str(), &end);
  return !copy.empty() && *end == '\0';
}

// Splits `text` at the first `separator`. The second part is empty if there is none.
std::pair<std::string_view, std::string_view> Split(std::string_view text, char separator) {
  const std::size_t position = text.find(separator);
  if (position == std::string_view::npos) return {text, {}};
  return {text.substr(0, position), text.substr(position + 1)};
}

bool ParseEffect(std::string_view text, Rule& rule) {
  if (text == "short" || text == "delay") {
    rule.effect = text == "short" ? Effect::kShort : Effect::kDelay;
    return true;
  }
  const auto* const found = std::find_if(kErrorNames.begin(), kErrorNames.end(),
                                         [&](const ErrorName& e) { return e.name == text; });
  if (found == kErrorNames.end()) return false;
  rule.error_number = found->number;
  return true;
}

bool ParseClockStep(std::string_view value, RuleSet& set) {
  const auto [step, start] = Split(value, '@');
  return ParseDouble(step, set.clock_step_seconds) && ParseDouble(start, set.clock_step_at_seconds);
}

bool ParseSetting(std::string_view name, std::string_view value, RuleSet& set) {
  double number = 0;
  if (!ParseDouble(value, number)) return false;
  if (name == "after") {
    set.after_seconds = number;
  } else if (name == "until") {
    set.until_seconds = number;
  } else if (name == "seed") {
    set.seed = static_cast<std::uint64_t>(number);
  } else {
    return false;
  }
  return true;
}

bool ParseItem(std::string_view item, RuleSet& set) {
  const auto [target, value] = Split(item, '=');
  const auto [call, effect] = Split(target, ':');
  if (effect.empty()) return ParseSetting(call, value, set);
  if (std::find(kCalls.begin(), kCalls.end(), call) == kCalls.end()) return false;
  if (call == "clock") return effect == "step" && ParseClockStep(value, set);
  Rule rule;
  rule.call = call;
  if (!ParseEffect(effect, rule) || !ParseDouble(value, rule.probability)) return false;
  set.rules.push_back(std::move(rule));
  return true;
}

}  // namespace

std::optional<RuleSet> ParseRules(std::string_view specification) {
  RuleSet set;
  while (!specification.empty()) {
    const auto [item, rest] = Split(specification, ',');
    if (!ParseItem(item, set)) return std::nullopt;
    specification = rest;
  }
  return set;
}

}  // namespace sagetally::fault_shim
