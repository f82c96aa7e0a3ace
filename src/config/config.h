// The configuration that the platform gives to a dispatcher: environment variables, and the JSON file that
// one of them names. It is read at the start and again on SIGHUP, on the main thread.
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

// A numeric IPv4 address, and a TCP or UDP port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};
// Parses an address such as "10.0.0.4:8443". Host names are rejected, as resolving one would block the event
// loop. Throws FormatError, with `key` as the key at fault.
Address ParseAddress(std::string_view text, const char* key);

// The platform's configuration of one dispatcher.
struct Config {
  std::string name;
  std::string state_folder;
  Address listen;
  Address discovery;               // address of the service that sends the endpoint list
  std::optional<Address> admin;    // address of the admin server; no value: no admin server
  std::string peer_listen;         // own address for gossip; empty: no gossip
  std::vector<std::string> peers;  // gossip addresses by dispatcher index, including the own one
  std::string broadcast_peer;      // gossip address that reaches all peers; may be empty
  std::uint64_t seed = 0;          // seed of the process's random number generators
  std::size_t disk_limit_bytes = 0;
  std::size_t socket_limit = 0;
  std::size_t memory_limit_bytes = 0;
  SiteSettings site;
  EndpointListUpdate cached_endpoint_list;  // used until discovery sends the first list
};

// How a process divides its file descriptors, and the memory for request bodies. Clients get a third of the
// descriptors, so that calls, the journal and discovery always find a free one.
struct DescriptorLimits {
  std::size_t platform_connections = 0;     // client connections in the platform's protocol
  std::size_t cloudevents_connections = 0;  // client connections that send CloudEvents
  std::size_t cloudevents_body_bytes = 0;   // maximum body of one request with CloudEvents, in bytes
  std::size_t endpoint_connections = 0;     // connections to endpoints
  std::size_t admin_connections = 0;        // connections to the admin server
};
// Divides the limits of `config`. `has_cloudevents` and `has_platform` say which frontends this process has:
// the one for CloudEvents and the one for the platform's protocol.
DescriptorLimits DivideDescriptors(const Config& config, bool has_cloudevents, bool has_platform = true);

// The parts of the platform's configuration that a process requires. A planner uses no discovery, and a
// forwarder has no state folder.
struct ConfigRequirements {
  bool discovery = true;
  bool state = true;
  bool is_reload = false;  // on a reload the file is newer than the environment and has precedence over it
};

// Returns the value of an environment variable, or null if it is not set.
using Environment = std::function<const char*(const char* variable)>;

// Reads the file named by BALANCER_CONFIG. Unless this is a reload, the other BALANCER_ variables have
// precedence over the file. Throws ConfigError that names the file and the key at fault.
Config ReadConfig(const Environment& environment, ConfigRequirements requirements = ConfigRequirements());
// Does the same for the text of a file. Throws FormatError that names the key at fault.
Config ParseConfig(const std::string& text, const Environment& environment,
                   ConfigRequirements requirements = ConfigRequirements());

// Reads an endpoint list in the format of the platform's discovery. Leaves out entries that can't be read. An
// endpoint is not used while its entry can't be read, so a delta has it as removed if its name and
// destination can be read. Throws FormatError that names the field if the list itself, or every one of its
// entries, can't be read.
EndpointListUpdate ReadEndpointList(json::Value list, const SiteSettings& site);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_CONFIG_H_
