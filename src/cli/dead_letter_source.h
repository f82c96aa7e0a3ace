// Access to the dead letters of a node: through the control socket of a running node, or from the database
// file of a stopped one. Both use the protocol in docs/kept.md, "The control socket". Used by the `sagetally
// kept` commands, on the main thread.
#ifndef SAGETALLY_SRC_CLI_DEAD_LETTER_SOURCE_H_
#define SAGETALLY_SRC_CLI_DEAD_LETTER_SOURCE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "cli/options.h"
#include "dead_letter/dead_letter_manager.h"

namespace sagetally {

// Thrown if the request was rejected. what() is the reason.
struct DeadLetterRequestRejected : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Thrown if the node's response could not be received or parsed.
struct DeadLetterSourceError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The dead letters of one node.
class DeadLetterSource {
 public:
  virtual ~DeadLetterSource() = default;
  // Returns whether the node is running.
  virtual bool is_running() const = 0;
  // Adds the protocol version to `request`, executes it and returns the response. Throws
  // DeadLetterRequestRejected or DeadLetterSourceError.
  nlohmann::json SendRequest(nlohmann::json request);

 private:
  // Executes a request and returns its response, which is one line of JSON without the line end.
  virtual std::string ExecuteRequest(const nlohmann::json& request) = 0;
};

// Opens the dead letters of the node whose state folder is `state`, whether it is running or stopped. For a
// stopped node the configuration of `options` decides which redrives are allowed. Throws std::runtime_error
// if there is neither a running node nor a database file.
std::unique_ptr<DeadLetterSource> OpenDeadLetterSource(const std::string& state, const Options& options);

// Returns the settings that decide which redrives are allowed, or no value if no configuration is given.
std::optional<dead_letter::ReviewSettings> ReadReviewSettings(const Options& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_DEAD_LETTER_SOURCE_H_
