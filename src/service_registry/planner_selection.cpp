#include "service_registry/planner_selection.h"

#include <arpa/inet.h>

#include <charconv>
#include <optional>
#include <string>

#include "config/parse_number.h"

namespace sagetally {
namespace {

// Keys of a partner instance's metadata.
constexpr const char* kDestinationKey = "destination";
constexpr const char* kRateKey = "rate";
constexpr const char* kKindKey = "kind";
constexpr const char* kZoneKey = "zone";

// FNV-1a with a final mix. Unlike std::hash, it returns the same value on every machine.
std::uint64_t Hash(const std::string& text) {
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ull;
  static constexpr std::uint64_t kPrime = 1099511628211ull;
  static constexpr std::uint64_t kMixFactor = 0xff51afd7ed558ccdull;  // of MurmurHash3's finalizer
  static constexpr int kMixShift = 33;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  hash ^= hash >> kMixShift;
  hash *= kMixFactor;
  hash ^= hash >> kMixShift;
  return hash;
}

// Returns a value of an instance's metadata, or nothing if it is absent.
std::optional<std::string> GetMetadata(const Instance& instance, const char* key) {
  const auto value = instance.metadata.find(key);
  if (value == instance.metadata.end()) return std::nullopt;
  return value->second;
}

// Returns whether the instance has a port and a numeric IPv4 address. Host names are not supported, because
// resolving them would block the event loop.
bool HasUsableAddress(const Instance& instance) {
  in_addr number{};
  return instance.port != 0 && inet_pton(AF_INET, instance.host.c_str(), &number) == 1;
}

// Returns the rate in the instance's metadata, in calls per second, or 0 if it is absent, negative or not
// below kMaxRate. Characters after the number are ignored.
double ReadRate(const Instance& instance) {
  static constexpr double kMaxRate = 1e9;
  const std::string text = GetMetadata(instance, kRateKey).value_or("");
  double rate = 0;
  std::from_chars(text.data(), text.data() + text.size(), rate);
  return rate >= 0 && rate < kMaxRate ? rate : 0;
}

// Returns the index in `names` of the name that the metadata has under `key`, or 0 if it is absent or
// unknown.
int ReadNameIndex(const Instance& instance, const char* key, const std::vector<std::string>& names) {
  const std::optional<std::string> name = GetMetadata(instance, key);
  return name ? FindName(names, *name).value_or(0) : 0;
}

}  // namespace

const Instance* SelectPlanner(const InstancesById& planners, int destination) {
  const Instance* selected = nullptr;
  std::uint64_t highest_weight = 0;
  for (const auto& [id, planner] : planners) {
    if (!planner.is_up() || !HasUsableAddress(planner)) continue;
    const std::uint64_t weight = Hash(id + "#" + std::to_string(destination));
    if (selected != nullptr && weight <= highest_weight) continue;
    selected = &planner;
    highest_weight = weight;
  }
  return selected;
}

EndpointListUpdate MakePartnerList(const InstancesById& partners, const SiteSettings& site,
                                   std::vector<std::string>& problems) {
  EndpointListUpdate list;
  list.is_full_snapshot = true;
  for (const auto& [id, partner] : partners) {
    EndpointUpdate update;
    update.record.endpoint = id;
    update.address = partner.host + ":" + std::to_string(partner.port);
    if (!HasUsableAddress(partner)) {
      problems.push_back(id + ": '" + update.address + "' is not a numeric IPv4 address with a port");
      continue;
    }
    const std::optional<int> destination =
        ParseNumber<int>(GetMetadata(partner, kDestinationKey).value_or(""));
    if (!destination || *destination < 0) {
      problems.push_back(id + ": the metadata has no valid destination");
      continue;
    }
    update.record.destination = *destination;
    update.record.rate = ReadRate(partner);
    update.record.kind = ReadNameIndex(partner, kKindKey, site.kinds);
    update.record.zone = ReadNameIndex(partner, kZoneKey, site.zones);
    update.record.state = partner.is_up() ? EndpointRecord::State::kUp : EndpointRecord::State::kDraining;
    list.endpoints.push_back(std::move(update));
  }
  return list;
}

}  // namespace sagetally
