#include "loadtest/stub/registry.h"

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

constexpr std::size_t kMaxChanges = 100;
constexpr std::string_view kBasePath = "/eureka/apps";

std::string ListJson(const std::string& apps, std::size_t count) {
  const std::string hash = count == 0 ? "" : "UP_" + std::to_string(count) + "_";
  return "{\"applications\":{\"versions__delta\":\"1\",\"apps__hashcode\":\"" + hash +
         "\",\"application\":[" + apps + "]}}";
}

std::string ApplicationJson(const std::string& name, const std::string& instance) {
  return "{\"name\":\"" + name + "\",\"instance\":[" + instance + "]}";
}

}  // namespace

Registry::Registry(EventLoop& loop, const Address& listen_address)
    : listener_(loop, listen_address, [this](const std::shared_ptr<Call>& call) { OnRequest(*call); }) {}

void Registry::AddChange(const std::string& app, const std::string& instance) {
  changes_.push_back({app, instance});
  if (changes_.size() > kMaxChanges) changes_.erase(changes_.begin());
}

void Registry::Put(const std::string& app, const std::string& id, std::uint16_t port,
                   const std::string& more) {
  const std::string instance =
      R"({"instanceId":")" + id + R"(","hostName":"h","ipAddr":"127.0.0.1","app":")" + app +
      R"(","status":"UP","port":{"$":)" + std::to_string(port) + R"(,"@enabled":"true"})" + more;
  instances_[{app, id}] = instance;
  AddChange(app, instance + R"(,"actionType":"ADDED"})");
}

void Registry::Remove(const std::string& app, const std::string& id) {
  const auto found = instances_.find({app, id});
  if (found == instances_.end()) return;
  AddChange(app, found->second + R"(,"actionType":"DELETED"})");
  instances_.erase(found);
}

std::size_t Registry::InstanceCount(const std::string& app) const {
  std::size_t count = 0;
  for (const auto& [key, instance] : instances_) count += key.first == app ? 1 : 0;
  return count;
}

std::string Registry::FullListJson() const {
  std::string apps;
  for (const auto& [key, instance] : instances_) {
    apps += (apps.empty() ? "" : ",") + ApplicationJson(key.first, instance + "}");
  }
  return ListJson(apps, instances_.size());
}

std::string Registry::DeltaJson() const {
  std::string apps;
  for (const Change& change : changes_) {
    apps += (apps.empty() ? "" : ",") + ApplicationJson(change.app, change.instance);
  }
  return ListJson(apps, instances_.size());
}

void Registry::OnRequest(Call& call) {
  if (keep_requests) requests.push_back(call.method + " " + call.target);
  if (silent) return;
  if (!call.target.starts_with(kBasePath)) {
    call.Answer(404);
    return;
  }
  std::string path = call.target.substr(kBasePath.size());
  if (call.method == "GET") {
    OnListRequest(call, path);
    return;
  }
  if (!path.empty()) path.erase(0, 1);
  const std::size_t slash = path.find('/');
  const std::string app = path.substr(0, slash);
  const std::string id = slash == std::string::npos ? "" : path.substr(slash + 1);
  if (call.method == "POST") {
    OnRegistration(call, app);
  } else if (call.method == "PUT") {
    const bool is_known = !std::exchange(rejects_next_renewal, false) && instances_.contains({app, id});
    call.Answer(is_known ? 200 : 404);
  } else {
    Remove(app, id);
    call.Answer(200);
  }
}

void Registry::OnListRequest(Call& call, const std::string& path) {
  if (stale && stale_list_.empty()) stale_list_ = FullListJson();
  if (!stale) stale_list_.clear();
  if (path == "/delta") {
    call.Answer(200, DeltaJson());
  } else {
    call.Answer(200, stale ? stale_list_ : FullListJson());
  }
}

void Registry::OnRegistration(Call& call, const std::string& app) {
  const auto body = nlohmann::json::parse(call.body, nullptr, false);
  const auto instance = body.is_object() ? body.find("instance") : body.end();
  if (!body.is_object() || instance == body.end() || !instance->contains("instanceId") ||
      !instance->contains("port")) {
    call.Answer(400);
    return;
  }
  const auto& port = (*instance)["port"]["$"];
  const int port_number = port.is_string() ? std::stoi(port.get<std::string>()) : port.get<int>();
  Put(app, (*instance)["instanceId"].get<std::string>(), static_cast<std::uint16_t>(port_number));
  call.Answer(204);
}

}  // namespace sagetally::loadtest
