#include "loadtest/demo/demo.h"

#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <stdexcept>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/demo/child.h"
#include "loadtest/report/html.h"
#include "loadtest/stub/thread.h"

namespace sagetally::loadtest {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr int kDestinations = 8;
constexpr int kSlots = 40;
constexpr auto kLook = std::chrono::milliseconds(20);
constexpr auto kStart = std::chrono::seconds(10);
constexpr auto kEnd = std::chrono::seconds(5);

class Work {  // a folder that goes at the end
 public:
  Work() : path((fs::temp_directory_path() / "sagetally-try-XXXXXX").string()) {
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error(path + ": can't be made");
  }
  ~Work() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  Work(const Work&) = delete;
  Work& operator=(const Work&) = delete;
  std::string path;
};

Json Classes() {
  return Json::array(
      {{{"name", "aviso"}, {"weight", 6}, {"deadline_ms", 8000}, {"aim_ms", 2000}, {"repeat", "free"}},
       {{"name", "pedido"}, {"weight", 3}, {"deadline_ms", 6000}, {"aim_ms", 2500}, {"repeat", "keyed"}},
       {{"name", "pagamento"}, {"weight", 1}, {"deadline_ms", 6000}, {"aim_ms", 2500}, {"repeat", "never"}}});
}

// A January day in small: traffic climbs and falls, one partner's worth comes at once now and then, and one
// caller runs hot.
Json ScenarioFor(const TryOptions& o, const std::vector<std::uint16_t>& ports) {
  Json targets = Json::array();
  for (const std::uint16_t port : ports) targets.push_back(fmt::format("127.0.0.1:{}", port));
  const double s = o.seconds;
  const Json points = {{{"at_s", 0}, {"rate", o.rate / 3}, {"ramp", true}},
                       {{"at_s", s * 0.3}, {"rate", o.rate}, {"ramp", false}},
                       {{"at_s", s * 0.7}, {"rate", o.rate}, {"ramp", true}},
                       {{"at_s", s}, {"rate", o.rate / 3}}};
  return {{"seed", o.seed},
          {"seconds", s},
          {"drain_s", 1},
          {"targets", targets},
          {"connections", 64},
          {"arrivals", {{"process", "poisson"}, {"points", points}}},
          {"classes", Classes()},
          {"destinations", {{"first", 0}, {"count", kDestinations}, {"zipf", 0.5}}},
          {"body_bytes", {{"kind", "lognormal"}, {"mean", 400}, {"cv", 1.5}}},
          {"callers", {{"count", 20}, {"hot", {{"share", 0.15}, {"from_s", s * 0.5}, {"for_s", s * 0.2}}}}},
          {"clumps", {{"every_s", s / 3}, {"partner_rate", 20}, {"over_ms", 500}}}};
}

Json StandInsFor(const TryOptions& o) {
  Json partners = Json::array();
  for (int d = 0; d < kDestinations; ++d) {
    partners.push_back({{"uid", fmt::format("partner-{}", d)},
                        {"destination", d},
                        {"capacity", 10},
                        {"queue", 20},
                        {"rate", 60},
                        {"burst", 20},
                        {"service_ms", {{"kind", "lognormal"}, {"mean", 25}, {"cv", 0.6}}},
                        {"cold_ms", 1000},
                        {"cold_times", 2}});
  }
  Json timeline = Json::array();
  if (o.outage) {
    timeline.push_back({{"fault", "shut"},
                        {"at_ms", o.seconds * 400},
                        {"for_ms", o.seconds * 150},
                        {"endpoint", "partner-1"},
                        {"destination", 1}});
    timeline.push_back({{"fault", "error"},
                        {"at_ms", o.seconds * 650},
                        {"for_ms", o.seconds * 100},
                        {"endpoint", "partner-2"},
                        {"destination", 2},
                        {"share", 0.3}});
  }
  return {{"seed", o.seed},          {"rules", {{"slots", 0}, {"repeat_window_ms", 10000}}},
          {"partners", partners},    {"timeline", timeline},
          {"agent", Json::object()}, {"registry", Json::object()},
          {"sink", Json::object()}};
}

Json Platform(const std::string& name, const StandInThread& standins, const std::string& state,
              bool with_list) {
  Json targets = Json::array();
  for (const Target& t : standins.targets) targets.push_back(Json::parse(ToJson(t)));
  Json grades = Json::array();
  for (const Json& c : Classes()) {
    Json grade = {{"name", c["name"]}, {"slo", c["aim_ms"]}, {"deadline", c["deadline_ms"]}, {"credit", 1}};
    grade["idempotency"] = c["repeat"] == "free" ? "pure" : c["repeat"] == "keyed" ? "token" : "side_effect";
    if (c["repeat"] == "keyed") grade["repeatWindow"] = 10000;
    if (c["repeat"] == "never") grade["credit"] = 5;
    grades.push_back(grade);
  }
  return {
      {"name", name},
      {"listen", "127.0.0.1:0"},
      {"discovery", fmt::format("127.0.0.1:{}", standins.agent_port)},
      {"state", state},
      {"seed", "1f"},
      {"limits", {{"disk_mb", 30}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"known", {{"rev", 1}, {"all", true}, {"targets", with_list ? targets : Json::array()}}},
      {"settings",
       {{"flavors", {"partner"}},
        {"zones", {"a"}},
        {"grades", grades},
        {"specifics", {{"callsOut", kSlots}}},
        {"caps", {{"mostHeld", 800}, {"maxAttempts", 6}, {"connIdle", 15000}, {"connectTimeout", 1500}}},
        {"rules", {{"coldShare", 0.3}, {"fallMultiple", 1.5}, {"tipAfter", 1500}, {"warmWithin", 11000}}}}}};
}

Json Level(const std::string& role, const StandInThread& standins) {
  const auto at = [](std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); };
  return {{"role", role},
          {"cloudevents",
           {{"listen", "127.0.0.1:0"}, {"sink", at(standins.sink_port)}, {"sink_path", "/results"}}},
          {"eureka",
           {{"registry", at(standins.registry_port)},
            {"host", "127.0.0.1"},
            {"renew_ms", 1000},
            {"fetch_ms", 100}}}};
}

class Nodes {
 public:
  Nodes(std::string program, std::string folder) : program_(std::move(program)), folder_(std::move(folder)) {}

