// The dispatcher: wires the chain of stages to sockets, store and clock, and runs it until it is told to
// stop.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "app/dispatcher.h"

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const sagetally::Config config =
        sagetally::ReadConfig([](const char* name) { return static_cast<const char*>(std::getenv(name)); });
    const sagetally::DeployFile deploy = sagetally::ReadDeployFile("deploy/node.json");
    sagetally::Loop loop;
    sagetally::Dispatcher dispatcher(loop, config, deploy);
    const sagetally::Signal term(loop, SIGTERM, [&] { dispatcher.Stop(); });
    const sagetally::Signal interrupt(loop, SIGINT, [&] { dispatcher.Stop(); });
    loop.Run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "sagetally: %s\n", error.what());
    return 1;
  }
}
