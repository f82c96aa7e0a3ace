// Tests of the parsers of deadlines, destinations, load reports, configurations and node files.
#include <fstream>

#include "world.h"

namespace sagetally {
namespace {

void ParsesDeadlines() {
  const std::pair<const char*, long> cases[] = {{"480m", 480'000}, {"480u", 480}, {"1.5m", 1500}, {"0m", 0},
                                                {"", -1},          {"480", -1},   {"m", -1},      {"-1m", -1},
                                                {"1s", -1},        {"nanm", -1},  {"1e99m", -1}};
  for (const auto& [text, us] : cases) {
    const auto parsed = ParseDeadline(text);
    assert(us < 0 ? !parsed : parsed == Duration(us));
  }
}

void ParsesDestinations() {
  const std::pair<const char*, int> cases[] = {
      {"dest=7", 7},  {"a=1,dest=0", 0}, {"a=1; dest=12", 12}, {"", -1},        {"dest=", -1},
      {"dest=x", -1}, {"dest=7x", -1},   {"dest=-3", -1},      {"adest=7", -1}, {"dest=99999999999", -1}};
  for (const auto& [text, destination] : cases) {
    const auto parsed = ParseDestination(text);
    assert(destination < 0 ? !parsed : parsed == destination);
  }
}

// Guards against a malformed report that is read as a rate limit of zero.
void ParsesLoadReports() {
  const std::tuple<const char*, double, double> cases[] = {
      {"x0=0.4,x1=25", 0.4, 25}, {"x1=25, x0=0.4", 0.4, 25}, {"x1=7", 0, 7},    {"", 0, 0},
      {"x0=0.4,x1=", 0, 0},      {"x0=0.4,x1=-3", 0, 0},     {"x1=nan", 0, 0},  {"x1=25x", 0, 0},
      {"x1=1e999", 0, 0},        {"\xff\xfe", 0, 0},         {"x1=25,,", 0, 0}, {"cpu=0.5,x1=3", 0, 3}};
  for (const auto& [text, quota_left, rate_limit] : cases) {
    const LoadReport load = ParseLoadReport(text);
    assert(load.quota_left == quota_left && load.rate_limit == rate_limit);
  }
}

void ConfigurationErrorsNameTheKey() {
  const World world;
  const std::string valid_text = world.ConfigText();
  const auto no_variables = [](const char*) { return nullptr; };
  assert(ParseConfig(valid_text, no_variables).site.policy.max_concurrent_calls == 8);
  const std::tuple<const char*, const char*, const char*> cases[] = {
      {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\"", "listen"},
      {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"a.test:80\"", "listen"},
      {"\"discovery\":", "\"other\":", "discovery"},
      {"\"seed\":\"1f\"", "\"seed\":\"xyz\"", "seed"},
      {"\"disk_mb\":3", "\"disk_mb\":\"much\"", "disk_mb"},
      {"\"callsOut\":8", "\"callsOut\":null", "callsOut"},
      {"\"slo\":2000", "\"slo\":\"soon\"", "slo"},
      {"\"pure\"", "\"holy\"", "idempotency"},
      {"\"uid\":", "\"uib\":", "uid"},
      {"in_service", "asleep", "asleep"},
      {"{", "", "JSON"}};
  for (const auto& [from, to, key] : cases) {
    std::string text = valid_text;
    text.replace(text.find(from), std::string(from).size(), to);
    std::string error;
    try {
      ParseConfig(text, no_variables);
    } catch (const std::exception& e) {
      error = e.what();
    }
    assert(error.find(key) != std::string::npos);
  }
}

// Guards against a start that is refused because discovery's list, as it was last had, has one malformed
// entry.
void UnreadableEntryOfTheKnownListIsLeftOut() {
  const World world(2);
  std::string text = world.ConfigText();
  const std::string state = "in_service";
  text.replace(text.find(state), state.size(), "asleep");
  const EndpointListUpdate list =
      ParseConfig(text, [](const char*) -> const char* { return nullptr; }).cached_endpoint_list;
  assert(list.endpoints.size() == 1 && list.endpoints[0].record.endpoint == "s-1");
  assert(list.entry_errors.size() == 1 && list.entry_errors[0].find("asleep") != std::string::npos);
}

void NodeFileErrorsNameTheKey() {
  assert(!ParseNodeFile("{}").cloudevents && ReadNodeFile("/nonexistent").role == Role::kBoth);
  const std::pair<const char*, const char*> cases[] = {
      {R"({"role":"boss"})", "role"},
      {R"({"role":"planner"})", "cloudevents"},
      {R"({"cloudevents":{}})", "listen"},
      {R"({"cloudevents":{"listen":"x"}})",
       "/cloudevents/listen: expected an address, such as 127.0.0.1:9080, found \"x\""},
      {R"({"cloudevents":{"listen":"127.0.0.1:1","more":1}})", "/cloudevents/more: expected one of listen"},
      {R"({"cloudevents":{"listen":"999.0.0.1:1"}})", "/cloudevents/listen"},
      {R"({"kept":{"budget_mb":0}})", "/kept/budget_mb: expected a number from 1"},
      {R"({"kept":{"ends":["lost"]}})", "/kept/ends/0: expected undeliverable or deferred"},
      {R"({"cloudevents":{"listen":"127.0.0.1:1","sink":"y"}})", "/cloudevents/sink"},
      {R"({"eureka":{"registry":"127.0.0.1:1","renew_ms":0}})", "renew_ms"},
      {"[", "JSON"}};
  for (const auto& [text, key] : cases) {
    std::string error;
    try {
      ParseNodeFile(text);
    } catch (const std::exception& e) {
      error = e.what();
    }
    assert(error.find(key) != std::string::npos);
  }
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  ParsesDeadlines();
  ParsesDestinations();
  ParsesLoadReports();
  ConfigurationErrorsNameTheKey();
  UnreadableEntryOfTheKnownListIsLeftOut();
  NodeFileErrorsNameTheKey();
  std::puts("6 passed, 0 failed");
}
