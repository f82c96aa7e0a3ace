#include "config/settings.h"

#include <algorithm>

namespace sagetally {
namespace {

using json::Find;
using json::ForEach;
using json::Get;
using json::GetMs;
using json::Value;

// Returns the object in a field, or an empty object if the field is absent. Throws FormatError if the value
// is not an object.
Value FindSection(Value params, const char* name) {
  static simdjson::dom::parser parser;
  static const Value kEmpty = json::Parse(parser, "{}");
  const std::optional<Value> section = Find(params, name);
  if (!section) return kEmpty;
  if (!section->is_object()) json::ThrowWrongType(*section, name, "an object");
  return *section;
}

Idempotency ParseIdempotency(const std::string& word) {
  if (word == "pure") return Idempotency::kIdempotent;
  if (word == "token") return Idempotency::kIdempotentWithKey;
  if (word == "side_effect") return Idempotency::kNotIdempotent;
  throw FormatError("unknown idempotency '" + word + "'",
                    {"idempotency", "one of pure, token, side_effect", word});
}

KeyScope ParseKeyScope(const std::string& word) {
  if (word == "all") return KeyScope::kAll;
  return word == "zone" ? KeyScope::kZone : KeyScope::kEndpoint;
}

AdvertisedRates ParseAdvertisedRates(const std::string& word) {
  if (word == "silent") return AdvertisedRates::kNone;
  return word == "rough" ? AdvertisedRates::kApproximate : AdvertisedRates::kExact;
}

ClassSettings ReadClass(Value grade) {
  ClassSettings settings;
  settings.latency_objective = GetMs(grade, "slo");
  settings.deadline = GetMs(grade, "deadline");
  settings.priority_weight = Get<double>(grade, "credit", 1.0);
  settings.late_weight_fraction = Get<double>(grade, "lateShare", 0.0);
  settings.idempotency = ParseIdempotency(Get<std::string>(grade, "idempotency"));
  settings.key_scope = ParseKeyScope(Get<std::string>(grade, "group", "all"));
  settings.deduplication_window = GetMs(grade, "repeatWindow", 0.0);
  settings.ordered_by_key = Get<bool>(grade, "inOrder", false);
  return settings;
}

void ReadClasses(Value params, SiteSettings& site) {
  for (const Value grade : json::List(params, "grades")) {
    site.policy.classes.push_back(ReadClass(grade));
    site.classes.push_back(Get<std::string>(grade, "name", ""));
  }
}

// The lists in `specifics` have one item for each kind, in the same order. Excess items are ignored.
void ReadKindsAndZones(Value params, Value specifics, SiteSettings& site) {
  ForEach(params, "flavors",
          [&](Value name) { site.kinds.push_back(json::As<std::string>(name, "flavors")); });
  ForEach(params, "zones", [&](Value name) { site.zones.push_back(json::As<std::string>(name, "zones")); });
  std::vector<DestinationKindSettings>& kinds = site.policy.kinds;
  kinds.resize(std::max<std::size_t>(1, site.kinds.size()));
  std::size_t index = 0;
  ForEach(specifics, "kindApart", [&](Value is_apart) {
    if (index < kinds.size()) kinds[index++].per_endpoint_limits = json::As<bool>(is_apart, "kindApart");
  });
  index = 0;
  ForEach(specifics, "bundleMax", [&](Value max_size) {
    if (index < kinds.size()) kinds[index++].max_batch_size = json::As<int>(max_size, "bundleMax");
  });
  ForEach(specifics, "feeByZone",
          [&](Value price) { site.policy.zone_prices.push_back(json::As<double>(price, "feeByZone")); });
}

void ReadDispatcherLimits(Value params, Value specifics, Value caps, Settings& settings) {
  settings.dispatcher_count = Get<int>(params, "balancers", 1);
  settings.dispatcher_index = Get<int>(params, "ordinal", 0);
  settings.zone = Get<int>(params, "zone", 0);
  settings.max_concurrent_calls = Get<int>(specifics, "callsOut");
  settings.max_pending_messages = Get<int>(caps, "mostHeld");
  settings.max_attempts = Get<int>(caps, "maxAttempts");
  settings.max_streams_per_connection = Get<int>(caps, "multiplex", 1);
  settings.health_checks_allowed = Get<bool>(caps, "probes", false);
  settings.cancellation_allowed = Get<bool>(caps, "cancel", false);
  settings.gossip_allowed = Get<bool>(caps, "peers", false);
  settings.retry_after_allowed = Get<bool>(caps, "retryAfter", false);
}

void ReadQuotas(Value params, Settings& settings) {
  settings.advertised_rates = ParseAdvertisedRates(Get<std::string>(params, "weightKind", "nominal"));
  settings.over_quota_weight = Get<double>(params, "overShareWorth", 1.0);
  ForEach(params, "tenants", [&](Value tenant) {
    settings.tenants.push_back(
        {Get<double>(tenant, "portion", 0.0), Get<double>(tenant, "allowancePerS", 0.0)});
  });
}

void ReadRules(Value rules, Settings& settings) {
  settings.response_slack = GetMs(rules, "answerSlack", 0.0);
  settings.max_poll_interval = GetMs(rules, "askEvery", 0.0);
  settings.cold_capacity_fraction = Get<double>(rules, "coldShare", 1.0);
  settings.overload_multiple = Get<double>(rules, "fallMultiple", 1.0);
  settings.overload_duration = GetMs(rules, "tipAfter", 0.0);
  settings.warm_up_time = GetMs(rules, "warmWithin", 0.0);
  settings.key_quiet_time = GetMs(rules, "keyQuiet", 0.0);
}

}  // namespace

// If several fields are wrong, the error names the one that is read first, so the order of the calls is
// observable.
SiteSettings ReadSettings(Value params) {
  SiteSettings site;
  Settings& settings = site.policy;
  ReadClasses(params, site);
  const Value specifics = FindSection(params, "specifics");
  ReadKindsAndZones(params, specifics, site);
  const Value caps = FindSection(params, "caps");
  const Value rules = FindSection(params, "rules");
  const Value penalties = FindSection(params, "penalties");
  ReadDispatcherLimits(params, specifics, caps, settings);
  ReadQuotas(params, settings);
  settings.hedging_allowed = Get<bool>(caps, "secondCopies", false);
  settings.rejection_price = Get<double>(specifics, "refusalCost", 0.0);
  const bool is_halving = Get<std::string>(specifics, "late", "linear") == "halving";
  settings.late_weight_decay = is_halving ? LateWeightDecay::kHalving : LateWeightDecay::kLinear;
  settings.endpoint_list_on_request = Get<std::string>(params, "discovery", "automatic") == "subscribe";
  settings.max_client_retry_after = GetMs(caps, "maxRetryAfter", 0.0);
  settings.connection_idle_timeout = GetMs(caps, "connIdle", 0.0);
  settings.handshake_price = Get<double>(penalties, "handshake", 0.0);
  settings.cross_zone_price = Get<double>(penalties, "crossZone", 0.0);
  ReadRules(rules, settings);
  site.connect_timeout = GetMs(caps, "connectTimeout", 1500.0);
  return site;
}

std::optional<int> FindName(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<int>(found - names.begin());
}

}  // namespace sagetally
