// The command line of sagetally-loadtest, which CLI11 parses. Called by main().
#ifndef SAGETALLY_SRC_LOADTEST_CLI_H_
#define SAGETALLY_SRC_LOADTEST_CLI_H_

namespace sagetally::loadtest {

// Parses the command line, runs the given command and returns the exit code: 0 for success, 1 if a rule was
// violated or a run is not valid, 2 if the command line is wrong. Throws std::runtime_error if a file can't
// be used.
int RunLoadtest(int argc, const char* const* argv);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_CLI_H_
