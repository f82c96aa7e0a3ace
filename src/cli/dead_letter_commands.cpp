#include "cli/dead_letter_commands.h"

#include <fcntl.h>

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/file_descriptor.h"
#include "cli/dead_letter_source.h"
#include "cli/table.h"
#include "dead_letter/operator_requests.h"
#include "dead_letter/rule_files.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

constexpr mode_t kExportFileMode = 0600;  // only for the owner, as bodies may be confidential

// The field names below are those of the control protocol, which docs/kept.md describes.
std::string GetText(const Json& object, const char* key) {
  const Json& value = object.at(key);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::int64_t GetNumber(const Json& object, const char* key) { return object.at(key).get<std::int64_t>(); }

std::string FormatYesOrNo(const Json& object, const char* key) {
  return object.at(key).get<bool>() ? "yes" : "no";
}

// Returns the id after which the next page begins, or an empty string if this is the last page.
std::string GetNextPageId(const Json& page) {
  return page.at("next").is_string() ? page.at("next").get<std::string>() : "";
}

void PrintPage(const Json& messages, std::ostream& out) {
  Table table(
      {"KEPT", "ENDED", "CLASS", "DEST", "STATE", "REASON", "TRIES", "RESENT", "MAY HAVE RUN", "SIZE"});
  for (const Json& message : messages) {
    table.Add({GetText(message, "kept"), FormatTime(GetNumber(message, "ended_us")),
               GetText(message, "class"), GetText(message, "destination"), GetText(message, "state"),
               GetText(message, "reason"), GetText(message, "attempts"), GetText(message, "resends"),
               FormatYesOrNo(message, "may_have_run"), FormatSize(GetNumber(message, "body_size"))});
  }
  table.Print(out);
}

void ListDeadLetters(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out) {
  const Json page = source.SendRequest(
      {{"op", "list"}, {"filter", command.filter}, {"limit", command.limit}, {"after", command.after}});
  if (command.as_json) {
    for (const Json& message : page.at("messages")) out << message.dump() << "\n";
    return;
  }
  PrintPage(page.at("messages"), out);
  if (page.at("next").is_string()) out << "more: --after " << page.at("next").get<std::string>() << "\n";
}

void PrintFields(const Json& message, bool with_body, std::ostream& out) {
  Table table({"FIELD", "VALUE"});
  for (const char* key : {"kept", "id", "key", "class", "destination", "form", "state", "end", "reason",
                          "attempts", "resends", "may_have_run", "rule", "ground"}) {
    table.Add({key, GetText(message, key)});
  }
  table.Add({"taken", FormatTime(GetNumber(message, "taken_us"))});
  table.Add({"deadline", FormatTime(GetNumber(message, "deadline_us"))});
  table.Add({"ended", FormatTime(GetNumber(message, "ended_us"))});
  table.Add({"body_size", FormatSize(GetNumber(message, "body_size"))});
  for (const auto& [name, value] : message.at("attributes").items()) {
    table.Add({"attribute " + name, value.get<std::string>()});
  }
  if (with_body) table.Add({"body_base64", GetText(message, "body_base64")});
  table.Print(out);
}

void PrintHistory(const Json& history, std::ostream& out) {
  Table table({"SENT", "ENDPOINT", "OUTCOME", "MAY HAVE RUN", "TOLD WAIT"});
  for (const Json& attempt : history) {
    const std::string outcome = attempt.at("outcome").is_null() ? "cut off" : GetText(attempt, "outcome");
    table.Add({FormatTime(GetNumber(attempt, "at_us")), GetText(attempt, "endpoint"), outcome,
               FormatYesOrNo(attempt, "may_have_run"), GetText(attempt, "told_wait_ms") + " ms"});
  }
  table.Print(out);
}

void ShowDeadLetter(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out) {
  const Json message =
      source.SendRequest({{"op", "show"}, {"id", command.id}, {"body", command.with_body}}).at("message");
  if (command.as_json) {
    out << message.dump() << "\n";
    return;
  }
  PrintFields(message, command.with_body, out);
  out << "\n";
  PrintHistory(message.at("history"), out);
}

void PrintStats(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out) {
  Json stats = source.SendRequest({{"op", "stats"}, {"by", command.by}});
  if (source.is_running()) stats["live"] = source.SendRequest({{"op", "status"}}).at("live");
  if (command.as_json) {
    out << stats.dump() << "\n";
    return;
  }
  Table table({command.by, "MESSAGES"});
  for (const auto& [name, count] : stats.at("counts").items()) table.Add({name, count.dump()});
  table.Add({"all", GetText(stats, "all")});
  table.Print(out);
  out << "store: " << FormatSize(GetNumber(stats, "used_bytes")) << "\n";
  if (!stats.contains("live")) return;
  out << "since the node's start:";
  for (const auto& [name, count] : stats["live"].items()) out << " " << name << "=" << count.dump();
  out << "\n";
}

std::int64_t CountAll(DeadLetterSource& source) {
  return GetNumber(source.SendRequest({{"op", "stats"}, {"by", "state"}}), "all");
}

std::int64_t WriteAllPages(std::ostream& out, DeadLetterSource& source, const DeadLetterOptions& command,
                           Progress& progress) {
  const int page_size = command.with_body ? dead_letter::kMaxPageSizeWithBodies : dead_letter::kMaxPageSize;
  std::string after;
  std::int64_t written = 0;
  do {
    const Json page = source.SendRequest({{"op", "list"},
                                          {"filter", command.filter},
                                          {"limit", page_size},
                                          {"after", after},
                                          {"body", command.with_body}});
    for (const Json& message : page.at("messages")) out << message.dump() << "\n";
    const auto count = static_cast<std::int64_t>(page.at("messages").size());
    written += count;
    progress.Advance(count);
    after = GetNextPageId(page);
  } while (!after.empty());
  out.flush();
  return written;
}

// Creates a new file. Throws std::runtime_error if the file exists, so that no file is overwritten.
std::ofstream CreateExportFile(const std::string& path) {
  const FileDescriptor fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kExportFileMode));
  if (fd.get() < 0) throw std::runtime_error(path + ": can't be made, or exists");
  return std::ofstream(path);
}

