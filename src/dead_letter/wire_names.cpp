#include "dead_letter/wire_names.h"

#include <algorithm>
#include <array>

namespace sagetally::dead_letter {
namespace {

// The tables are in the order of their enumerations.
constexpr std::array<std::string_view, 10> kFailureReasons = {"none",
                                                              "attempts_used_up",
                                                              "out_of_time_unsent",
                                                              "out_of_time_after_calls",
                                                              "refused_to_the_end",
                                                              "may_not_be_repeated",
                                                              "repeat_window_over",
                                                              "restart",
                                                              "shed",
                                                              "forbidden_on_restart"};
constexpr std::array<std::string_view, kDeadLetterStateCount> kStates = {
    "kept", "held", "claimed", "delivered", "dropped", "handed_in_again"};
constexpr std::array<std::string_view, 8> kOutcomes = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};
constexpr std::array<std::string_view, 5> kFinalStatuses = {"none", "delivered", "undeliverable", "deferred",
                                                            "over"};

template <typename Enum, std::size_t kSize>
std::string_view NameIn(const std::array<std::string_view, kSize>& names, Enum value,
                        std::string_view fallback) {
  const auto index = static_cast<std::size_t>(value);
  return index < names.size() ? names[index] : fallback;
}

template <typename Enum, std::size_t kSize>
std::optional<Enum> ParseIn(const std::array<std::string_view, kSize>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<Enum>(found - names.begin());
}

template <std::size_t kSize>
std::vector<std::string> ListOf(const std::array<std::string_view, kSize>& names) {
  return {names.begin(), names.end()};
}

}  // namespace

std::string_view Name(FailureReason reason) { return NameIn(kFailureReasons, reason, "none"); }
std::string_view Name(DeadLetterState state) { return NameIn(kStates, state, "held"); }
std::string_view Name(Outcome outcome) { return NameIn(kOutcomes, outcome, "timeout"); }
std::string_view Name(FinalStatus status) { return NameIn(kFinalStatuses, status, "none"); }

std::optional<FailureReason> ParseFailureReason(std::string_view name) {
  return ParseIn<FailureReason>(kFailureReasons, name);
}
std::optional<DeadLetterState> ParseDeadLetterState(std::string_view name) {
  return ParseIn<DeadLetterState>(kStates, name);
}
std::optional<Outcome> ParseOutcome(std::string_view name) { return ParseIn<Outcome>(kOutcomes, name); }
std::optional<FinalStatus> ParseFinalStatus(std::string_view name) {
  if (name == Name(FinalStatus::kFailed)) return FinalStatus::kFailed;
  if (name == Name(FinalStatus::kRejected)) return FinalStatus::kRejected;
  return std::nullopt;
}

std::vector<std::string> FailureReasonNames() { return ListOf(kFailureReasons); }
std::vector<std::string> DeadLetterStateNames() { return ListOf(kStates); }
std::vector<std::string> OutcomeNames() { return ListOf(kOutcomes); }
std::vector<std::string> FinalStatusNames() {
  return {std::string(Name(FinalStatus::kFailed)), std::string(Name(FinalStatus::kRejected))};
}

}  // namespace sagetally::dead_letter
