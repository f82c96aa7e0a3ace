// The command line of sagetally-loadtest, on CLI11.
#ifndef SAGETALLY_SRC_LOADTEST_CLI_H_
#define SAGETALLY_SRC_LOADTEST_CLI_H_

namespace sagetally::loadtest {

// Runs the command and returns the exit code: 0, 1 for a failure (a broken rule, a run that is not valid, a
// file that can't be used), 2 for wrong usage.
int RunLab(int argc, const char* const* argv);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_CLI_H_
