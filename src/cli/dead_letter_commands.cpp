#include "cli/dead_letter_commands.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/file_descriptor.h"
#include "cli/table.h"
#include "dead_letter/operator_requests.h"
#include "dead_letter/rule_files.h"
#include "time/clock.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

// One side that answers operations.
class Source {
 public:
  virtual ~Source() = default;
  virtual bool live() const = 0;
  Json Ask(Json request) {
    request["v"] = dead_letter::kControlVersion;
    const Json answer = Json::parse(Answer(request), nullptr, false);
    if (!answer.is_object()) throw std::runtime_error("the node's answer can't be read");
    if (!answer.value("ok", false)) throw std::runtime_error(answer.value("error", "refused"));
    return answer;
  }

 private:
  virtual std::string Answer(const Json& request) = 0;
};

class LiveNode : public Source {
 public:
  explicit LiveNode(FileDescriptor fd) : fd_(std::move(fd)) {}
  bool live() const override { return true; }

 private:
  std::string Answer(const Json& request) override {
    const std::string line = request.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    for (std::size_t done = 0; done < line.size();) {
      const ssize_t n = ::send(fd_.get(), line.data() + done, line.size() - done, MSG_NOSIGNAL);
      if (n <= 0) throw std::runtime_error("the node closed the control socket");
      done += static_cast<std::size_t>(n);
    }
    std::size_t end = 0;
    while ((end = read_.find('\n')) == read_.npos) {
      char chunk[65536];
      const ssize_t n = ::recv(fd_.get(), chunk, sizeof chunk, 0);
      if (n <= 0) throw std::runtime_error("the node closed the control socket");
      read_.append(chunk, static_cast<std::size_t>(n));
    }
    std::string answer = read_.substr(0, end);
    read_.erase(0, end + 1);
    return answer;
  }
  FileDescriptor fd_;
  std::string read_;
};

class StoppedNode : public Source {
 public:
  StoppedNode(const std::string& path, std::optional<dead_letter::ReviewSettings> review)
      : review_(std::move(review)) {
    dead_letter::Database::Settings settings;
    settings.path = path;
    settings.read_only = true;
    database_ = std::make_unique<dead_letter::Database>(settings);
  }
  bool live() const override { return false; }

 private:
  std::string Answer(const Json& request) override {
    const dead_letter::OperatorRequest operation = dead_letter::ParseOperatorRequest(
        request.dump(), review_ ? review_->class_names : std::vector<std::string>());
    if (operation.IsWrite()) throw std::runtime_error("the node is stopped: its store can only be read");
    return dead_letter::OkLine(dead_letter::ExecuteOperatorRequest(
        operation, *database_, review_ ? &*review_ : nullptr, clock_.CurrentTimestamp()));
  }
  std::optional<dead_letter::ReviewSettings> review_;
  std::unique_ptr<dead_letter::Database> database_;
  SystemClock clock_;
};

FileDescriptor ConnectTo(const std::string& path) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  if (path.size() >= sizeof at.sun_path) return FileDescriptor();
  std::memcpy(at.sun_path, path.data(), path.size());
  FileDescriptor fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return FileDescriptor();
  return fd;
}

std::optional<dead_letter::ReviewSettings> ReviewFor(const Options& options) {
  if (options.config.empty()) return std::nullopt;
  const Config config = options.ReadConfiguration({.discovery = false, .state = false});
  const NodeFile deploy = options.ReadNode();
  return dead_letter::ReviewFrom(config.site, deploy.dead_letters.value_or(DeadLetterSettings()));
}

std::unique_ptr<Source> Open(const DeadLetterOptions& k, const Options& options) {
  if (FileDescriptor fd = ConnectTo(dead_letter::SocketPath(k.state)); fd.get() >= 0) {
    return std::make_unique<LiveNode>(std::move(fd));
  }
  for (const std::string& folder : {k.state + "/kept", k.state}) {
    const std::string path = dead_letter::DatabasePath(folder);
    if (std::filesystem::exists(path)) return std::make_unique<StoppedNode>(path, ReviewFor(options));
  }
  throw std::runtime_error(k.state + ": expected a running node's state folder or one with kept/kept.db");
}

std::string Text(const Json& object, const char* key) {
  const Json& value = object.at(key);
  if (value.is_string()) return value.get<std::string>();
  return value.dump();
}

