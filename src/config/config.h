// What the platform tells a dispatcher: the environment, and the JSON file that it names. Read at the start
// and again on SIGHUP, on the main thread.
#ifndef SAGETALLY_SRC_CONFIG_CONFIG_H_
#define SAGETALLY_SRC_CONFIG_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "core/message.h"

namespace sagetally {

// An IPv4 address in numbers, and a TCP or UDP port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};
// Parses an address such as "10.0.0.4:8443". Host names are rejected: looking one up would block the event
// loop. Throws FormatError that names `what`.
Address ParseAddress(std::string_view text, const char* what);

// The platform's configuration of one dispatcher.
struct Config {
  std::string name;
  std::string state_folder;
  Address listen;
  Address discovery;               // of the endpoint list
  std::optional<Address> admin;    // of the admin server; absent: none
  std::string peer_listen;         // address for gossip; empty: no peers
  std::vector<std::string> peers;  // addresses by dispatcher index, the own one included
  std::string broadcast_peer;      // an address that reaches all peers; may be empty
  std::uint64_t seed = 0;          // of the process's random numbers
  std::size_t disk_limit_bytes = 0;
  std::size_t socket_limit = 0;
  std::size_t memory_limit_bytes = 0;
  SiteSettings site;
  EndpointListUpdate cached_endpoint_list;  // as known before the first list from discovery
};

// How a process divides its descriptors and its memory. Clients get a third of the descriptors, so that
// calls, the journal and discovery always find one free.
struct DescriptorLimits {
  std::size_t platform_connections = 0;     // connections of clients in the platform's protocol
  std::size_t cloudevents_connections = 0;  // connections of clients that send CloudEvents
  std::size_t cloudevents_body_bytes = 0;   // bytes of the body of one request with CloudEvents
  std::size_t endpoint_connections = 0;     // connections to endpoints
  std::size_t admin_connections = 0;        // connections to the admin server
};
// `events_on` and `plain_on` say which frontends this process has.
DescriptorLimits DivideDescriptors(const Config& config, bool events_on, bool plain_on = true);

// What the process needs the platform to configure. A planner has no discovery, a forwarder no state.
struct ConfigRequirements {
  bool discovery = true;
  bool state = true;
  bool is_reload = false;  // the file is read again: it is newer than the environment and has precedence
};

// Returns the value of an environment variable, or null if it is not set.
using Environment = std::function<const char*(const char* variable)>;

// Reads the file named by BALANCER_CONFIG. The other BALANCER_ variables have precedence over it at the first
// reading. Throws ConfigError that names the file and the key at fault.
Config ReadConfig(const Environment& environment, ConfigRequirements requirements = ConfigRequirements());
// The same for the text of a file. Throws FormatError that names the key at fault.
Config ParseConfig(const std::string& text, const Environment& environment,
                   ConfigRequirements requirements = ConfigRequirements());

// Reads an endpoint list in the form of the platform's discovery. Throws FormatError that names the field.
EndpointListUpdate ReadEndpointList(json::Value list, const SiteSettings& site);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_CONFIG_H_
