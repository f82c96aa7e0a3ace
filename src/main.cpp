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
    sagetally::Dispatcher dispatcher(config);
    dispatcher.Run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "sagetally: %s\n", error.what());
    return 1;
  }
}
