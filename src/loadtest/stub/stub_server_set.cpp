#include "loadtest/stub/stub_server_set.h"

#include <fmt/format.h>

#include "loadtest/clock.h"

namespace sagetally::loadtest {
namespace {

constexpr const char* kPartnerApplication =
    "PARTNERS";  // application of the partners in the service registry
constexpr const char* kLoopbackHost = "127.0.0.1";

}  // namespace

StubServerSet::StubServerSet(EventLoop& loop, const StubServerSettings& settings)
    : checker(settings.rules),
      loop_(loop),
      listed_partners_(settings.partners),
      timeline_(settings.timeline),
      started_us_(NowUs()) {
  if (settings.serve_partners) StartPartners(settings);
  if (settings.partner_path_faults) StartPartnerProxies(*settings.partner_path_faults);
  if (settings.agent) StartAgent(settings);
  if (agent && settings.agent_path_faults) {
    agent_proxy = std::make_unique<FaultProxy>(loop_, *settings.agent_path_faults, "agent", [this] {
      return Address{kLoopbackHost, agent->port()};
    });
  }
  if (settings.registry) StartRegistry(*settings.registry);
  if (settings.frontend) StartFrontend(settings);
  if (settings.sink) StartSink(*settings.sink);
}
StubServerSet::~StubServerSet() = default;

void StubServerSet::StartPartners(const StubServerSettings& settings) {
  for (const PartnerSettings& partner_settings : settings.partners) {
    auto partner =
        std::make_unique<Partner>(loop_, partner_settings, timeline_, checker,
                                  Stream(settings.seed, "partner " + partner_settings.uid), started_us_);
    if (settings.identify) partner->identify = settings.identify;
    partner->on_effect = [this](const std::string& id) { AddObservation(ObservationKind::kEffect, id); };
    partner->on_delivered = [this](const std::string& id) {
      AddObservation(ObservationKind::kDelivered, id);
    };
    partners.push_back(std::move(partner));
  }
}

void StubServerSet::StartPartnerProxies(const PathFaults& faults) {
  for (std::size_t i = 0; i < partners.size(); ++i) {
    const std::string& host = listed_partners_[i].listen.host;
    const auto server_address = [host, partner = partners[i].get()] {
      return Address{host, partner->port()};
    };
    partner_proxies.push_back(
        std::make_unique<FaultProxy>(loop_, faults, listed_partners_[i].uid, server_address));
  }
}

void StubServerSet::StartAgent(const StubServerSettings& settings) {
  agent = std::make_unique<Agent>(loop_, *settings.agent);
  agent->keep_notices = false;
  for (const ListedEndpoint& endpoint : ListedEndpoints()) agent->Put(endpoint);
  agent->faults = settings.agent_faults;
  agent->on_notice = [this](const std::string& id, const std::string& status) {
    checker.OnNotified(id);
    AddObservation(status == "deferred" ? ObservationKind::kDeferred : ObservationKind::kUndeliverable, id);
  };
  agent->on_state_announced = [this](const std::string& uid, const std::string& state) {
    if (state == "in_service") {
      checker.OnInServiceAnnounced(uid);
    } else {
      checker.OnDrainingAnnounced(NowUs(), uid);
    }
  };
  for (const EndpointStateChange& change : settings.state_changes) {
    state_change_timers_.push_back(
        std::make_unique<Timer>(loop_, [this, change] { agent->SetState(change.uid, change.state); }));
    state_change_timers_.back()->Schedule(Duration(static_cast<std::int64_t>(change.at_ms * 1000)));
  }
}

void StubServerSet::StartRegistry(const Address& address) {
  registry = std::make_unique<Registry>(loop_, address);
  registry->keep_requests = false;
  for (const ListedEndpoint& endpoint : ListedEndpoints()) {
    registry->Put(kPartnerApplication, endpoint.uid, ParseAddress(endpoint.address, "endpoint").port,
                  fmt::format(R"(,"metadata":{{"destination":"{}","rate":"{}"}})", endpoint.destination,
                              endpoint.rate));
  }
}

void StubServerSet::StartFrontend(const StubServerSettings& settings) {
  frontend = std::make_unique<StubFrontend>(loop_, *settings.frontend, timeline_,
                                            Stream(settings.seed, "front"), started_us_);
  frontend->on_accepted = [this](const std::string& id) { AddObservation(ObservationKind::kDelivered, id); };
}

void StubServerSet::StartSink(const Address& address) {
  sink = std::make_unique<Sink>(loop_, address);
  sink->on_event = [this](const std::string& type, const std::string& id) {
    const bool is_deferred = type.ends_with("deferred");
    AddObservation(is_deferred ? ObservationKind::kDeferred : ObservationKind::kUndeliverable, id);
  };
}

// Returns the address at which dispatchers reach the partner.
std::string StubServerSet::PartnerAddress(std::size_t i) const {
  if (i < partner_proxies.size()) return fmt::format("{}:{}", kLoopbackHost, partner_proxies[i]->port());
  const Address& listen = listed_partners_[i].listen;
  return fmt::format("{}:{}", listen.host, i < partners.size() ? partners[i]->port() : listen.port);
}

std::vector<ListedEndpoint> StubServerSet::ListedEndpoints() const {
  std::vector<ListedEndpoint> endpoints;
  for (std::size_t i = 0; i < listed_partners_.size(); ++i) {
    const PartnerSettings& partner = listed_partners_[i];
    ListedEndpoint endpoint;
    endpoint.uid = partner.uid;
    endpoint.address = PartnerAddress(i);
    endpoint.destination = partner.destination;
    if (partner.rate > 0) endpoint.rate = partner.rate;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

void StubServerSet::AddObservation(ObservationKind kind, const std::string& id) {
  Observation observation{kind, NowUs(), id};
  if (on_observation) {
    on_observation(observation);
  } else {
    observations.push_back(std::move(observation));
  }
}

}  // namespace sagetally::loadtest
