// `sagetally-loadtest try`: runs the demonstration.
#include <iostream>
#include <memory>

#include "loadtest/commands/command.h"
#include "loadtest/demo/demo.h"
#include "loadtest/interrupt.h"

namespace sagetally::loadtest {
namespace {

struct DemoCommandOptions {
  DemoOptions demo;
  std::string levels = "one";  // "one" or "two"
  bool calm = false;           // without the outage and the errors
};

int RunDemoCommand(DemoCommandOptions& options) {
  options.demo.two_levels = options.levels == "two";
  options.demo.outage = !options.calm;
  Interrupt interrupt;
  options.demo.stop = [&] { return interrupt.Requested(); };
  const RunResult result = RunDemo(options.demo, std::cout);
  return result.valid() && result.summary.violation_count == 0 && !result.partial ? 0 : 1;
}

}  // namespace

Command AddDemoCommand(CLI::App& parent) {
  auto options = std::make_shared<DemoCommandOptions>();
  DemoOptions& demo = options->demo;
  CLI::App* command = AddSubcommand(
      parent, "try", "starts stub partners, an agent and a dispatcher, and offers a load to them");
  AddOption(command, "--levels", options->levels, "one (a dispatcher) or two (forwarders and planners)")
      ->check(CLI::IsMember({"one", "two"}));
  AddOption(command, "--seconds", demo.seconds, "how long messages are offered")
      ->check(CLI::Range(1.0, 3600.0));
  AddOption(command, "--rate", demo.rate, "messages a second at the peak")->check(CLI::Range(1.0, 100000.0));
  AddOption(command, "--seed", demo.seed, "seed of all random numbers");
  AddOption(command, "--forwarders", demo.forwarders, "number of forwarders with two levels")
      ->check(CLI::Range(1, 32));
  AddOption(command, "--planners", demo.planners, "number of planners with two levels")
      ->check(CLI::Range(1, 32));
  AddOption(command, "--program", demo.program,
            "the sagetally to start; default: the one beside this program");
  AddOption(command, "--output", demo.output, "folder for the report");
  command->add_flag("--calm", options->calm, "without the outage and the errors")
      ->envname(EnvironmentVariableFor(kVariablePrefix, "calm"));
  return {command, [options] { return RunDemoCommand(*options); }};
}

}  // namespace sagetally::loadtest
