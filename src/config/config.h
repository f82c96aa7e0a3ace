// What a dispatcher is told by the platform: the environment and the file it names.
#ifndef SAGETALLY_SRC_CONFIG_CONFIG_H_
#define SAGETALLY_SRC_CONFIG_CONFIG_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "core/message.h"

namespace sagetally {

struct Address {
  std::string host;
  std::uint16_t port = 0;
};
// "10.0.0.4:8443". Throws std::runtime_error that names `what`.
Address ParseAddress(std::string_view text, const char* what);

struct Config {
  std::string name, state_folder;
  Address listen, discovery;
  std::optional<Address> admin;    // the operators' door; absent: none
  std::string peer_listen;         // empty: no peers
  std::vector<std::string> peers;  // by ordinal, own included
  std::string broadcast_peer;
  std::uint64_t seed = 0;
  std::size_t disk_limit_bytes = 0, socket_limit = 0, memory_limit_bytes = 0;
  SiteSettings site;
  EndpointListUpdate cached_endpoint_list;
};

// How a process spends its descriptors and memory. Clients get a third, so that calls, the log and discovery
// always find a descriptor free.
struct DescriptorShares {
  std::size_t plain = 0, events = 0;  // connections of clients at each front
  std::size_t event_body = 0;         // of one request at the front for events
  std::size_t calls = 0;              // connections to endpoints
  std::size_t admin = 0;              // callers at the operators' door
};
DescriptorShares ShareDescriptors(const Config& config, bool events_on, bool plain_on = true);

// Reads the file named by BALANCER_CONFIG; the other BALANCER_ variables go before what it says, but not when
// it is read again: then it is newer than they are. Throws std::runtime_error naming the key at fault.
// What a process of its role needs of the platform. Off it a planner has no discovery, a forwarder no state.
struct ConfigRequirements {
  bool discovery = true, state = true;
  bool again = false;
};
Config ReadConfig(const std::function<const char*(const char*)>& environment,
                  ConfigRequirements needs = ConfigRequirements());
Config ParseConfig(const std::string& text, const std::function<const char*(const char*)>& environment,
                   ConfigRequirements needs = ConfigRequirements());

// A list in discovery's form.
EndpointListUpdate ReadList(json::Value list, const SiteSettings& site);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_CONFIG_H_
