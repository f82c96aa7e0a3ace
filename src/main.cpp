// The dispatcher: wires the chain of stages to sockets, store and clock, and runs it until it is told to
// stop.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "app/dispatcher.h"
#include "app/forwarder.h"

namespace {

const char* Environment(const char* name) { return std::getenv(name); }

template <typename Node>
void Serve(sagetally::Loop& loop, Node& node, sagetally::Needs needs) {
  const sagetally::Signal term(loop, SIGTERM, [&] { node.Stop(); });
  const sagetally::Signal interrupt(loop, SIGINT, [&] { node.Stop(); });
  needs.again = true;
  const sagetally::Signal hang_up(loop, SIGHUP, [&] {
    try {  // guards against a file that can't be used: one log line, and the old configuration stays
      node.Reload(sagetally::ReadConfig(Environment, needs));
    } catch (const std::exception& error) {
      std::printf("reload: %s, the old configuration stays\n", error.what());
      std::fflush(stdout);
    }
  });
  loop.Run();
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until there is something to read again
  try {
    const sagetally::DeployFile deploy = sagetally::ReadDeployFile("deploy/node.json");
    const sagetally::Needs needs{.discovery = deploy.role == sagetally::Role::kBoth,
                                 .state = deploy.role != sagetally::Role::kForwarder};
    const sagetally::Config config = sagetally::ReadConfig(Environment, needs);
    sagetally::Loop loop;
    if (deploy.role == sagetally::Role::kForwarder) {
      sagetally::Forwarder forwarder(loop, config, deploy);
      Serve(loop, forwarder, needs);
    } else {
      sagetally::Dispatcher dispatcher(loop, config, deploy);
      Serve(loop, dispatcher, needs);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "sagetally: %s\n", error.what());
    return 1;
  }
}