void ExportDeadLetters(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out,
                       std::ostream& progress_out) {
  if (command.output.empty()) {
    Progress progress(progress_out, CountAll(source));
    WriteAllPages(out, source, command, progress);
    if (!out) throw std::runtime_error("can't write: standard output");
    return;
  }
  std::ofstream file = CreateExportFile(command.output);
  Progress progress(progress_out, CountAll(source));
  const std::int64_t written = WriteAllPages(file, source, command, progress);
  if (!file) throw std::runtime_error("can't write: " + command.output);
  out << written << " messages written to " << command.output << "\n";
}

// Adds each number in `addend`, including those in nested objects, to the number with the same key in `sum`.
void AddNumbers(Json& sum, const Json& addend) {
  for (const auto& [key, value] : addend.items()) {
    if (value.is_object()) {
      if (!sum.contains(key)) sum[key] = Json::object();
      AddNumbers(sum[key], value);
    } else if (value.is_number()) {
      sum[key] = sum.value(key, std::int64_t{0}) + value.get<std::int64_t>();
    }
  }
}

std::string FormatReasons(const Json& reasons) {
  std::string text;
  for (const auto& [reason, count] : reasons.items()) {
    if (!text.empty()) text += ", ";
    text += reason + " " + count.dump();
  }
  return text;
}

Json DryRunOnAllPages(DeadLetterSource& source, const std::string& path, const std::string& rules,
                      Progress& progress) {
  Json sum = Json::object();
  std::string after;
  do {
    Json page_counts;
    try {
      page_counts = source.SendRequest({{"op", "try"}, {"rules", rules}, {"after", after}});
    } catch (const std::exception& error) {
      throw std::runtime_error(path + ": " + error.what());
    }
    progress.Advance(GetNumber(page_counts, "looked_at"));
    after = GetNextPageId(page_counts);
    page_counts.erase("v");
    AddNumbers(sum, page_counts);
  } while (!after.empty());
  return sum;
}

