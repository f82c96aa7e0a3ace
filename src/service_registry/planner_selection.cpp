#include "service_registry/planner_selection.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace sagetally {
namespace {

// FNV-1a with a final mix: the same on every machine, which std::hash does not promise.
std::uint64_t Weight(const std::string& text) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  return hash;
}

template <typename T>
bool ReadNumber(const Instance& instance, const char* name, T& value) {
  const auto at = instance.metadata.find(name);
  if (at == instance.metadata.end()) return false;
  const char* end = at->second.data() + at->second.size();
  const auto [stop, error] = std::from_chars(at->second.data(), end, value);
  return error == std::errc() && stop == end;
}

// By a numeric address: looking up a name would stop the loop.
bool Reachable(const Instance& instance) {
  in_addr number{};
  return instance.port != 0 && inet_pton(AF_INET, instance.host.c_str(), &number) == 1;
}

int Position(const std::vector<std::string>& names, const Instance& instance, const char* name) {
  const auto named = instance.metadata.find(name);
  if (named == instance.metadata.end()) return 0;
  const auto at = std::find(names.begin(), names.end(), named->second);
  return at == names.end() ? 0 : static_cast<int>(at - names.begin());
}

}  // namespace

const Instance* SelectPlanner(const std::map<std::string, Instance>& planners, int destination) {
  const Instance* best = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [id, planner] : planners) {
    if (!planner.up() || !Reachable(planner)) continue;
    const std::uint64_t weight = Weight(id + "#" + std::to_string(destination));
    if (best != nullptr && weight <= highest) continue;
    best = &planner;
    highest = weight;
  }
  return best;
}

EndpointListUpdate MakePartnerList(const std::map<std::string, Instance>& partners, const SiteSettings& site,
                                   std::vector<std::string>& problems) {
  EndpointListUpdate news;
  news.is_full_snapshot = true;
  for (const auto& [id, partner] : partners) {
    EndpointUpdate n;
    n.record.endpoint = id;
    n.address = partner.host + ":" + std::to_string(partner.port);
    if (!Reachable(partner)) {
      problems.push_back(id + ": '" + n.address + "' is no address in numbers");
      continue;
    }
    if (!ReadNumber(partner, "destination", n.record.destination) || n.record.destination < 0) {
      problems.push_back(id + ": metadata names no destination");
      continue;
    }
    ReadNumber(partner, "rate", n.record.rate);
    if (!(n.record.rate >= 0 && n.record.rate < 1e9)) n.record.rate = 0;
    n.record.kind = Position(site.kinds, partner, "kind");
    n.record.zone = Position(site.zones, partner, "zone");
    n.record.state = partner.up() ? EndpointRecord::State::kUp : EndpointRecord::State::kDraining;
    news.endpoints.push_back(std::move(n));
  }
  return news;
}

}  // namespace sagetally
