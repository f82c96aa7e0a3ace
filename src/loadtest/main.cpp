// sagetally-loadtest: offers load to sagetally, runs stub servers around it, and reports on both.
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
