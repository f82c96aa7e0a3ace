// The deployments under deploy/sites: each one's settings, in the form that the platform gives them, load as
// the file says, and a dispatcher accepts and delivers a message of each of its classes.
#include <toml++/toml.h>

#include <nlohmann/json.hpp>

#include "world.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

template <typename T>
T LowerBound(const toml::node_view<const toml::node>& node) {  // of a range, or the one value
  if (const auto* range = node.as_array()) return range->get(0)->value<T>().value();
  return node.value<T>().value();
}

Json PlatformSettings(const toml::table& site) {
  const std::map<std::string, std::string> idempotency_names = {
      {"safe", "pure"}, {"keyed", "token"}, {"unsafe", "side_effect"}};
  Json s = {
      {"balancers", LowerBound<int>(site["scale"]["balancers"])},
      {"discovery", site["discovery"]["mode"].value<std::string>() == "ask" ? "subscribe" : "automatic"},
      {"weightKind", site["tier"][0]["weights"].value<std::string>().value()},
      {"zones", Json::array()},
      {"flavors", Json::array()},
      {"grades", Json::array()}};
  for (const auto& zone : *site["net"]["zones"].as_array()) {
    s["zones"].push_back(zone.value<std::string>().value());
  }
  for (const auto& kind : *site["tier"][0]["kind"].as_array()) {
    s["flavors"].push_back((*kind.as_table())["name"].value<std::string>().value());
  }
  for (const auto& node : *site["class"].as_array()) {
    const toml::table& c = *node.as_table();
    Json grade = {{"name", c["name"].value<std::string>().value()},
                  {"slo", LowerBound<double>(c["aim_ms"])},
                  {"deadline", LowerBound<double>(c["deadline_ms"])},
                  {"credit", LowerBound<double>(c["worth"])},
                  {"lateShare", LowerBound<double>(c["late_worth"])},
                  {"idempotency", idempotency_names.at(c["effect"].value<std::string>().value())}};
    if (c.contains("window_ms")) {
      grade["repeatWindow"] = LowerBound<double>(c["window_ms"]);
      grade["group"] = c["group"].value<std::string>().value();
    }
    s["grades"].push_back(grade);
  }
  const auto allow = site["allow"];
  const auto rules = site["rules"];
  const auto conn = site["tier"][0]["conn"];
  s["specifics"] = {{"callsOut", LowerBound<int>(site["fam"]["least_slots"])}};
  s["caps"] = {{"mostHeld", LowerBound<int>(site["fam"]["least_open"])},
               {"maxAttempts", LowerBound<int>(allow["max_attempts"])},
               {"cancel", allow["cancel"].value<bool>().value()},
               {"retryAfter", allow["retry_after"].value<bool>().value()},
               {"connIdle", 1000 * LowerBound<double>(conn["idle_s"])},
               {"connectTimeout", LowerBound<double>(conn["connect_timeout_ms"])}};
  s["rules"] = {{"coldShare", LowerBound<double>(site["tier"][0]["kind"][0]["cold_from"])},
                {"warmWithin", 1000 * LowerBound<double>(site["tier"][0]["kind"][0]["cold_s"])},
                {"fallMultiple", LowerBound<double>(rules["fall_multiple"])},
                {"tipAfter", LowerBound<double>(rules["fall_ms"])},
                {"drainGrace", LowerBound<double>(rules["drain_grace_ms"])},
                {"askEvery", 5000}};
  return s;
}

void DeploymentIsLoadedAndServesEachClass(const std::filesystem::path& folder) {
  const std::string name = folder.filename();
  for (const char* file : {"real.json", "wire.json"}) {
    std::ifstream in(folder / file);
    assert(Json::parse(in).is_object());
  }
  assert(std::filesystem::file_size(folder / "unlock.txt") > 0);
  const toml::table site = toml::parse_file((folder / (name + ".toml")).string());
  assert(site["name"].value<std::string>() == name);
  const Json settings = PlatformSettings(site);

  World w;
  Json config = Json::parse(w.ConfigText());
  config["settings"] = settings;
  config["known"]["targets"][0]["model"] = settings["flavors"].back();
  config["known"]["targets"][0]["az"] = settings["zones"].back();
  const Config read = ParseWithoutVariables(config.dump());
  const auto& classes = read.site.policy.classes;
  assert(classes.size() == settings["grades"].size() && read.site.classes.size() == classes.size());
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const Json& grade = settings["grades"][i];
    assert(read.site.classes[i] == grade["name"]);
    assert(classes[i].deadline == Duration(grade["deadline"].get<std::int64_t>() * 1000));
    assert((classes[i].idempotency == Idempotency::kNotIdempotent) ==
           (grade["idempotency"] == "side_effect"));
    assert(classes[i].deduplication_window == Duration(grade.value("repeatWindow", 0) * 1000));
  }
  assert(read.site.policy.endpoint_list_on_request == (settings["discovery"] == "subscribe"));
  w.dispatcher = std::make_unique<Dispatcher>(w.loop, w.log, read, NodeFile{});
  w.dispatcher->Start();
  std::size_t sent = 0;
  for (const std::string& class_name : read.site.classes) {
    assert(w.AwaitStatus(w.Post(class_name, "of-" + class_name, "x", "2000m")) == 202);
    RunUntil(w.loop, [&, n = ++sent] { return w.CountCalls() == n; });
  }
  assert(w.agent.notices.empty());
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
