#include "loadtest/cli.h"

#include <string>

#include "loadtest/commands/command.h"

namespace sagetally::loadtest {
namespace {

constexpr int kUsageErrorExitCode = 2;

}  // namespace

int RunLoadtest(int argc, const char* const* argv) {
  CLI::App app{"sagetally-loadtest: load, stand-ins, traces and reports round sagetally"};
  app.set_version_flag("--version", std::string(kVersion));
  app.require_subcommand(1);
  const Command commands[] = {AddDemoCommand(app),    AddLoadCommand(app),        AddLimitCommand(app),
                              AddStubCommand(app),    AddTraceImportCommand(app), AddReportCommand(app),
                              AddCompareCommand(app), AddSoakCommand(app)};
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsageErrorExitCode;
  }
  for (const Command& command : commands) {
    if (command.app->parsed()) return command.run();
  }
  return kUsageErrorExitCode;  // unreachable, because CLI11 requires one subcommand
}

}  // namespace sagetally::loadtest
