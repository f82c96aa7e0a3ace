#include "config/settings.h"

#include <algorithm>

namespace sagetally {
namespace {

using namespace json;

// An absent part reads as an empty object.
Value Part(Value params, const char* name) {
  static simdjson::dom::parser parser;
  static const Value kEmpty = parser.parse(std::string_view("{}"));
  Value found;
  if (!Find(params, name, found)) return kEmpty;
  if (!found.is_object()) Malformed(std::string("wrong type of '") + name + "'");
  return found;
}

}  // namespace

SiteSettings ReadSettings(Value params) {
  SiteSettings site;
  Settings& s = site.policy;
  for (const Value grade : List(params, "grades")) {
    ClassSettings c;
    c.latency_objective = GetMs(grade, "slo");
    c.deadline = GetMs(grade, "deadline");
    c.priority_weight = Get<double>(grade, "credit", 1.0);
    c.late_weight_fraction = Get<double>(grade, "lateShare", 0.0);
    const auto effect = Get<std::string>(grade, "idempotency");
    if (effect == "pure") {
      c.idempotency = Idempotency::kIdempotent;
    } else if (effect == "token") {
      c.idempotency = Idempotency::kIdempotentWithKey;
    } else if (effect == "side_effect") {
      c.idempotency = Idempotency::kNotIdempotent;
    } else {
      Malformed("unknown idempotency '" + effect + "'");
    }
    const auto group = Get<std::string>(grade, "group", "all");
    c.key_scope = group == "all" ? KeyScope::kAll : group == "zone" ? KeyScope::kZone : KeyScope::kEndpoint;
    c.deduplication_window = GetMs(grade, "repeatWindow", 0.0);
    c.ordered_by_key = Get<bool>(grade, "inOrder", false);
    s.classes.push_back(c);
    site.classes.push_back(Get<std::string>(grade, "name", ""));
  }
  const Value specifics = Part(params, "specifics");
  // An array of simdjson's that was never read must not be walked, so an absent list calls nothing.
  const auto each = [](Value object, const char* name, auto&& use) {
    if (Value found; !Find(object, name, found)) return;
    for (const Value item : List(object, name)) use(item);
  };
  each(params, "flavors", [&](Value name) { site.kinds.push_back(As<std::string>(name, "flavors")); });
  each(params, "zones", [&](Value name) { site.zones.push_back(As<std::string>(name, "zones")); });
  s.kinds.resize(std::max<std::size_t>(1, site.kinds.size()));
  std::size_t at = 0;
  each(specifics, "kindApart", [&](Value apart) {
    if (at < s.kinds.size()) s.kinds[at++].per_endpoint_limits = As<bool>(apart, "kindApart");
  });
  at = 0;
  each(specifics, "bundleMax", [&](Value most) {
    if (at < s.kinds.size()) s.kinds[at++].max_batch_size = As<int>(most, "bundleMax");
  });
  each(specifics, "feeByZone", [&](Value fee) { s.zone_prices.push_back(As<double>(fee, "feeByZone")); });
  const Value caps = Part(params, "caps");
  const Value rules = Part(params, "rules");
  const Value penalties = Part(params, "penalties");
  s.dispatcher_count = Get<int>(params, "balancers", 1);
  s.dispatcher_index = Get<int>(params, "ordinal", 0);
  s.zone = Get<int>(params, "zone", 0);
  s.max_concurrent_calls = Get<int>(specifics, "callsOut");
  s.max_pending_messages = Get<int>(caps, "mostHeld");
  s.max_attempts = Get<int>(caps, "maxAttempts");
  s.max_streams_per_connection = Get<int>(caps, "multiplex", 1);
  s.health_checks_allowed = Get<bool>(caps, "probes", false);
  s.cancellation_allowed = Get<bool>(caps, "cancel", false);
  s.retry_after_allowed = Get<bool>(caps, "retryAfter", false);
  const auto weights = Get<std::string>(params, "weightKind", "nominal");
  s.advertised_rates = weights == "silent"  ? AdvertisedRates::kNone
                       : weights == "rough" ? AdvertisedRates::kApproximate
                                            : AdvertisedRates::kExact;
  s.over_quota_weight = Get<double>(params, "overShareWorth", 1.0);
  each(params, "tenants", [&](Value tenant) {
    s.tenants.push_back({Get<double>(tenant, "portion", 0.0), Get<double>(tenant, "allowancePerS", 0.0)});
  });
  s.hedging_allowed = Get<bool>(caps, "secondCopies", false);
  s.rejection_price = Get<double>(specifics, "refusalCost", 0.0);
  s.late_weight_decay = Get<std::string>(specifics, "late", "linear") == "halving" ? LateWeightDecay::kHalving
                                                                                   : LateWeightDecay::kLinear;
  s.endpoint_list_on_request = Get<std::string>(params, "discovery", "automatic") == "subscribe";
  s.max_client_retry_after = GetMs(caps, "maxRetryAfter", 0.0);
  s.connection_idle_timeout = GetMs(caps, "connIdle", 0.0);
  s.handshake_price = Get<double>(penalties, "handshake", 0.0);
  s.cross_zone_price = Get<double>(penalties, "crossZone", 0.0);
  s.response_slack = GetMs(rules, "answerSlack", 0.0);
  s.max_poll_interval = GetMs(rules, "askEvery", 0.0);
  s.cold_capacity_fraction = Get<double>(rules, "coldShare", 1.0);
  s.overload_multiple = Get<double>(rules, "fallMultiple", 1.0);
  s.overload_duration = GetMs(rules, "tipAfter", 0.0);
  s.warm_up_time = GetMs(rules, "warmWithin", 0.0);
  s.key_quiet_time = GetMs(rules, "keyQuiet", 0.0);
  site.connect_timeout = GetMs(caps, "connectTimeout", 1500.0);
  return site;
}

}  // namespace sagetally