void DryRunRules(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out,
                 std::ostream& progress_out) {
  const std::string rules = dead_letter::ReadTextFile(command.rules);
  Progress progress(progress_out, CountAll(source));
  const Json sum = DryRunOnAllPages(source, command.rules, rules, progress);
  if (command.as_json) {
    out << sum.dump() << "\n";
    return;
  }
  Table table({"RULE", "MATCHED", "RESEND", "LATER", "HOLD", "DROP", "NOT ALLOWED"});
  // The parsed rules are in the order of the file, which the JSON object has lost.
  const dead_letter::RuleSet parsed = dead_letter::ParseRules(rules, {});
  for (const dead_letter::Rule& rule : parsed.rules) {
    const Json& counts = sum.at("rules").at(rule.name);
    const auto count = [&](const char* key) { return std::to_string(counts.value(key, std::int64_t{0})); };
    table.Add({rule.name, count("matched"), count("resend"), count("later"), count("hold"), count("drop"),
               FormatReasons(counts.value("grounds", Json::object()))});
  }
  table.Print(out);
  out << "no rule matches: " << GetText(sum, "unmatched")
      << ", completed or being redriven: " << GetText(sum, "over") << "\n";
}

Json ApplyActionToAllPages(DeadLetterSource& source, const DeadLetterOptions& command,
                           const std::string& action, Progress& progress) {
  Json sum = {{"changed", 0}, {"forbidden", 0}, {"grounds", Json::object()}};
  Json cursor = 0;
  while (!cursor.is_null()) {
    Json page_counts = source.SendRequest({{"op", "act"},
                                           {"action", action},
                                           {"filter", command.filter},
                                           {"cursor", cursor},
                                           {"only_count", !command.yes}});
    cursor = page_counts.at("cursor");
    page_counts.erase("v");
    page_counts.erase("cursor");
    progress.Advance(GetNumber(page_counts, "changed") + GetNumber(page_counts, "forbidden"));
    AddNumbers(sum, page_counts);
  }
  return sum;
}

void ApplyAction(DeadLetterSource& source, const DeadLetterOptions& command, const std::string& action,
                 std::ostream& out, std::ostream& progress_out) {
  Progress progress(progress_out, CountAll(source));
  Json sum = ApplyActionToAllPages(source, command, action, progress);
  if (command.as_json) {
    sum["done"] = command.yes;
    out << sum.dump() << "\n";
    return;
  }
  out << (command.yes ? "" : "would ") << action << ": " << GetText(sum, "changed") << " messages\n";
  if (GetNumber(sum, "forbidden") > 0) {
    out << "not allowed: " << GetText(sum, "forbidden") << " (" << FormatReasons(sum.at("grounds")) << ")\n";
  }
  if (!command.yes) out << "nothing was changed; use --yes to apply the action\n";
}

void CheckRules(const DeadLetterOptions& command, const Options& options, std::ostream& out) {
  const std::optional<dead_letter::ReviewSettings> review = ReadReviewSettings(options);
  const auto rules =
      dead_letter::ReadRules(command.rules, review ? review->class_names : std::vector<std::string>());
  out << rules->rules.size() << " rules can be used"
      << (review ? "" : "; classes were not checked, as --config is not set") << "\n";
}

}  // namespace

int RunDeadLetterCommand(const DeadLetterOptions& command, const Options& options, std::ostream& out,
                         std::ostream& progress) {
  if (command.command == DeadLetterCommand::kCheckRules) {
    CheckRules(command, options, out);
    return 0;
  }
  const std::unique_ptr<DeadLetterSource> source = OpenDeadLetterSource(command.state, options);
  switch (command.command.value()) {
    case DeadLetterCommand::kList:
      ListDeadLetters(*source, command, out);
      break;
    case DeadLetterCommand::kShow:
      ShowDeadLetter(*source, command, out);
      break;
    case DeadLetterCommand::kStats:
      PrintStats(*source, command, out);
      break;
    case DeadLetterCommand::kExport:
      ExportDeadLetters(*source, command, out, progress);
      break;
    case DeadLetterCommand::kTry:
      DryRunRules(*source, command, out, progress);
      break;
    case DeadLetterCommand::kResend:
      ApplyAction(*source, command, "resend", out, progress);
      break;
    case DeadLetterCommand::kHold:
      ApplyAction(*source, command, "hold", out, progress);
      break;
    case DeadLetterCommand::kDrop:
      ApplyAction(*source, command, "drop", out, progress);
      break;
    case DeadLetterCommand::kCheckRules:
      break;  // handled above, as it needs no source
  }
  return 0;
}

}  // namespace sagetally
