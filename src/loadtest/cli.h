// The command line of sagetally-loadtest, on CLI11.
#ifndef SAGETALLY_SRC_LOADTEST_CLI_H_
#define SAGETALLY_SRC_LOADTEST_CLI_H_

namespace sagetally::loadtest {

// Runs the given command and returns the exit code: 0; 1 if a rule was violated or a run is not valid; 2 for
// wrong usage. Throws std::runtime_error for a file that can't be used.
int RunLoadtest(int argc, const char* const* argv);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_CLI_H_
