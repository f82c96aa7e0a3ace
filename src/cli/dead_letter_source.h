// Who answers requests about dead letters: a running node by its control socket, or the database file of one
// that is stopped. Both speak the protocol of docs/kept.md, "The control socket".
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

// The request was rejected; what() is the reason.
struct DeadLetterRequestRejected : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The node's answer could not be received or read.
struct DeadLetterSourceError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class DeadLetterSource {
 public:
  virtual ~DeadLetterSource() = default;
  // Whether the node runs.
  virtual bool is_running() const = 0;
  // The answer to `request`, whose version is added here. Throws DeadLetterRequestRejected or
  // DeadLetterSourceError.
  nlohmann::json Ask(nlohmann::json request);

 private:
  // One line in JSON, without its end.
  virtual std::string Answer(const nlohmann::json& request) = 0;
};

// The node whose state folder is `state`, running or stopped. A stopped one decides about redrives by the
// configuration of `options`. Throws std::runtime_error if there is neither.
std::unique_ptr<DeadLetterSource> OpenDeadLetterSource(const std::string& state, const Options& options);

// What redrives are decided by; none if no configuration is given.
std::optional<dead_letter::ReviewSettings> ReadReviewSettings(const Options& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_DEAD_LETTER_SOURCE_H_
