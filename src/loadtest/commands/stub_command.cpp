// `sagetally-loadtest standin`: runs stub servers until SIGTERM or SIGINT.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <memory>

#include "loadtest/commands/command.h"
#include "loadtest/stub/stub_server_set.h"
#include "logging/logger.h"

namespace sagetally::loadtest {
namespace {

constexpr Duration kFlushInterval = std::chrono::milliseconds(200);

struct StubCommandOptions {
  std::vector<std::string> kinds;
  std::string file;
  std::string record;
  Overrides settings;
};

// The settings of the requested kinds of stub server. Each listens on any free port of loopback unless the
// file names an address.
StubServerSettings RequestedSettings(const StubCommandOptions& options) {
  StubServerSettings settings = ReadStubServerSettings(options.file, options.settings);
  const auto is_requested = [&](const char* kind) {
    return std::find(options.kinds.begin(), options.kinds.end(), kind) != options.kinds.end();
  };
  const auto select = [&](const char* kind, std::optional<Address>& address) {
    if (!is_requested(kind)) {
      address.reset();
    } else if (!address) {
      address = Address{"127.0.0.1", 0};
    }
  };
  select("agent", settings.agent);
  select("registry", settings.registry);
  select("sink", settings.sink);
  select("front", settings.frontend);
  settings.serve_partners = is_requested("partner");
  if (settings.serve_partners && settings.partners.empty()) settings.partners.emplace_back();
  return settings;
}

// Writes observations to a file while the stub servers run, so that a reader needn't wait until they stop.
// The file is flushed every kFlushInterval.
class ObservationRecorder {
 public:
  // Throws std::runtime_error if the file can't be written.
  ObservationRecorder(EventLoop& loop, const std::string& path)
      : file_(path, std::ios::trunc), flush_timer_(loop, [this] { Flush(); }) {
    if (!file_) throw std::runtime_error(path + ": can't be written");
  }
  void Start(const StubServerSet& stubs, const FaultTimeline& timeline) {
    WriteObservationHeader(file_, stubs.started_us(), timeline);
    Flush();
  }
  void Add(const Observation& observation) { WriteObservation(file_, observation); }
  void Flush() {
    file_.flush();
    flush_timer_.Schedule(kFlushInterval);
  }

 private:
  std::ofstream file_;
  Timer flush_timer_;
};

void LogPorts(const StubServerSet& stubs, Logger& log) {
  for (const auto& partner : stubs.partners) {
    log.Info("partner.ready", {{"uid", partner->settings().uid},
                               {"destination", partner->settings().destination},
                               {"port", partner->port()}});
  }
  if (stubs.agent) log.Info("agent.ready", {{"port", stubs.agent->port()}});
  if (stubs.registry) log.Info("registry.ready", {{"port", stubs.registry->port()}});
  if (stubs.sink) log.Info("sink.ready", {{"port", stubs.sink->port()}});
  if (stubs.frontend) log.Info("frontend.ready", {{"port", stubs.frontend->port()}});
}

void LogViolations(const Checker& checker, Logger& log) {
  for (const Violation& violation : checker.violations()) {
    log.Error("rule.violated",
              {{"rule", violation.rule}, {"id", violation.id}, {"detail", violation.detail}});
  }
  log.Info("stopped",
           {{"calls", checker.calls()}, {"effects", checker.effects()}, {"violations", checker.count()}});
}

int RunStubCommand(const StubCommandOptions& options) {
  const StubServerSettings settings = RequestedSettings(options);
  Logger log;
  EventLoop loop;
  const Signal terminate(loop, SIGTERM, [&] { loop.Break(); });
  const Signal interrupt(loop, SIGINT, [&] { loop.Break(); });
  std::optional<ObservationRecorder> recorder;
  if (!options.record.empty()) recorder.emplace(loop, options.record);
  StubServerSet stubs(loop, settings);
  if (recorder) recorder->Start(stubs, settings.timeline);
  stubs.on_observation = [&](const Observation& observation) {
    if (recorder) recorder->Add(observation);
  };
  LogPorts(stubs, log);
  loop.Run();
  if (recorder) recorder->Flush();
  LogViolations(stubs.checker, log);
  return stubs.checker.count() == 0 ? 0 : 1;
}

}  // namespace

Command AddStubCommand(CLI::App& parent) {
  auto options = std::make_shared<StubCommandOptions>();
  CLI::App* command =
      AddSubcommand(parent, "standin", "runs stub servers until SIGTERM, and checks what they observed");
  AddOption(command, "kinds", options->kinds, "any of partner, agent, registry, sink, front")
      ->required()
      ->check(CLI::IsMember({"partner", "agent", "registry", "sink", "front"}));
  AddOption(command, "--file", options->file, "a JSON file of deploy/schema/standin.schema.json");
  AddOption(command, "--record", options->record, "file for the observations, for load --observed");
  AddSettings(*command, SettingNames(StubServerSchema()), kVariablePrefix, options->settings,
              "Settings of the file, which override it");
  return {command, [options] { return RunStubCommand(*options); }};
}

}  // namespace sagetally::loadtest
