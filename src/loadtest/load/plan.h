// The plan of a run: each message with its intended time. The plan depends only on the scenario and its seed,
// not on the responses of the target. One thread draws it and passes it to the senders, see run.h.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_PLAN_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_PLAN_H_

#include <boost/random/discrete_distribution.hpp>
#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include "loadtest/load/rate.h"
#include "loadtest/load/scenario.h"

namespace sagetally::loadtest {

struct PlannedMessage {
  std::int64_t number = 0;         // identifies the message in all its submissions
  std::int64_t at_us = 0;          // intended time since the start of the run
  std::int32_t message_class = 0;  // index into Scenario::classes
  std::int32_t destination = 0;
  std::int32_t body_bytes = 0;
  std::int32_t client = 0;
  bool operator==(const PlannedMessage&) const = default;
};

// A source of the messages of a run: a drawn plan or a recorded trace.
class PlanSource {
 public:
  virtual ~PlanSource() = default;
  // Returns the next message in order of intended time, or nothing once the run's time is over.
  virtual std::optional<PlannedMessage> Next() = 0;
};

// Draws the messages from a scenario and its seed. Equal scenarios give equal plans.
class Plan : public PlanSource {
 public:
  // The message of a thrown std::runtime_error begins with the JSON pointer of the wrong value.
  explicit Plan(const Scenario& scenario);
  std::optional<PlannedMessage> Next() override;

 private:
  struct IsLater {
    bool operator()(const PlannedMessage& a, const PlannedMessage& b) const { return a.at_us > b.at_us; }
  };
  PlannedMessage DrawMessage(double at_s);
  void AddDestinationBurst(double at_s);

  const Scenario scenario_;
  const Distribution sizes_;
  // Each purpose has its own stream, so that a changed number of draws for one purpose doesn't change the
  // draws for the others.
  Random class_random_;
  Random destination_random_;
  Random size_random_;
  Random client_random_;
  Random burst_random_;
  boost::random::discrete_distribution<std::int32_t> classes_;
  boost::random::discrete_distribution<std::int32_t> destinations_;
  std::vector<std::int32_t> hot_destinations_;
  Arrivals arrivals_;
  double next_s_;
  double next_burst_s_;
  std::int64_t next_number_ = 0;
  std::priority_queue<PlannedMessage, std::vector<PlannedMessage>, IsLater> burst_messages_;
};

// Identifies a submission on the wire. The id holds everything that a stub server needs to check a call: the
// run, the message, the number of the submission, the destination and the idempotency.
struct SubmissionId {
  std::uint32_t run = 0;
  std::int64_t number = 0;  // number of the message
  int submission = 0;       // number of the submission, which counts from 0
  int destination = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
  bool operator==(const SubmissionId&) const = default;
};

// Returns the id as text, such as "L5be2a07c-1234-0-7-n".
std::string ToText(const SubmissionId& id);

// Parses the text of an id. A CloudEvents frontend puts the event's source and '|' in front of it, which are
// skipped. Returns nothing if `text` holds no valid id.
std::optional<SubmissionId> ParseSubmissionId(std::string_view text);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_PLAN_H_
