// The dispatcher: wires the chain of stages to sockets, store and clock, and runs it until it is told to
// stop.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "app/dispatcher.h"
#include "app/forwarder.h"

namespace {

template <typename Node>
void Serve(sagetally::Loop& loop, Node& node) {
  const sagetally::Signal term(loop, SIGTERM, [&] { node.Stop(); });
  const sagetally::Signal interrupt(loop, SIGINT, [&] { node.Stop(); });
  loop.Run();
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const sagetally::DeployFile deploy = sagetally::ReadDeployFile("deploy/node.json");
    const sagetally::Needs needs{deploy.role == sagetally::Role::kBoth,
                                 deploy.role != sagetally::Role::kForwarder};
    const sagetally::Config config = sagetally::ReadConfig(
        [](const char* name) { return static_cast<const char*>(std::getenv(name)); }, needs);
    sagetally::Loop loop;
    if (deploy.role == sagetally::Role::kForwarder) {
      sagetally::Forwarder forwarder(loop, config, deploy);
      Serve(loop, forwarder);
    } else {
      sagetally::Dispatcher dispatcher(loop, config, deploy);
      Serve(loop, dispatcher);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "sagetally: %s\n", error.what());
    return 1;
  }
}
