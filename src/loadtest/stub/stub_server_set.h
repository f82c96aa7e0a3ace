// A set of stub servers on one event loop: partners, an agent, a service registry, an event sink and a
// frontend. They share one checker and one fault timeline. The set is not thread-safe. StubServerThread runs
// one on its own thread while the load generator runs in the same process.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SET_H_
#define SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/proxy/fault_proxy.h"
#include "loadtest/report/message_record.h"
#include "loadtest/stub/agent.h"
#include "loadtest/stub/frontend.h"
#include "loadtest/stub/partner.h"
#include "loadtest/stub/registry.h"
#include "loadtest/stub/sink.h"
#include "loadtest/stub/stub_server_settings.h"

namespace sagetally::loadtest {

class StubServerSet {
 public:
  // Starts the servers that `settings` demand. Throws std::runtime_error if one can't listen.
  StubServerSet(EventLoop& loop, const StubServerSettings& settings);
  ~StubServerSet();

  // The servers. A server that was not started is null. The checker is declared first, so that it outlives
  // the servers that report to it.
  Checker checker;
  std::vector<std::unique_ptr<Partner>> partners;
  std::unique_ptr<Agent> agent;
  std::unique_ptr<Registry> registry;
  std::unique_ptr<Sink> sink;
  std::unique_ptr<StubFrontend> frontend;
  // In the order of `partners`; empty if there are no faults on the paths to them.
  std::vector<std::unique_ptr<FaultProxy>> partner_proxies;
  std::unique_ptr<FaultProxy> agent_proxy;

  // Called for each observation. If it is unset, observations are collected in `observations`.
  std::function<void(const Observation&)> on_observation;
  std::vector<Observation> observations;

  // Returns the timeline's time 0, in microseconds of the monotonic clock.
  std::int64_t started_us() const { return started_us_; }

  // Returns the port at which dispatchers reach the agent.
  std::uint16_t AgentPort() const { return agent_proxy ? agent_proxy->port() : agent->port(); }

  // Returns the entries of the partners in the endpoint list.
  std::vector<ListedEndpoint> ListedEndpoints() const;

 private:
  void StartPartners(const StubServerSettings& settings);
  void StartPartnerProxies(const PathFaults& faults);
  void StartAgent(const StubServerSettings& settings);
  std::string PartnerAddress(std::size_t i) const;
  void StartRegistry(const Address& address);
  void StartFrontend(const StubServerSettings& settings);
  void StartSink(const Address& address);
  void AddObservation(ObservationKind kind, const std::string& id);

  EventLoop& loop_;
  const std::vector<PartnerSettings> listed_partners_;
  const FaultTimeline timeline_;
  const std::int64_t started_us_;
  std::vector<std::unique_ptr<Timer>> state_change_timers_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SET_H_
