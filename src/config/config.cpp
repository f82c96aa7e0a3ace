#include "config/config.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "config/memory_limits.h"
#include "config/parse_number.h"

namespace sagetally {
namespace {

using json::Find;
using json::Get;
using json::Value;

constexpr double kBytesPerMegabyte = 1e6;
constexpr double kDefaultDiskMegabytes = 3.0;
constexpr double kDefaultMemoryMegabytes = 192.0;
// Beyond this, limits of memory and disk make no difference.
constexpr double kMaxMegabytes = 1e9;
constexpr std::size_t kDefaultSockets = 1024;
constexpr std::size_t kMinSockets = 64;

// Calls `read`, and prefixes `section` to the key and the message of a FormatError that it throws.
template <typename Read>
void ReadSection(const char* section, Read read) {
  try {
    read();
  } catch (const FormatError& error) {
    FormatFault fault = error.fault();
    const bool is_section = fault.key.empty() || fault.key == section;
    fault.key = is_section ? section : std::string(section) + "." + fault.key;
    throw FormatError(std::string(section) + ": " + error.what(), fault);
  }
}

EndpointRecord::State ParseEndpointState(const std::string& word) {
  if (word == "in_service") return EndpointRecord::State::kUp;
  if (word == "terminating") return EndpointRecord::State::kDraining;
  if (word == "terminated") return EndpointRecord::State::kRemoved;
  throw FormatError("unknown state '" + word + "'",
                    {"state", "one of in_service, terminating, terminated", word});
}

EndpointUpdate ReadEndpoint(Value target, const SiteSettings& site) {
  EndpointUpdate update;
  EndpointRecord& record = update.record;
  record.endpoint = Get<std::string>(target, "uid");
  update.address = Get<std::string>(target, "endpoint");
  ParseAddress(update.address, "endpoint");
  record.destination = Get<int>(target, "pod_group");
  record.zone = FindName(site.zones, Get<std::string>(target, "az", "")).value_or(0);
  record.kind = FindName(site.kinds, Get<std::string>(target, "model", "")).value_or(0);
  record.rate = Get<double>(target, "capacity_hint", 0.0);
  record.state = ParseEndpointState(Get<std::string>(target, "state"));
  return update;
}

// Returns the removal of the endpoint whose entry is `target`, or nothing if the entry does not say which it
// is.
std::optional<EndpointUpdate> ReadRemoval(Value target) {
  try {
    EndpointUpdate removal;
    removal.record.endpoint = Get<std::string>(target, "uid");
    removal.record.destination = Get<int>(target, "pod_group");
    removal.record.state = EndpointRecord::State::kRemoved;
    return removal;
  } catch (const FormatError&) {
    return std::nullopt;
  }
}

// Reads one configuration. If several fields are wrong, the error names the one that is read first, so the
// order of the calls in Read() is observable.
class ConfigReader {
 public:
  ConfigReader(Value root, const Environment& environment, ConfigRequirements requirements)
      : root_(root), environment_(environment), requirements_(requirements) {}

  Config Read() {
    ReadAddresses();
    ReadStateFolder();
    ReadSeed();
    ReadLimits();
    ReadPeers();
    ReadSection("settings", [this] { config_.site = ReadSettings(json::Require(root_, "settings")); });
    ReadKnownEndpoints();
    return std::move(config_);
  }

 private:
  // Returns the value of `key`, or that of the environment variable `variable` if it overrides the key. In a
  // reload a value in the file has precedence over the variable.
  std::string Lookup(const char* variable, const char* key) const {
    const char* overriding = environment_(variable);
    auto value = Get<std::string>(root_, key, "");
    const bool is_overridden = overriding != nullptr && *overriding != 0;
    if (!is_overridden || (requirements_.is_reload && !value.empty())) return value;
    return overriding;
  }

  void ReadAddresses() {
    config_.name = Lookup("BALANCER_NAME", "name");
    config_.listen = ParseAddress(Lookup("BALANCER_LISTEN", "listen"), "listen");
    const std::string discovery = Lookup("BALANCER_DISCOVERY", "discovery");
    if (requirements_.discovery || !discovery.empty()) {
      config_.discovery = ParseAddress(discovery, "discovery");
    }
    const std::string admin = Lookup("BALANCER_ADMIN", "admin");
    if (!admin.empty()) config_.admin = ParseAddress(admin, "admin");
  }

  void ReadStateFolder() {
    config_.state_folder = Lookup("BALANCER_STATE", "state");
    if (config_.state_folder.empty() && requirements_.state) {
      throw FormatError("missing field 'state' (BALANCER_STATE)", {"state", "a folder", "nothing"});
    }
  }

  // Reads the seed, which is written in hexadecimal digits.
  void ReadSeed() {
    const auto text = Get<std::string>(root_, "seed", "0");
    const char* end = text.data() + text.size();
    if (std::from_chars(text.data(), end, config_.seed, 16).ptr != end) {
      throw FormatError("wrong type of 'seed'", {"seed", "hexadecimal digits", text});
    }
  }

  void ReadLimits() {
    config_.disk_limit_bytes = ToBytes(kDefaultDiskMegabytes);
    config_.socket_limit = kDefaultSockets;
    config_.memory_limit_bytes = ToBytes(kDefaultMemoryMegabytes);
    const std::optional<Value> limits = Find(root_, "limits");
    if (!limits) return;
    ReadSection("limits", [&] {
      config_.disk_limit_bytes = ToBytes(Get<double>(*limits, "disk_mb", kDefaultDiskMegabytes));
      config_.socket_limit = Get<std::size_t>(*limits, "sockets", kDefaultSockets);
      const auto memory_megabytes = Get<double>(*limits, "memory_mb", kDefaultMemoryMegabytes);
      if (memory_megabytes < kMinMemoryMegabytes || memory_megabytes > kMaxMemoryMegabytes) {
        throw FormatError("'memory_mb' must be from 20 to 1048576",
                          {"memory_mb", "from 20 to 1048576", std::to_string(memory_megabytes)});
      }
      config_.memory_limit_bytes = ToBytes(memory_megabytes);
      if (config_.socket_limit < kMinSockets) {
        throw FormatError("'sockets' must be at least 64",
                          {"sockets", "at least 64", std::to_string(config_.socket_limit)});
      }
    });
  }

