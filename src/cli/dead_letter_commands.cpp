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

constexpr mode_t kExportFileMode = 0600;  // bodies may be private

// The fields of the answers are those of the protocol, docs/kept.md.
std::string TextOf(const Json& object, const char* key) {
  const Json& value = object.at(key);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::int64_t NumberOf(const Json& object, const char* key) { return object.at(key).get<std::int64_t>(); }

std::string YesOrNo(const Json& object, const char* key) { return object.at(key).get<bool>() ? "yes" : "no"; }

// The id by which the next page is asked for; empty: this was the last one.
std::string NextPage(const Json& page) {
  return page.at("next").is_string() ? page.at("next").get<std::string>() : "";
}

void PrintPage(const Json& messages, std::ostream& out) {
  Table table(
      {"KEPT", "ENDED", "CLASS", "DEST", "STATE", "REASON", "TRIES", "RESENT", "MAY HAVE RUN", "SIZE"});
  for (const Json& message : messages) {
    table.Add({TextOf(message, "kept"), FormatTime(NumberOf(message, "ended_us")), TextOf(message, "class"),
               TextOf(message, "destination"), TextOf(message, "state"), TextOf(message, "reason"),
               TextOf(message, "attempts"), TextOf(message, "resends"), YesOrNo(message, "may_have_run"),
               FormatSize(NumberOf(message, "body_size"))});
  }
  table.Print(out);
}

void List(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out) {
  const Json page = source.Ask(
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
    table.Add({key, TextOf(message, key)});
  }
  table.Add({"taken", FormatTime(NumberOf(message, "taken_us"))});
  table.Add({"deadline", FormatTime(NumberOf(message, "deadline_us"))});
  table.Add({"ended", FormatTime(NumberOf(message, "ended_us"))});
  table.Add({"body_size", FormatSize(NumberOf(message, "body_size"))});
  for (const auto& [name, value] : message.at("attributes").items()) {
    table.Add({"attribute " + name, value.get<std::string>()});
  }
  if (with_body) table.Add({"body_base64", TextOf(message, "body_base64")});
  table.Print(out);
}

void PrintHistory(const Json& history, std::ostream& out) {
  Table table({"SENT", "ENDPOINT", "OUTCOME", "MAY HAVE RUN", "TOLD WAIT"});
  for (const Json& attempt : history) {
    const std::string outcome = attempt.at("outcome").is_null() ? "cut off" : TextOf(attempt, "outcome");
    table.Add({FormatTime(NumberOf(attempt, "at_us")), TextOf(attempt, "endpoint"), outcome,
               YesOrNo(attempt, "may_have_run"), TextOf(attempt, "told_wait_ms") + " ms"});
  }
  table.Print(out);
}

void Show(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out) {
  const Json message =
      source.Ask({{"op", "show"}, {"id", command.id}, {"body", command.with_body}}).at("message");
  if (command.as_json) {
    out << message.dump() << "\n";
    return;
  }
  PrintFields(message, command.with_body, out);
  out << "\n";
  PrintHistory(message.at("history"), out);
}

void Stats(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out) {
  Json stats = source.Ask({{"op", "stats"}, {"by", command.by}});
  if (source.is_running()) stats["live"] = source.Ask({{"op", "status"}}).at("live");
  if (command.as_json) {
    out << stats.dump() << "\n";
    return;
  }
  Table table({command.by, "MESSAGES"});
  for (const auto& [name, count] : stats.at("counts").items()) table.Add({name, count.dump()});
  table.Add({"all", TextOf(stats, "all")});
  table.Print(out);
  out << "store: " << FormatSize(NumberOf(stats, "used_bytes")) << "\n";
  if (!stats.contains("live")) return;
  out << "since the node's start:";
  for (const auto& [name, count] : stats["live"].items()) out << " " << name << "=" << count.dump();
  out << "\n";
}

std::int64_t CountAll(DeadLetterSource& source) {
  return NumberOf(source.Ask({{"op", "stats"}, {"by", "state"}}), "all");
}

std::int64_t ExportTo(std::ostream& out, DeadLetterSource& source, const DeadLetterOptions& command,
                      Progress& progress) {
  const int page_size = command.with_body ? dead_letter::kMaxPageSizeWithBodies : dead_letter::kMaxPageSize;
  std::string after;
  std::int64_t written = 0;
  do {
    const Json page = source.Ask({{"op", "list"},
                                  {"filter", command.filter},
                                  {"limit", page_size},
                                  {"after", after},
                                  {"body", command.with_body}});
    for (const Json& message : page.at("messages")) out << message.dump() << "\n";
    const auto count = static_cast<std::int64_t>(page.at("messages").size());
    written += count;
    progress.Advance(count);
    after = NextPage(page);
  } while (!after.empty());
  out.flush();
  return written;
}

// Never over a file that exists.
std::ofstream MakeExportFile(const std::string& path) {
  const FileDescriptor fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kExportFileMode));
  if (fd.get() < 0) throw std::runtime_error(path + ": can't be made, or exists");
  return std::ofstream(path);
}

void Export(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out,
            std::ostream& progress_out) {
  if (command.output.empty()) {
    Progress progress(progress_out, CountAll(source));
    ExportTo(out, source, command, progress);
    if (!out) throw std::runtime_error("can't write: standard output");
    return;
  }
  std::ofstream file = MakeExportFile(command.output);
  Progress progress(progress_out, CountAll(source));
  const std::int64_t written = ExportTo(file, source, command, progress);
  if (!file) throw std::runtime_error("can't write: " + command.output);
  out << written << " messages written to " << command.output << "\n";
}

