// Where a dispatcher gets its endpoint list from: the platform's discovery, or a Eureka registry. A source
// runs from its creation to its end, on the loop's thread.
#ifndef SAGETALLY_SRC_APP_ENDPOINT_LIST_SOURCE_H_
#define SAGETALLY_SRC_APP_ENDPOINT_LIST_SOURCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.h"
#include "config/node_file.h"
#include "core/message.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

class EndpointListSource {
 public:
  virtual ~EndpointListSource() = default;
  // Of the list that was received last; none if the source doesn't number its lists.
  virtual std::optional<std::int64_t> revision() const { return std::nullopt; }
  // The platform's discovery has another address now.
  virtual void ChangeDiscoveryAddress(const Address&) {}
  // This process shuts down: takes it off the registry, if it is registered.
  virtual void Deregister() {}
};

using EndpointListCallback = std::function<void(const EndpointListUpdate&)>;

// Watches the platform's discovery, from the list after `known_revision` on. `config` must outlive the
// source.
std::unique_ptr<EndpointListSource> WatchDiscovery(EventLoop& loop, Logger& log, const Config& config,
                                                   std::int64_t known_revision,
                                                   EndpointListCallback on_update);

// Fetches the partners' application from a registry, and registers `own_instance` there unless its id is
// empty. `site` must outlive the source.
std::unique_ptr<EndpointListSource> FollowRegistry(EventLoop& loop, Logger& log, const SiteSettings& site,
                                                   const EurekaSettings& settings, Instance own_instance,
                                                   EndpointListCallback on_update);

// The instance by which forwarders find the planner `node_name`.
Instance MakePlannerInstance(const std::string& node_name, const EurekaSettings& settings,
                             std::uint16_t cloudevents_port);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_ENDPOINT_LIST_SOURCE_H_
