#include "app/endpoint_list_source.h"

#include <map>
#include <utility>
#include <vector>

#include "net/endpoint_list_watcher.h"
#include "service_registry/planner_selection.h"

namespace sagetally {
namespace {

class DiscoverySource : public EndpointListSource {
 public:
  DiscoverySource(EventLoop& loop, Logger& log, const Config& config, std::int64_t known_revision,
                  EndpointListCallback on_update)
      : watcher_(loop, config.discovery, config.site, known_revision, config.seed, std::move(on_update),
                 log) {}

  std::optional<std::int64_t> revision() const override { return watcher_.revision(); }
  void ChangeDiscoveryAddress(const Address& discovery) override { watcher_.ChangeAddress(discovery); }

 private:
  EndpointListWatcher watcher_;
};

class RegistrySource : public EndpointListSource {
 public:
  RegistrySource(EventLoop& loop, Logger& log, const SiteSettings& site, const EurekaSettings& settings,
                 Instance own_instance, EndpointListCallback on_update)
      : log_(log),
        site_(site),
        partners_application_(settings.partners),
        on_update_(std::move(on_update)),
        client_(
            loop, settings, std::move(own_instance),
            [this](const Applications& applications) { OnApplications(applications); }, log) {}

  void Deregister() override {
    client_.Deregister([] {});
  }

 private:
  void OnApplications(const Applications& applications) {
    const std::map<std::string, Instance> no_instances;
    const auto partners = applications.find(partners_application_);
    std::vector<std::string> problems;
    on_update_(
        MakePartnerList(partners == applications.end() ? no_instances : partners->second, site_, problems));
    for (const std::string& problem : problems) log_.Warn("eureka.instance_skipped", {{"why", problem}});
  }

  Logger& log_;
  const SiteSettings& site_;
  const std::string partners_application_;
  const EndpointListCallback on_update_;
  EurekaClient client_;
};

}  // namespace

std::unique_ptr<EndpointListSource> WatchDiscovery(EventLoop& loop, Logger& log, const Config& config,
                                                   std::int64_t known_revision,
                                                   EndpointListCallback on_update) {
  return std::make_unique<DiscoverySource>(loop, log, config, known_revision, std::move(on_update));
}

std::unique_ptr<EndpointListSource> PollRegistry(EventLoop& loop, Logger& log, const SiteSettings& site,
                                                 const EurekaSettings& settings, Instance own_instance,
                                                 EndpointListCallback on_update) {
  return std::make_unique<RegistrySource>(loop, log, site, settings, std::move(own_instance),
                                          std::move(on_update));
}

Instance MakePlannerInstance(const std::string& node_name, const EurekaSettings& settings,
                             std::uint16_t cloudevents_port) {
  Instance instance;
  instance.app = settings.planners;
  instance.host = settings.host;
  instance.port = cloudevents_port;
  instance.id = node_name + ":" + settings.host + ":" + std::to_string(cloudevents_port);
  return instance;
}

}  // namespace sagetally