// Adds the numbers of `part`, those of objects in it too, to the same ones of `sum`.
void AddUp(Json& sum, const Json& part) {
  for (const auto& [key, value] : part.items()) {
    if (value.is_object()) {
      if (!sum.contains(key)) sum[key] = Json::object();
      AddUp(sum[key], value);
    } else if (value.is_number()) {
      sum[key] = sum.value(key, std::int64_t{0}) + value.get<std::int64_t>();
    }
  }
}

std::string ReasonsText(const Json& reasons) {
  std::string text;
  for (const auto& [reason, count] : reasons.items()) {
    if (!text.empty()) text += ", ";
    text += reason + " " + count.dump();
  }
  return text;
}

Json TryAll(DeadLetterSource& source, const std::string& path, const std::string& rules, Progress& progress) {
  Json sum = Json::object();
  std::string after;
  do {
    Json part;
    try {
      part = source.Ask({{"op", "try"}, {"rules", rules}, {"after", after}});
    } catch (const std::exception& error) {
      throw std::runtime_error(path + ": " + error.what());
    }
    progress.Advance(NumberOf(part, "looked_at"));
    after = NextPage(part);
    part.erase("v");
    AddUp(sum, part);
  } while (!after.empty());
  return sum;
}

void Try(DeadLetterSource& source, const DeadLetterOptions& command, std::ostream& out,
         std::ostream& progress_out) {
  const std::string rules = dead_letter::ReadTextFile(command.rules);
  Progress progress(progress_out, CountAll(source));
  const Json sum = TryAll(source, command.rules, rules, progress);
  if (command.as_json) {
    out << sum.dump() << "\n";
    return;
  }
  Table table({"RULE", "MATCHED", "RESEND", "LATER", "HOLD", "DROP", "NOT ALLOWED"});
  const dead_letter::RuleSet parsed = dead_letter::ParseRules(rules, {});  // in the file's order
  for (const dead_letter::Rule& rule : parsed.rules) {
    const Json& counts = sum.at("rules").at(rule.name);
    const auto count = [&](const char* key) { return std::to_string(counts.value(key, std::int64_t{0})); };
    table.Add({rule.name, count("matched"), count("resend"), count("later"), count("hold"), count("drop"),
               ReasonsText(counts.value("grounds", Json::object()))});
  }
  table.Print(out);
  out << "no rule matches: " << TextOf(sum, "unmatched") << ", over or under way: " << TextOf(sum, "over")
      << "\n";
}

Json ActOnAll(DeadLetterSource& source, const DeadLetterOptions& command, const std::string& action,
              Progress& progress) {
  Json sum = {{"changed", 0}, {"forbidden", 0}, {"grounds", Json::object()}};
  Json cursor = 0;
  while (!cursor.is_null()) {
    Json part = source.Ask({{"op", "act"},
                            {"action", action},
                            {"filter", command.filter},
                            {"cursor", cursor},
                            {"only_count", !command.yes}});
    cursor = part.at("cursor");
    part.erase("v");
    part.erase("cursor");
    progress.Advance(NumberOf(part, "changed") + NumberOf(part, "forbidden"));
    AddUp(sum, part);
  }
  return sum;
}

void Act(DeadLetterSource& source, const DeadLetterOptions& command, const std::string& action,
         std::ostream& out, std::ostream& progress_out) {
  Progress progress(progress_out, CountAll(source));
  Json sum = ActOnAll(source, command, action, progress);
  if (command.as_json) {
    sum["done"] = command.yes;
    out << sum.dump() << "\n";
    return;
  }
  out << (command.yes ? "" : "would ") << action << ": " << TextOf(sum, "changed") << " messages\n";
  if (NumberOf(sum, "forbidden") > 0) {
    out << "not allowed: " << TextOf(sum, "forbidden") << " (" << ReasonsText(sum.at("grounds")) << ")\n";
  }
  if (!command.yes) out << "nothing was changed; --yes does it\n";
}

void CheckRules(const DeadLetterOptions& command, const Options& options, std::ostream& out) {
  const std::optional<dead_letter::ReviewSettings> review = ReadReviewSettings(options);
  const auto rules =
      dead_letter::ReadRules(command.rules, review ? review->class_names : std::vector<std::string>());
  out << rules->rules.size() << " rules can be used"
      << (review ? "" : "; classes were not checked: no --config") << "\n";
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
      List(*source, command, out);
      break;
    case DeadLetterCommand::kShow:
      Show(*source, command, out);
      break;
    case DeadLetterCommand::kStats:
      Stats(*source, command, out);
      break;
    case DeadLetterCommand::kExport:
      Export(*source, command, out, progress);
      break;
    case DeadLetterCommand::kTry:
      Try(*source, command, out, progress);
      break;
    case DeadLetterCommand::kResend:
      Act(*source, command, "resend", out, progress);
      break;
    case DeadLetterCommand::kHold:
      Act(*source, command, "hold", out, progress);
      break;
    case DeadLetterCommand::kDrop:
      Act(*source, command, "drop", out, progress);
      break;
    case DeadLetterCommand::kCheckRules:
      break;  // above, without a source
  }
  return 0;
}

}  // namespace sagetally
