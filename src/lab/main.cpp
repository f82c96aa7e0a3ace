// sagetally-lab: load, stand-ins, experiments and reports round sagetally.
#include <csignal>
#include <exception>
#include <iostream>

#include "lab/cli.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return sagetally::lab::RunLab(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "sagetally-lab: " << error.what() << "\n";
    return 1;
  }
}
