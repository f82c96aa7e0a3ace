// The program's entry point. Parses the command line, then runs a subcommand, or creates the node for the
// configured role with its event loop and runs it until it is asked to shut down.
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <stdexcept>

#include "app/dispatcher.h"
#include "app/forwarder.h"
#include "app/journal_settings.h"
#include "base/process_memory.h"
#include "cli/admin_commands.h"
#include "cli/dead_letter_commands.h"
#include "cli/journal_commands.h"
#include "cli/options.h"
#include "dead_letter/rule_files.h"

namespace sagetally {
namespace {

constexpr int kExitFailure = 1;
constexpr int kMaxHandoverAttempts = 3;

ConfigRequirements GetRequirements(const NodeFile& node_file) {
  return {.discovery = node_file.role == Role::kBoth, .state = node_file.role != Role::kForwarder};
}

// Constructs and starts a node. Retries if the predecessor process aborts the handover.
template <typename Node>
std::unique_ptr<Node> StartNode(EventLoop& loop, Logger& log, const Config& config,
                                const NodeFile& node_file) {
  for (int attempt = 1;; ++attempt) {
    try {
      auto node = std::make_unique<Node>(loop, log, config, node_file);
      node->Start();
      return node;
    } catch (const HandoverAborted& error) {
      if (attempt == kMaxHandoverAttempts) throw;
      log.Warn("handover.retrying", {{"why", error.what()}});
    }
  }
}

// Reloads the configuration. If the new one can't be used, logs the error and keeps the old one.
template <typename Node>
void ReloadConfiguration(Node& node, Logger& log, const Options& options, ConfigRequirements requirements) {
  requirements.is_reload = true;
  try {
    node.Reload(options.ReadConfiguration(requirements));
  } catch (const std::exception& error) {
    log.Error("reload.rejected", {{"why", error.what()}});
  }
}

// Runs one node until it shuts down. The signal handlers are installed before the node logs that it is ready.
template <typename Node>
void Run(const Options& options, const Config& config, const NodeFile& node_file,
         const ConfigRequirements& requirements) {
  Logger log(options.log);
  EventLoop loop;
  std::unique_ptr<Node> node;  // not null in the signal callbacks, as the loop runs only after it is set
  const Signal terminate(loop, SIGTERM, [&] { node->Shutdown(); });
  const Signal interrupt(loop, SIGINT, [&] { node->Shutdown(); });
  const Signal hang_up(loop, SIGHUP, [&] { ReloadConfiguration(*node, log, options, requirements); });
  node = StartNode<Node>(loop, log, config, node_file);
  loop.Run();
  if constexpr (requires { node->failure(); }) {
    if (!node->failure().empty()) throw std::runtime_error(node->failure());
  }
}

void Serve(const Options& options) {
  ConfigureAllocator();
  const NodeFile node_file = options.ReadNode();
  const ConfigRequirements requirements = GetRequirements(node_file);
  const Config config = options.ReadConfiguration(requirements);
  if (node_file.role == Role::kForwarder) {
    if (config.admin) throw std::runtime_error("admin: expected none, a forwarder has no admin server");
    Run<Forwarder>(options, config, node_file, requirements);
  } else {
    Run<Dispatcher>(options, config, node_file, requirements);
  }
}

void CheckConfig(const Options& options) {
  const NodeFile node_file = options.ReadNode();
  const Config config = options.ReadConfiguration(GetRequirements(node_file));
  MakeJournalSettings(config, node_file.journal);
  if (node_file.dead_letters && !node_file.dead_letters->rules_path.empty()) {
    dead_letter::ReadRules(node_file.dead_letters->rules_path, config.site.classes);
  }
  std::cout << "configuration can be used: node " << config.name << "\n";
}

int RunCommand(const CommandLine& line) {
  switch (line.command) {
    case CommandLine::Command::kNone:
      return line.exit_code;
    case CommandLine::Command::kCheckConfig:
      CheckConfig(line.options);
      return 0;
    case CommandLine::Command::kDeadLetter:
      return RunDeadLetterCommand(line.dead_letter, line.options, std::cout, std::cerr);
    case CommandLine::Command::kJournal:
      return RunJournalCommand(line.journal, std::cout);
    case CommandLine::Command::kAdmin:
      return RunAdminCommand(line.admin, line.options.admin, std::cout, std::cerr);
    case CommandLine::Command::kServe:
      Serve(line.options);
      return 0;
  }
  return kExitFailure;
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until a node handles it by reloading its configuration
  try {
    return sagetally::RunCommand(sagetally::ParseCommandLine(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "sagetally: " << error.what() << "\n";
    return sagetally::kExitFailure;
  }
}
