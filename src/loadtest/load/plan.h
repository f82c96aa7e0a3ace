// The plan of a run: each message with its intended time, drawn from a scenario and a seed alone. One thread
// draws it and passes it to the senders; see run.h.
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
  std::int64_t number = 0;         // identifies the message through all its submissions
  std::int64_t at_us = 0;          // intended, from the start of the run
  std::int32_t message_class = 0;  // index into Scenario::classes
  std::int32_t destination = 0;
  std::int32_t body_bytes = 0;
  std::int32_t client = 0;
  bool operator==(const PlannedMessage&) const = default;
};

// Where the messages of a run come from.
class PlanSource {
 public:
  virtual ~PlanSource() = default;
  // The messages in order of intended time; none once the run's time is over.
  virtual std::optional<PlannedMessage> Next() = 0;
};

// Draws messages from a scenario and its seed. Equal scenarios give equal plans.
class Plan : public PlanSource {
 public:
  // Throws std::runtime_error that begins with the JSON pointer of a wrong value.
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
  // A stream for each purpose, so that a change of one draw leaves the others as they are.
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

// Identifies a submission on the wire. It carries all that a stub server needs to check a call: the run, the
// message and which of its submissions this is, its destination and its idempotency.
struct SubmissionId {
  std::uint32_t run = 0;
  std::int64_t number = 0;  // of the message
  int submission = 0;       // from 0
  int destination = 0;
  Repeat idempotency = Repeat::kFree;
  bool operator==(const SubmissionId&) const = default;
};

// Such as "L5be2a07c-1234-0-7-n".
std::string ToText(const SubmissionId& id);

// None if `text` is no such id. Skips what a CloudEvents frontend puts in front: the event's source and '|'.
std::optional<SubmissionId> ParseSubmissionId(std::string_view text);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_PLAN_H_
