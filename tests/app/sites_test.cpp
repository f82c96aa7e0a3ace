// Tests of the deployments under deploy/sites. The settings of each one, converted to the form in which the
// platform gives them, must be loaded with the values of its file. A dispatcher with them must accept and
// deliver a message of each class.
#include <toml++/toml.h>

#include <nlohmann/json.hpp>

#include "world.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

// Returns the lower bound if `node` is a range, and else its value.
template <typename T>
T LowerBound(const toml::node_view<const toml::node>& node) {
  if (const auto* range = node.as_array()) return range->get(0)->value<T>().value();
  return node.value<T>().value();
}

// Returns the settings of a site file in the platform's form.
Json PlatformSettings(const toml::table& site) {
  const std::map<std::string, std::string> idempotency_names = {
      {"safe", "pure"}, {"keyed", "token"}, {"unsafe", "side_effect"}};
  Json settings = {
      {"balancers", LowerBound<int>(site["scale"]["balancers"])},
      {"discovery", site["discovery"]["mode"].value<std::string>() == "ask" ? "subscribe" : "automatic"},
      {"weightKind", site["tier"][0]["weights"].value<std::string>().value()},
      {"zones", Json::array()},
      {"flavors", Json::array()},
      {"grades", Json::array()}};
  for (const auto& zone : *site["net"]["zones"].as_array()) {
    settings["zones"].push_back(zone.value<std::string>().value());
  }
  for (const auto& kind : *site["tier"][0]["kind"].as_array()) {
    settings["flavors"].push_back((*kind.as_table())["name"].value<std::string>().value());
  }
  for (const auto& node : *site["class"].as_array()) {
    const toml::table& message_class = *node.as_table();
    Json grade = {
        {"name", message_class["name"].value<std::string>().value()},
        {"slo", LowerBound<double>(message_class["aim_ms"])},
        {"deadline", LowerBound<double>(message_class["deadline_ms"])},
        {"credit", LowerBound<double>(message_class["worth"])},
        {"lateShare", LowerBound<double>(message_class["late_worth"])},
        {"idempotency", idempotency_names.at(message_class["effect"].value<std::string>().value())}};
    if (message_class.contains("window_ms")) {
      grade["repeatWindow"] = LowerBound<double>(message_class["window_ms"]);
      grade["group"] = message_class["group"].value<std::string>().value();
    }
    settings["grades"].push_back(grade);
  }
  const auto allow = site["allow"];
  const auto rules = site["rules"];
  const auto connection = site["tier"][0]["conn"];
  settings["specifics"] = {{"callsOut", LowerBound<int>(site["fam"]["least_slots"])}};
  settings["caps"] = {{"mostHeld", LowerBound<int>(site["fam"]["least_open"])},
                      {"maxAttempts", LowerBound<int>(allow["max_attempts"])},
                      {"cancel", allow["cancel"].value<bool>().value()},
                      {"retryAfter", allow["retry_after"].value<bool>().value()},
                      {"connIdle", 1000 * LowerBound<double>(connection["idle_s"])},
                      {"connectTimeout", LowerBound<double>(connection["connect_timeout_ms"])}};
  settings["rules"] = {{"coldShare", LowerBound<double>(site["tier"][0]["kind"][0]["cold_from"])},
                       {"warmWithin", 1000 * LowerBound<double>(site["tier"][0]["kind"][0]["cold_s"])},
                       {"fallMultiple", LowerBound<double>(rules["fall_multiple"])},
                       {"tipAfter", LowerBound<double>(rules["fall_ms"])},
                       {"drainGrace", LowerBound<double>(rules["drain_grace_ms"])},
                       {"askEvery", 5000}};
  return settings;
}

void DeploymentIsLoadedAndServesEachClass(const std::filesystem::path& folder) {
  const std::string name = folder.filename();
  for (const char* file : {"real.json", "wire.json"}) {
    std::ifstream file_stream(folder / file);
    assert(Json::parse(file_stream).is_object());
  }
  assert(std::filesystem::file_size(folder / "unlock.txt") > 0);
  const toml::table site = toml::parse_file((folder / (name + ".toml")).string());
  assert(site["name"].value<std::string>() == name);
  const Json settings = PlatformSettings(site);

  World world;
  Json config = Json::parse(world.ConfigText());
  config["settings"] = settings;
  config["known"]["targets"][0]["model"] = settings["flavors"].back();
  config["known"]["targets"][0]["az"] = settings["zones"].back();
  const Config parsed = ParseConfigWithoutEnvironment(config.dump());
  const auto& classes = parsed.site.policy.classes;
  assert(classes.size() == settings["grades"].size() && parsed.site.classes.size() == classes.size());
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const Json& grade = settings["grades"][i];
    assert(parsed.site.classes[i] == grade["name"]);
    assert(classes[i].deadline == Duration(grade["deadline"].get<std::int64_t>() * 1000));
    assert((classes[i].idempotency == Idempotency::kNotIdempotent) ==
           (grade["idempotency"] == "side_effect"));
    assert(classes[i].deduplication_window == Duration(grade.value("repeatWindow", 0) * 1000));
  }
  assert(parsed.site.policy.endpoint_list_on_request == (settings["discovery"] == "subscribe"));
  world.dispatcher = std::make_unique<Dispatcher>(world.loop, world.log, parsed, NodeFile{});
  world.dispatcher->Start();
  std::size_t sent = 0;
  for (const std::string& class_name : parsed.site.classes) {
    assert(world.AwaitStatus(world.Post(class_name, "of-" + class_name, "x", "2000m")) == 202);
    RunUntil(world.loop, [&, n = ++sent] { return world.CountCalls() == n; });
  }
  assert(world.agent.notices.empty());
}

}  // namespace
}  // namespace sagetally

int main() {
  int sites = 0;
  for (const auto& entry : std::filesystem::directory_iterator(SAGETALLY_SITES)) {
    sagetally::DeploymentIsLoadedAndServesEachClass(entry.path());
    ++sites;
  }
  assert(sites >= 2);
  std::printf("%d passed, 0 failed\n", sites);
}
