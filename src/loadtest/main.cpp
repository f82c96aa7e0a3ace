// sagetally-loadtest: load, stand-ins, experiments and reports round sagetally.
#include <csignal>
#include <exception>
#include <iostream>

#include "loadtest/cli.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return sagetally::loadtest::RunLab(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "sagetally-loadtest: " << error.what() << "\n";
    return 1;
  }
}
