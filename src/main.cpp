// The program: reads the command line, wires one role to its loop and runs it until it is told to stop.
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <stdexcept>

#include "app/dispatcher.h"
#include "app/forwarder.h"
#include "cli/admin_commands.h"
#include "cli/dead_letter_commands.h"
#include "cli/journal_commands.h"
#include "cli/options.h"
#include "dead_letter/rule_files.h"

namespace sagetally {
namespace {

ConfigRequirements NeedsOf(const NodeFile& deploy) {
  return {.discovery = deploy.role == Role::kBoth, .state = deploy.role != Role::kForwarder};
}

constexpr int kHandoverTries = 3;

// Signals are heard from before the node says that it is ready.
template <typename Node>
void Run(const Options& options, const Config& config, const NodeFile& deploy, ConfigRequirements needs) {
  Logger log(options.log);
  EventLoop loop;
  Node* running = nullptr;
  const auto stop = [&] { running->Shutdown(); };  // the loop runs only once there is a node
  const Signal term(loop, SIGTERM, stop);
  const Signal interrupt(loop, SIGINT, stop);
  needs.again = true;
  const Signal hang_up(loop, SIGHUP, [&] {
    try {  // guards against a file that can't be used: one log line, and the old configuration stays
      running->Reload(options.ReadConfiguration(needs));
    } catch (const std::exception& error) {
      log.Error("reload.refused", {{"why", error.what()}});
    }
  });
  std::unique_ptr<Node> node;
  for (int tries_left = kHandoverTries; !node;) {
    try {
      node = std::make_unique<Node>(loop, log, config, deploy);
    } catch (const HandoverAborted& error) {
      if (--tries_left == 0) throw;
      log.Warn("handover.again", {{"why", error.what()}});
    }
  }
  running = node.get();
  loop.Run();
  if constexpr (requires { node->failure(); }) {
    if (!node->failure().empty()) throw std::runtime_error(node->failure());
  }
}

void Serve(const Options& options) {
  const NodeFile deploy = options.ReadNode();
  const ConfigRequirements needs = NeedsOf(deploy);
  const Config config = options.ReadConfiguration(needs);
  if (deploy.role == Role::kForwarder) {
    if (config.admin) throw std::runtime_error("admin: expected none, a forwarder has no door");
    Run<Forwarder>(options, config, deploy, needs);
  } else {
    Run<Dispatcher>(options, config, deploy, needs);
  }
}

void CheckConfig(const Options& options) {
  const NodeFile deploy = options.ReadNode();
  const Config config = options.ReadConfiguration(NeedsOf(deploy));
  MakeJournalSettings(config, deploy.journal);
  if (deploy.dead_letters && !deploy.dead_letters->rules_path.empty())
    dead_letter::ReadRules(deploy.dead_letters->rules_path, config.site.classes);
  std::cout << "configuration can be used: node " << config.name << "\n";
}

}  // namespace
}  // namespace sagetally

int main(int argc, char** argv) {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until there is something to read again
  try {
    const CommandLine line = ParseCommandLine(argc, argv);
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
  } catch (const std::exception& error) {
    std::cerr << "sagetally: " << error.what() << "\n";
    return 1;
  }
}
