#include "loadtest/demo/demo_config.h"

#include <fmt/format.h>

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

constexpr int kMaxConcurrentCalls = 40;  // of each node

// The scenario's message classes.
Json ClassesJson() {
  return Json::array(
      {{{"name", "aviso"}, {"weight", 6}, {"deadline_ms", 8000}, {"aim_ms", 2000}, {"repeat", "free"}},
       {{"name", "pedido"}, {"weight", 3}, {"deadline_ms", 6000}, {"aim_ms", 2500}, {"repeat", "keyed"}},
       {{"name", "pagamento"}, {"weight", 1}, {"deadline_ms", 6000}, {"aim_ms", 2500}, {"repeat", "never"}}});
}

std::string LoopbackAddress(std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); }

// Converts a class of the scenario to a class ("grade") of the platform's configuration.
Json GradeJson(const Json& message_class) {
  const std::string repeat = message_class["repeat"];
  Json grade = {{"name", message_class["name"]},
                {"slo", message_class["aim_ms"]},
                {"deadline", message_class["deadline_ms"]},
                {"credit", 1}};
  if (repeat == "free") {
    grade["idempotency"] = "pure";
  } else if (repeat == "keyed") {
    grade["idempotency"] = "token";
    grade["repeatWindow"] = 10000;
  } else {
    grade["idempotency"] = "side_effect";
    grade["credit"] = 5;
  }
  return grade;
}

// Two faults: partner-1 refuses connections from 40% of the run for 15% of it, and partner-2 responds with
// errors to 30% of the calls from 65% of the run for 10% of it.
Json OutageJson(const DemoOptions& options) {
  return Json::array({{{"fault", "shut"},
                       {"at_ms", options.seconds * 400},
                       {"for_ms", options.seconds * 150},
                       {"endpoint", "partner-1"},
                       {"destination", 1}},
                      {{"fault", "error"},
                       {"at_ms", options.seconds * 650},
                       {"for_ms", options.seconds * 100},
                       {"endpoint", "partner-2"},
                       {"destination", 2},
                       {"share", 0.3}}});
}

}  // namespace

Json DemoScenarioJson(const DemoOptions& options, const std::vector<std::uint16_t>& ports) {
  Json targets = Json::array();
  for (const std::uint16_t port : ports) targets.push_back(LoopbackAddress(port));
  const double seconds = options.seconds;
  const Json points = {{{"at_s", 0}, {"rate", options.rate / 3}, {"ramp", true}},
                       {{"at_s", seconds * 0.3}, {"rate", options.rate}, {"ramp", false}},
                       {{"at_s", seconds * 0.7}, {"rate", options.rate}, {"ramp", true}},
                       {{"at_s", seconds}, {"rate", options.rate / 3}}};
  const Json hot_client = {{"share", 0.15}, {"from_s", seconds * 0.5}, {"for_s", seconds * 0.2}};
  return {{"seed", options.seed},
          {"seconds", seconds},
          {"drain_s", 1},
          {"targets", targets},
          {"connections", 64},
          {"arrivals", {{"process", "poisson"}, {"points", points}}},
          {"classes", ClassesJson()},
          {"destinations", {{"first", 0}, {"count", kDemoDestinations}, {"zipf", 0.5}}},
          {"body_bytes", {{"kind", "lognormal"}, {"mean", 400}, {"cv", 1.5}}},
          {"callers", {{"count", 20}, {"hot", hot_client}}},
          {"clumps", {{"every_s", seconds / 3}, {"partner_rate", 20}, {"over_ms", 500}}}};
}

Json DemoStubServersJson(const DemoOptions& options) {
  Json partners = Json::array();
  for (int destination = 0; destination < kDemoDestinations; ++destination) {
    partners.push_back({{"uid", fmt::format("partner-{}", destination)},
                        {"destination", destination},
                        {"capacity", 10},
                        {"queue", 20},
                        {"rate", 60},
                        {"burst", 20},
                        {"service_ms", {{"kind", "lognormal"}, {"mean", 25}, {"cv", 0.6}}},
                        {"cold_ms", 1000},
                        {"cold_times", 2}});
  }
  return {{"seed", options.seed},    {"rules", {{"slots", 0}, {"repeat_window_ms", 10000}}},
          {"partners", partners},    {"timeline", options.outage ? OutageJson(options) : Json::array()},
          {"agent", Json::object()}, {"registry", Json::object()},
          {"sink", Json::object()}};
}

Json DemoPlatformConfigJson(const std::string& name, const StubServerThread& stubs, const std::string& state,
                            bool with_endpoints) {
  Json endpoints = Json::array();
  if (with_endpoints) {
    for (const ListedEndpoint& endpoint : stubs.endpoints) endpoints.push_back(Json::parse(ToJson(endpoint)));
  }
  Json grades = Json::array();
  for (const Json& message_class : ClassesJson()) grades.push_back(GradeJson(message_class));
  return {
      {"name", name},
      {"listen", "127.0.0.1:0"},
      {"discovery", LoopbackAddress(stubs.agent_port)},
      {"state", state},
      {"seed", "1f"},
      {"limits", {{"disk_mb", 30}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"known", {{"rev", 1}, {"all", true}, {"targets", endpoints}}},
      {"settings",
       {{"flavors", {"partner"}},
        {"zones", {"a"}},
        {"grades", grades},
        {"specifics", {{"callsOut", kMaxConcurrentCalls}}},
        {"caps", {{"mostHeld", 800}, {"maxAttempts", 6}, {"connIdle", 15000}, {"connectTimeout", 1500}}},
        {"rules", {{"coldShare", 0.3}, {"fallMultiple", 1.5}, {"tipAfter", 1500}, {"warmWithin", 11000}}}}}};
}

Json DemoNodeFileJson(const std::string& role, const StubServerThread& stubs) {
  return {
      {"role", role},
      {"cloudevents",
       {{"listen", "127.0.0.1:0"}, {"sink", LoopbackAddress(stubs.sink_port)}, {"sink_path", "/results"}}},
      {"eureka",
       {{"registry", LoopbackAddress(stubs.registry_port)},
        {"host", "127.0.0.1"},
        {"renew_ms", 1000},
        {"fetch_ms", 100}}}};
}

}  // namespace sagetally::loadtest
