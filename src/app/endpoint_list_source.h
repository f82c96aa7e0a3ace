// The sources from which a dispatcher gets its endpoint list: the platform's discovery, or a Eureka registry.
// A source is active from its construction to its destruction. Owned by the Dispatcher; used on the event
// loop's thread only.
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

// A source of endpoint lists, which reports each update to a callback.
class EndpointListSource {
 public:
  virtual ~EndpointListSource() = default;
  // The revision of the list that was received last; none if the source doesn't number its lists.
  virtual std::optional<std::int64_t> revision() const { return std::nullopt; }
  // Connects to the platform's discovery at another address. Other sources ignore the call.
  virtual void ChangeDiscoveryAddress(const Address&) {}
  // Removes this process from the registry if it is registered there. Called at the shutdown.
  virtual void Deregister() {}
};

// Receives each update of the endpoint list, on the loop's thread.
using EndpointListCallback = std::function<void(const EndpointListUpdate&)>;

// Returns a source that watches the platform's discovery for lists with a revision after `known_revision`.
// `loop`, `log` and `config` must outlive the source.
std::unique_ptr<EndpointListSource> WatchDiscovery(EventLoop& loop, Logger& log, const Config& config,
                                                   std::int64_t known_revision,
                                                   EndpointListCallback on_update);

// Returns a source that polls a registry for the partners' application. It also registers `own_instance`
// there unless the id of that instance is empty. `loop`, `log` and `site` must outlive the source.
std::unique_ptr<EndpointListSource> PollRegistry(EventLoop& loop, Logger& log, const SiteSettings& site,
                                                 const EurekaSettings& settings, Instance own_instance,
                                                 EndpointListCallback on_update);

// Returns the instance that the planner `node_name` registers, and by which forwarders find it.
Instance MakePlannerInstance(const std::string& node_name, const EurekaSettings& settings,
                             std::uint16_t cloudevents_port);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_ENDPOINT_LIST_SOURCE_H_