  static std::size_t ToBytes(double megabytes) {
    return static_cast<std::size_t>(std::clamp(megabytes, 0.0, kMaxMegabytes) * kBytesPerMegabyte);
  }

  void ReadPeers() {
    config_.peer_listen = Get<std::string>(root_, "peer_listen", "");
    config_.broadcast_peer = Get<std::string>(root_, "peers_all", "");
    if (!config_.peer_listen.empty()) ParseAddress(config_.peer_listen, "peer_listen");
    if (!config_.broadcast_peer.empty()) ParseAddress(config_.broadcast_peer, "peers_all");
    json::ForEach(root_, "peers",
                  [this](Value peer) { config_.peers.push_back(json::As<std::string>(peer, "peers")); });
  }

  void ReadKnownEndpoints() {
    if (const std::optional<Value> known = Find(root_, "known")) {
      ReadSection("known", [&] { config_.cached_endpoint_list = ReadEndpointList(*known, config_.site); });
    }
    config_.cached_endpoint_list.is_full_snapshot = true;
    config_.cached_endpoint_list.is_cached = true;
  }

  const Value root_;
  const Environment& environment_;
  const ConfigRequirements requirements_;
  Config config_;
};

}  // namespace

Address ParseAddress(std::string_view text, const char* key) {
  const std::size_t colon = text.rfind(':');
  if (colon != std::string_view::npos && colon > 0) {
    Address address;
    address.host = text.substr(0, colon);
    const std::optional<std::uint16_t> port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
    in_addr number{};
    if (port && inet_pton(AF_INET, address.host.c_str(), &number) == 1) {
      address.port = *port;
      return address;
    }
  }
  throw FormatError(std::string(key) + ": '" + std::string(text) + "' is not an address",
                    {key, "a numeric IPv4 address and a port", std::string(text)});
}

EndpointListUpdate ReadEndpointList(Value list, const SiteSettings& site) {
  EndpointListUpdate update;
  update.revision = Get<std::int64_t>(list, "rev");
  update.is_full_snapshot = Get<bool>(list, "all", false);
  std::optional<FormatError> first_error;
  bool has_readable_entry = false;
  for (const Value target : json::List(list, "targets")) {
    try {
      update.endpoints.push_back(ReadEndpoint(target, site));
      has_readable_entry = true;
    } catch (const FormatError& error) {
      if (!first_error) first_error = error;
      update.entry_errors.emplace_back(error.what());
      const std::optional<EndpointUpdate> removal = ReadRemoval(target);
      if (removal && !update.is_full_snapshot) update.endpoints.push_back(*removal);
    }
  }
  if (first_error && !has_readable_entry) throw FormatError(*first_error);
  return update;
}

Config ParseConfig(const std::string& text, const Environment& environment, ConfigRequirements requirements) {
  simdjson::dom::parser parser;
  return ConfigReader(json::Parse(parser, text), environment, requirements).Read();
}

DescriptorLimits DivideDescriptors(const Config& config, bool has_cloudevents, bool has_platform) {
  // Descriptors for the journal, its compaction, discovery, notifications, gossip and the event loop itself.
  static constexpr std::size_t kOtherDescriptors = 24;
  // Maximum body of one request with CloudEvents, in bytes.
  static constexpr std::size_t kMaxBatchBytes = 1024 * 1024;
  static constexpr std::size_t kMinBatchesAtOnce = 16;
  const std::size_t clients = config.socket_limit / 3;
  DescriptorLimits descriptors;
  if (config.admin) descriptors.admin_connections = std::clamp<std::size_t>(config.socket_limit / 16, 8, 32);
  descriptors.endpoint_connections =
      config.socket_limit - clients - kOtherDescriptors - descriptors.admin_connections;
  if (has_cloudevents) {
    descriptors.cloudevents_connections = has_platform ? std::max<std::size_t>(4, clients / 8) : clients;
  }
  descriptors.platform_connections = clients - descriptors.cloudevents_connections;
  if (has_cloudevents) {
    // Several batches can be read at once within the clients' share of the memory.
    descriptors.cloudevents_body_bytes =
        std::min({kMaxBatchBytes, config.memory_limit_bytes / 4 / descriptors.cloudevents_connections,
                  DivideMemory(config.memory_limit_bytes).client_bytes / kMinBatchesAtOnce});
  }
  return descriptors;
}

Config ReadConfig(const Environment& environment, ConfigRequirements requirements) {
  static constexpr const char* kVariable = "BALANCER_CONFIG";
  const char* path = environment(kVariable);
  if (path == nullptr || *path == 0) {
    throw ConfigError("BALANCER_CONFIG is not set", "", {kVariable, "the path of a file", "nothing"});
  }
  std::ifstream file(path);
  if (!file) {
    throw ConfigError(std::string("BALANCER_CONFIG: can't read '") + path + "'", path,
                      {kVariable, "a file that can be read", path});
  }
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ParseConfig(text.str(), environment, requirements);
  } catch (const FormatError& error) {
    throw ConfigError(error.what(), path, error.fault());
  }
}

}  // namespace sagetally
