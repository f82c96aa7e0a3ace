// sagetally-loadtest offers load to sagetally, runs stub servers in place of its partners and services, and
// reports the results.
#include <csignal>
#include <exception>
#include <iostream>

#include "loadtest/cli.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return sagetally::loadtest::RunLoadtest(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "sagetally-loadtest: " << error.what() << "\n";
    return 1;
  }
}
