// What a run means to send: each message with its intended time, drawn from a scenario and a seed alone.
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

struct Planned {
  std::int64_t number = 0;  // one identity through all its hand-ins
  std::int64_t at_us = 0;   // intended, from the start of the run
  std::int32_t message_class = 0, destination = 0, body_bytes = 0, caller = 0;
  bool operator==(const Planned&) const = default;
};

class Source {
 public:
  virtual ~Source() = default;
  // In order of intended time; none once the run's time is over.
  virtual std::optional<Planned> Next() = 0;
};

class Plan : public Source {
 public:
  explicit Plan(const Scenario& scenario);
  std::optional<Planned> Next() override;

 private:
  struct Later {
    bool operator()(const Planned& a, const Planned& b) const { return a.at_us > b.at_us; }
  };
  Planned Drawn(double at_s);
  void AddClump(double at_s);

  const Scenario scenario_;
  const Distribution sizes_;
  Random class_random_, destination_random_, size_random_, caller_random_, clump_random_;
  boost::random::discrete_distribution<std::int32_t> classes_, destinations_;
  std::vector<std::int32_t> hot_destinations_;
  Arrivals arrivals_;
  double next_s_, next_clump_s_;
  std::int64_t number_ = 0;
  std::priority_queue<Planned, std::vector<Planned>, Later> clumped_;
};

// Names a hand-in on the wire: which run, which message and which of its hand-ins, its destination and
// whether it may take effect twice, so that a stand-in can judge by the id alone.
struct HandInId {
  std::uint32_t run = 0;
  std::int64_t number = 0;
  int hand_in = 0, destination = 0;
  Repeat repeat = Repeat::kFree;
  bool operator==(const HandInId&) const = default;
};
std::string ToText(const HandInId& id);
// Nothing if it is none of ours. What a CloudEvents front puts before it (source and '|') is passed over.
std::optional<HandInId> ParseHandInId(std::string_view text);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_PLAN_H_
