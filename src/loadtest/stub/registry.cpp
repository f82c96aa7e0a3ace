#include "loadtest/stub/registry.h"

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

constexpr std::size_t kMostChanges = 100;
constexpr std::string_view kBase = "/eureka/apps";

std::string Listed(const std::string& apps, std::size_t count) {
  const std::string hash = count == 0 ? "" : "UP_" + std::to_string(count) + "_";
  return "{\"applications\":{\"versions__delta\":\"1\",\"apps__hashcode\":\"" + hash +
         "\",\"application\":[" + apps + "]}}";
}

std::string App(const std::string& name, const std::string& instance) {
  return "{\"name\":\"" + name + "\",\"instance\":[" + instance + "]}";
}

}  // namespace

Registry::Registry(EventLoop& loop, const Address& at)
    : listener_(loop, at, [this](const std::shared_ptr<Call>& call) { Asked(*call); }) {}

void Registry::Put(const std::string& app, const std::string& id, std::uint16_t port,
                   const std::string& more) {
  const std::string text = R"({"instanceId":")" + id + R"(","hostName":"h","ipAddr":"127.0.0.1","app":")" +
                           app + R"(","status":"UP","port":{"$":)" + std::to_string(port) +
                           R"(,"@enabled":"true"})" + more;
  instances[{app, id}] = text;
  changes.emplace_back(app, text + R"(,"actionType":"ADDED"})");
  if (changes.size() > kMostChanges) changes.erase(changes.begin());
}

void Registry::Remove(const std::string& app, const std::string& id) {
  const auto at = instances.find({app, id});
  if (at == instances.end()) return;
  changes.emplace_back(app, at->second + R"(,"actionType":"DELETED"})");
  if (changes.size() > kMostChanges) changes.erase(changes.begin());
  instances.erase(at);
}

std::size_t Registry::Count(const std::string& app) const {
  std::size_t count = 0;
  for (const auto& [key, text] : instances) count += key.first == app ? 1 : 0;
  return count;
}

std::string Registry::Whole() const {
  std::string apps;
  for (const auto& [key, text] : instances) apps += (apps.empty() ? "" : ",") + App(key.first, text + "}");
  return Listed(apps, instances.size());
}

void Registry::Asked(Call& call) {
  if (keep_asked) asked.push_back(call.method + " " + call.target);
  if (silent) return;
  if (!call.target.starts_with(kBase)) {
    call.Answer(404);
    return;
  }
  std::string rest = call.target.substr(kBase.size());
  if (call.method == "GET") {
    if (stale && stale_list_.empty()) stale_list_ = Whole();
    if (!stale) stale_list_.clear();
    if (rest == "/delta") {
      std::string apps;
      for (const auto& [app, text] : changes) apps += (apps.empty() ? "" : ",") + App(app, text);
      call.Answer(200, Listed(apps, instances.size()));
    } else {
      call.Answer(200, stale ? stale_list_ : Whole());
    }
    return;
  }
  if (!rest.empty()) rest.erase(0, 1);
  const std::string app = rest.substr(0, rest.find('/'));
  const std::string id = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
  if (call.method == "POST") {
    const auto body = nlohmann::json::parse(call.body, nullptr, false);
    const auto instance = body.is_object() ? body.find("instance") : body.end();
    if (!body.is_object() || instance == body.end() || !instance->contains("instanceId") ||
        !instance->contains("port")) {
      call.Answer(400);
      return;
    }
    const auto& port = (*instance)["port"]["$"];
    Put(app, (*instance)["instanceId"].get<std::string>(),
        static_cast<std::uint16_t>(port.is_string() ? std::stoi(port.get<std::string>()) : port.get<int>()));
    call.Answer(204);
  } else if (call.method == "PUT") {
    call.Answer(std::exchange(forgetful, false) || !instances.contains({app, id}) ? 404 : 200);
  } else {
    Remove(app, id);
    call.Answer(200);
  }
}

}  // namespace sagetally::loadtest