  void Start(const std::string& name, const Json& platform, const Json& node) {
    const std::string base = folder_ + "/" + name;
    fs::create_directories(platform.at("state").get<std::string>());
    std::ofstream(base + ".json") << platform.dump(1);
    std::vector<std::string> words = {program_,       "serve",       "--config",
                                      base + ".json", "--node-file", base + ".node.json"};
    if (!node.is_null()) std::ofstream(base + ".node.json") << node.dump(1);
    all_.push_back({name, std::make_unique<Child>(words, "", base + ".log")});
  }
  // The port for clients, once its log names it.
  std::uint16_t Port(const std::string& name) const {
    const auto limit = std::chrono::steady_clock::now() + kStart;
    const Node& node = Named(name);
    while (std::chrono::steady_clock::now() < limit) {
      if (const auto port = ReadyPort(node.child->log())) return *port;
      if (!node.child->Running()) break;
      std::this_thread::sleep_for(kLook);
    }
    throw std::runtime_error(name + " did not start; it wrote:\n" + Log(node));
  }
  // By SIGTERM, all at once. What did not end well is said.
  std::vector<std::string> Stop() {
    std::vector<std::string> problems;
    for (const Node& node : all_) {
      if (!node.child->Running()) problems.push_back(node.name + " had ended by itself:\n" + Log(node));
      node.child->Signal(SIGTERM);
    }
    const auto limit = std::chrono::steady_clock::now() + kEnd;
    for (const Node& node : all_) {
      while (node.child->Running() && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(kLook);
      if (node.child->Running()) {
        problems.push_back(node.name + " did not end on SIGTERM");
      } else if (node.child->Wait() != 0) {
        problems.push_back(fmt::format("{} ended with {}", node.name, node.child->Wait()));
      }
    }
    all_.clear();
    return problems;
  }

 private:
  struct Node {
    std::string name;
    std::unique_ptr<Child> child;
  };
  const Node& Named(const std::string& name) const {
    for (const Node& node : all_) {
      if (node.name == name) return node;
    }
    throw std::runtime_error("no node " + name);
  }
  static std::string Log(const Node& node) {
    std::ifstream file(node.child->log());
    std::string text((std::istreambuf_iterator<char>(file)), {});
    return text.size() > 2000 ? "..." + text.substr(text.size() - 2000) : text;
  }
  const std::string program_, folder_;
  std::vector<Node> all_;
};

std::string ProgramFor(const TryOptions& options) {
  const std::string program = options.program.empty()
                                  ? (fs::read_symlink("/proc/self/exe").parent_path() / "sagetally").string()
                                  : options.program;
  if (!fs::exists(program))
    throw std::runtime_error(program + ": no such program; build it, or name it with --program");
  return program;
}

void ShowProgress(std::ostream& out, double seconds, double all, const Progress& p) {
  if (::isatty(STDOUT_FILENO) != 1) return;
  constexpr int kWidth = 30;
  const int full = std::clamp(static_cast<int>(seconds / all * kWidth), 0, kWidth);
  out << fmt::format("\r[{}{}] {:4.1f} s  offered {}  taken {}  refused {}  unanswered {}\033[K",
                     std::string(full, '#'), std::string(kWidth - full, '.'), std::max(0.0, seconds),
                     p.offered.load(), p.taken.load(), p.refused.load(), p.unanswered.load())
      << std::flush;
}

}  // namespace

Result Try(const TryOptions& options, std::ostream& out) {
  const std::string program = ProgramFor(options);
  const Work work;
  const StandInSettings settings = StandInSettingsFromJson(StandInsFor(options));
  StandInThread standins(settings);
  Nodes nodes(program, work.path);
  std::vector<std::uint16_t> ports;
  if (options.two_levels) {
    for (int i = 0; i < options.planners; ++i) {
      const std::string name = fmt::format("planner{}", i);
      nodes.Start(name, Platform(name, standins, work.path + "/" + name, false), Level("planner", standins));
    }
    for (int i = 0; i < options.planners; ++i) nodes.Port(fmt::format("planner{}", i));
    const auto limit = std::chrono::steady_clock::now() + kStart;
    while (standins.planners() < static_cast<std::size_t>(options.planners)) {
      if (std::chrono::steady_clock::now() > limit) throw std::runtime_error("the planners did not register");
      std::this_thread::sleep_for(kLook);
    }
    for (int i = 0; i < options.forwarders; ++i) {
      const std::string name = fmt::format("forwarder{}", i);
      nodes.Start(name, Platform(name, standins, work.path + "/" + name, false),
                  Level("forwarder", standins));
    }
    for (int i = 0; i < options.forwarders; ++i) ports.push_back(nodes.Port(fmt::format("forwarder{}", i)));
  } else {
    nodes.Start("n0", Platform("n0", standins, work.path + "/n0", true), nullptr);
    ports.push_back(nodes.Port("n0"));
  }
  const Scenario scenario = ScenarioFromJson(ScenarioFor(options, ports));
  out << fmt::format("{} partners on loopback, {}; {:.0f} s of traffic, at most {:.0f} messages a second{}\n",
                     kDestinations,
                     options.two_levels
                         ? fmt::format("{} forwarders and {} planners", options.forwarders, options.planners)
                         : std::string("one dispatcher"),
                     options.seconds, options.rate, options.outage ? ", through an outage and errors" : "")
      << std::flush;
  const std::int64_t offset_ms = (NowUs() - standins.started_us) / 1000;
  RunOptions run_options;
  run_options.stop = options.stop;
  run_options.progress = [&](double seconds, const Progress& p) {
    ShowProgress(out, seconds, options.seconds, p);
  };
  RunRecords run = RunLoad(scenario, run_options);
  // Until each message has its end, or its time is up.
  Result result;
  while (true) {
    run.over_us = NowUs();
    std::vector<FaultSpan> spans = settings.timeline.spans();
    for (FaultSpan& span : spans) span.from_ms -= static_cast<double>(offset_ms);
    result = MakeResult(options.two_levels ? "try, two levels" : "try, one dispatcher", scenario, run,
                        standins.Sightings(), true, Timeline(spans));
    const bool asked = options.stop && options.stop();
    if (asked || result.account.fates[static_cast<std::size_t>(Fate::kPending)] == 0) break;
    std::this_thread::sleep_for(kLook * 5);
  }
  const std::vector<std::string> problems = nodes.Stop();
  const StandIns& seen = standins.Stop();
  for (const Finding& f : seen.checker.findings()) {
    if (result.account.findings.size() < 100) result.account.findings.push_back(f);
  }
  result.account.findings_count += seen.checker.count();
  for (const std::string& problem : problems) {
    result.account.findings.push_back({"process", "", problem});
    ++result.account.findings_count;
  }
  out << "\n";
  PrintResult(result, out);
  out << fmt::format("{} calls at the partners, {} effects; rules checked: {}\n", seen.checker.calls(),
                     seen.checker.effects(),
                     result.account.findings_count == 0
                         ? "all kept"
                         : fmt::format("{} broken", result.account.findings_count));
  WriteReport({result}, options.output);
  WriteResult(result, options.output + "/result.json");
  out << "report: " << options.output << "/report.html\n";
  return result;
}

}  // namespace sagetally::loadtest