void List(Source& source, const DeadLetterOptions& k, std::ostream& out) {
  const Json page =
      source.Ask({{"op", "list"}, {"filter", k.filter}, {"limit", k.limit}, {"after", k.after}});
  if (k.as_json) {
    for (const Json& m : page.at("messages")) out << m.dump() << "\n";
  } else {
    Table table(
        {"KEPT", "ENDED", "CLASS", "DEST", "STATE", "REASON", "TRIES", "RESENT", "MAY HAVE RUN", "SIZE"});
    for (const Json& m : page.at("messages")) {
      table.Add({Text(m, "kept"), TimeText(m.at("ended_us").get<std::int64_t>()), Text(m, "class"),
                 Text(m, "destination"), Text(m, "state"), Text(m, "reason"), Text(m, "attempts"),
                 Text(m, "resends"), m.at("may_have_run").get<bool>() ? "yes" : "no",
                 SizeText(m.at("body_size").get<std::int64_t>())});
    }
    table.Print(out);
  }
  if (page.at("next").is_string() && !k.as_json) {
    out << "more: --after " << page.at("next").get<std::string>() << "\n";
  }
}

void Show(Source& source, const DeadLetterOptions& k, std::ostream& out) {
  const Json m = source.Ask({{"op", "show"}, {"id", k.id}, {"body", k.with_body}}).at("message");
  if (k.as_json) {
    out << m.dump() << "\n";
    return;
  }
  Table facts({"FIELD", "VALUE"});
  for (const char* key : {"kept", "id", "key", "class", "destination", "form", "state", "end", "reason",
                          "attempts", "resends", "may_have_run", "rule", "ground"}) {
    facts.Add({key, Text(m, key)});
  }
  for (const char* key : {"taken_us", "deadline_us", "ended_us"}) {
    facts.Add({std::string(key).substr(0, std::strlen(key) - 3), TimeText(m.at(key).get<std::int64_t>())});
  }
  facts.Add({"body_size", SizeText(m.at("body_size").get<std::int64_t>())});
  for (const auto& [name, value] : m.at("attributes").items())
    facts.Add({"attribute " + name, value.get<std::string>()});
  if (k.with_body) facts.Add({"body_base64", Text(m, "body_base64")});
  facts.Print(out);
  out << "\n";
  Table history({"SENT", "ENDPOINT", "OUTCOME", "MAY HAVE RUN", "TOLD WAIT"});
  for (const Json& a : m.at("history")) {
    history.Add({TimeText(a.at("at_us").get<std::int64_t>()), Text(a, "endpoint"),
                 a.at("outcome").is_null() ? "cut off" : Text(a, "outcome"),
                 a.at("may_have_run").get<bool>() ? "yes" : "no", Text(a, "told_wait_ms") + " ms"});
  }
  history.Print(out);
}

void Stats(Source& source, const DeadLetterOptions& k, std::ostream& out) {
  Json stats = source.Ask({{"op", "stats"}, {"by", k.by}});
  if (source.live()) stats["live"] = source.Ask({{"op", "status"}}).at("live");
  if (k.as_json) {
    out << stats.dump() << "\n";
    return;
  }
  Table table({k.by, "MESSAGES"});
  for (const auto& [name, n] : stats.at("counts").items()) table.Add({name, n.dump()});
  table.Add({"all", Text(stats, "all")});
  table.Print(out);
  out << "store: " << SizeText(stats.at("used_bytes").get<std::int64_t>()) << "\n";
  if (!stats.contains("live")) return;
  out << "since the node's start:";
  for (const auto& [name, n] : stats["live"].items()) out << " " << name << "=" << n.dump();
  out << "\n";
}

std::int64_t All(Source& source) {
  return source.Ask({{"op", "stats"}, {"by", "state"}}).at("all").get<std::int64_t>();
}

void Export(Source& source, const DeadLetterOptions& k, std::ostream& out, std::ostream& progress) {
  std::ofstream file;
  if (!k.output.empty()) {
    // Bodies may be private: made here with mode 0600, and never over what exists.
    const FileDescriptor fd(::open(k.output.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600));
    if (fd.get() < 0) throw std::runtime_error(k.output + ": can't be made, or exists");
    file.open(k.output);
  }
  std::ostream& to = k.output.empty() ? out : file;
  Progress bar(progress, All(source));
  std::string after;
  std::int64_t written = 0;
  do {
    const Json page =
        source.Ask({{"op", "list"},
                    {"filter", k.filter},
                    {"limit", k.with_body ? dead_letter::kMaxBodyBytes : dead_letter::kMaxPageSize},
                    {"after", after},
                    {"body", k.with_body}});
    for (const Json& m : page.at("messages")) to << m.dump() << "\n";
    const auto n = static_cast<std::int64_t>(page.at("messages").size());
    written += n;
    bar.Done(n);
    after = page.at("next").is_string() ? page.at("next").get<std::string>() : "";
  } while (!after.empty());
  to.flush();
  if (!to) throw std::runtime_error("can't write: " + (k.output.empty() ? "standard output" : k.output));
  if (!k.output.empty()) out << written << " messages written to " << k.output << "\n";
}

