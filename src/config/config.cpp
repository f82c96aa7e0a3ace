#include "config/config.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace sagetally {
namespace {

using namespace json;

int Position(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

// Runs a part of the reading; what fails in it is said to be in `key`.
template <typename F>
void Within(const char* key, F read) {
  try {
    read();
  } catch (const std::exception& e) {
    Malformed(std::string(key) + ": " + e.what());
  }
}

}  // namespace

Address ParseAddress(std::string_view text, const char* what) {
  const std::size_t colon = text.rfind(':');
  Address a;
  if (colon != std::string_view::npos && colon > 0) {
    a.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data() + colon + 1, end, a.port);
    // Numbers only: looking up a name would stop the loop, and there is no DNS.
    in_addr number{};
    if (error == std::errc() && at == end && inet_pton(AF_INET, a.host.c_str(), &number) == 1) return a;
  }
  Malformed(std::string(what) + ": '" + std::string(text) + "' is no address");
}

EndpointListUpdate ReadList(Value list, const SiteSettings& site) {
  EndpointListUpdate news;
  news.revision = Get<std::int64_t>(list, "rev");
  news.is_full_snapshot = Get<bool>(list, "all", false);
  for (const Value target : List(list, "targets")) {
    EndpointUpdate n;
    EndpointRecord& e = n.record;
    e.endpoint = Get<std::string>(target, "uid");
    n.address = Get<std::string>(target, "endpoint");
    ParseAddress(n.address, "endpoint");
    e.destination = Get<int>(target, "pod_group");
    e.zone = std::max(0, Position(site.zones, Get<std::string>(target, "az", "")));
    e.kind = std::max(0, Position(site.kinds, Get<std::string>(target, "model", "")));
    e.rate = Get<double>(target, "capacity_hint", 0.0);
    const auto state = Get<std::string>(target, "state");
    e.state = state == "in_service"    ? EndpointRecord::State::kUp
              : state == "terminating" ? EndpointRecord::State::kDraining
                                       : EndpointRecord::State::kRemoved;
    if (e.state == EndpointRecord::State::kRemoved && state != "terminated") {
      Malformed("unknown state '" + state + "'");
    }
    news.endpoints.push_back(std::move(n));
  }
  return news;
}

Config ParseConfig(const std::string& text, const std::function<const char*(const char*)>& environment,
                   ConfigRequirements needs) {
  simdjson::dom::parser parser;
  Value root;
  if (const auto error = parser.parse(text).get(root)) {
    Malformed(std::string("no JSON: ") + simdjson::error_message(error));
  }
  const auto told = [&](const char* variable, const char* key) {
    const char* value = environment(variable);
    const std::string here = Get<std::string>(root, key, "");
    return value == nullptr || *value == 0 || (needs.again && !here.empty()) ? here : std::string(value);
  };
  Config c;
  c.name = told("BALANCER_NAME", "name");
  c.listen = ParseAddress(told("BALANCER_LISTEN", "listen"), "listen");
  const std::string discovery = told("BALANCER_DISCOVERY", "discovery");
  if (needs.discovery || !discovery.empty()) c.discovery = ParseAddress(discovery, "discovery");
  const std::string admin = told("BALANCER_ADMIN", "admin");
  if (!admin.empty()) c.admin = ParseAddress(admin, "admin");
  c.state_folder = told("BALANCER_STATE", "state");
  if (c.state_folder.empty() && needs.state) Malformed("missing field 'state' (BALANCER_STATE)");
  const auto seed = Get<std::string>(root, "seed", "0");
  if (std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16).ptr != seed.data() + seed.size()) {
    Malformed("wrong type of 'seed'");
  }
  Value limits;
  c.disk_limit_bytes = 3'000'000;
  c.socket_limit = 1024;
  c.memory_limit_bytes = 192'000'000;
  if (Find(root, "limits", limits)) {
    Within("limits", [&] {
      c.disk_limit_bytes = static_cast<std::size_t>(Get<double>(limits, "disk_mb", 3.0) * 1e6);
      c.socket_limit = Get<std::size_t>(limits, "sockets", 1024);
      c.memory_limit_bytes = static_cast<std::size_t>(Get<double>(limits, "memory_mb", 192.0) * 1e6);
      if (c.socket_limit < 64) Malformed("'sockets' must be 64 at least");
    });
  }
  c.peer_listen = Get<std::string>(root, "peer_listen", "");
  c.broadcast_peer = Get<std::string>(root, "peers_all", "");
  if (!c.peer_listen.empty()) ParseAddress(c.peer_listen, "peer_listen");
  if (!c.broadcast_peer.empty()) ParseAddress(c.broadcast_peer, "peers_all");
  Value peers;
  if (Find(root, "peers", peers)) {
    for (const Value peer : List(root, "peers")) c.peers.push_back(As<std::string>(peer, "peers"));
  }
  Within("settings", [&] { c.site = ReadSettings(Require(root, "settings")); });
  Value known;
  if (Find(root, "known", known)) Within("known", [&] { c.cached_endpoint_list = ReadList(known, c.site); });
  c.cached_endpoint_list.is_full_snapshot = c.cached_endpoint_list.is_cached = true;
  return c;
}

DescriptorShares ShareDescriptors(const Config& config, bool events_on, bool plain_on) {
  constexpr std::size_t kOther = 24;  // log and its compaction, discovery, notices, notes, the loop's own
  constexpr std::size_t kMostBatch = 1024 * 1024;
  const std::size_t clients = config.socket_limit / 3;
  DescriptorShares s;
  if (config.admin) s.admin = std::clamp<std::size_t>(config.socket_limit / 16, 8, 32);
  s.calls = config.socket_limit - clients - kOther - s.admin;
  if (events_on) s.events = plain_on ? std::max<std::size_t>(4, clients / 8) : clients;
  s.plain = clients - s.events;
  if (events_on) s.event_body = std::min(kMostBatch, config.memory_limit_bytes / 4 / s.events);
  return s;
}

Config ReadConfig(const std::function<const char*(const char*)>& environment, ConfigRequirements needs) {
  const char* path = environment("BALANCER_CONFIG");
  if (path == nullptr || *path == 0) Malformed("BALANCER_CONFIG is not set");
  std::ifstream file(path);
  if (!file) Malformed(std::string("BALANCER_CONFIG: can't read '") + path + "'");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseConfig(text.str(), environment, needs);
}

}  // namespace sagetally