void AddUp(Json& into, const Json& more) {
  for (const auto& [key, value] : more.items()) {
    if (value.is_object()) {
      if (!into.contains(key)) into[key] = Json::object();
      AddUp(into[key], value);
    } else if (value.is_number()) {
      into[key] = into.value(key, std::int64_t{0}) + value.get<std::int64_t>();
    }
  }
}

std::string Grounds(const Json& grounds) {
  std::string text;
  for (const auto& [ground, n] : grounds.items())
    text += (text.empty() ? "" : ", ") + ground + " " + n.dump();
  return text;
}

void Try(Source& source, const DeadLetterOptions& k, std::ostream& out, std::ostream& progress) {
  const std::string rules = dead_letter::ReadText(k.rules);
  Progress bar(progress, All(source));
  Json sum = Json::object();
  std::string after;
  do {
    Json part;
    try {
      part = source.Ask({{"op", "try"}, {"rules", rules}, {"after", after}});
    } catch (const std::exception& error) {
      throw std::runtime_error(k.rules + ": " + error.what());
    }
    bar.Done(part.at("looked_at").get<std::int64_t>());
    after = part.at("next").is_string() ? part.at("next").get<std::string>() : "";
    part.erase("v");
    AddUp(sum, part);
  } while (!after.empty());
  if (k.as_json) {
    out << sum.dump() << "\n";
    return;
  }
  Table table({"RULE", "MATCHED", "RESEND", "LATER", "HOLD", "DROP", "NOT ALLOWED"});
  const dead_letter::RuleSet parsed = dead_letter::ParseRules(rules, {});  // in the file's order
  for (const dead_letter::Rule& rule : parsed.rules) {
    const Json& counts = sum.at("rules").at(rule.name);
    const auto n = [&](const char* key) { return std::to_string(counts.value(key, std::int64_t{0})); };
    table.Add({rule.name, n("matched"), n("resend"), n("later"), n("hold"), n("drop"),
               Grounds(counts.value("grounds", Json::object()))});
  }
  table.Print(out);
  out << "no rule matches: " << Text(sum, "unmatched") << ", over or under way: " << Text(sum, "over")
      << "\n";
}

void Act(Source& source, const DeadLetterOptions& k, std::ostream& out, std::ostream& progress) {
  Progress bar(progress, All(source));
  Json sum = {{"changed", 0}, {"forbidden", 0}, {"grounds", Json::object()}};
  Json cursor = 0;
  while (!cursor.is_null()) {
    Json part = source.Ask({{"op", "act"},
                            {"action", k.command},
                            {"filter", k.filter},
                            {"cursor", cursor},
                            {"only_count", !k.yes}});
    cursor = part.at("cursor");
    for (const char* key : {"v", "cursor"}) part.erase(key);
    bar.Done(part.at("changed").get<std::int64_t>() + part.at("forbidden").get<std::int64_t>());
    AddUp(sum, part);
  }
  if (k.as_json) {
    sum["done"] = k.yes;
    out << sum.dump() << "\n";
    return;
  }
  out << (k.yes ? "" : "would ") << k.command << ": " << Text(sum, "changed") << " messages\n";
  if (sum.at("forbidden").get<std::int64_t>() > 0) {
    out << "not allowed: " << Text(sum, "forbidden") << " (" << Grounds(sum.at("grounds")) << ")\n";
  }
  if (!k.yes) out << "nothing was changed; --yes does it\n";
}

}  // namespace

int RunDeadLetterCommand(const DeadLetterOptions& k, const Options& options, std::ostream& out,
                         std::ostream& progress) {
  if (k.command == "rules check") {
    const std::optional<dead_letter::ReviewSettings> review = ReviewFor(options);
    const auto rules =
        dead_letter::ReadRules(k.rules, review ? review->class_names : std::vector<std::string>());
    out << rules->rules.size() << " rules can be used"
        << (review ? "" : "; classes were not checked: no --config") << "\n";
    return 0;
  }
  const std::unique_ptr<Source> source = Open(k, options);
  if (k.command == "list") {
    List(*source, k, out);
  } else if (k.command == "show") {
    Show(*source, k, out);
  } else if (k.command == "stats") {
    Stats(*source, k, out);
  } else if (k.command == "export") {
    Export(*source, k, out, progress);
  } else if (k.command == "try") {
    Try(*source, k, out, progress);
  } else {
    Act(*source, k, out, progress);
  }
  return 0;
}

}  // namespace sagetally
