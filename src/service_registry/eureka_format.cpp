#include "service_registry/eureka_format.h"

#include <fmt/format.h>

#include <functional>
#include <optional>
#include <utility>

#include "config/config.h"
#include "config/json.h"

namespace sagetally {
namespace {

using json::Find;
using json::Get;
using json::Value;

// Calls `visit` for each item of the list `name` in `object`. Eureka may write a list of one item as the item
// itself.
template <typename Visitor>
void ForEachItem(Value object, const char* name, Visitor visit) {
  const std::optional<Value> list = Find(object, name);
  if (!list) return;
  simdjson::dom::array items;
  if (list->get(items) != simdjson::SUCCESS) {
    visit(*list);
    return;
  }
  for (const Value item : items) visit(item);
}

// Reads the port of an instance. It is a number, or an object such as {"$": 8080, "@enabled": "true"}, in
// which the number may be a string.
std::uint16_t ReadPort(Value instance) {
  const std::optional<Value> port = Find(instance, "port");
  if (!port) return 0;
  const Value number = port->is_object() ? json::Require(*port, "$") : *port;
  if (!number.is_string()) return json::As<std::uint16_t>(number, "port");
  return ParseAddress("0.0.0.0:" + json::As<std::string>(number, "port"), "port").port;
}

Instance::Metadata ReadMetadata(Value instance) {
  const std::optional<Value> metadata = Find(instance, "metadata");
  if (!metadata) return {};
  simdjson::dom::object fields;
  if (metadata->get(fields) != simdjson::SUCCESS) json::ThrowWrongType(*metadata, "metadata", "an object");
  Instance::Metadata texts;
  for (const auto& [key, field] : fields) {
    if (field.is_string()) texts[std::string(key)] = json::As<std::string>(field, "metadata");
  }
  return texts;
}

// Reads host, port and metadata. If one of them can't be read, the instance has none of them, so it is not
// used but still counts for the hash code.
void ReadLocation(Value value, Instance& instance) {
  try {
    instance.host = Get<std::string>(value, "ipAddr", "");
    if (instance.host.empty()) instance.host = Get<std::string>(value, "hostName");
    instance.port = ReadPort(value);
    instance.metadata = ReadMetadata(value);
  } catch (const FormatError&) {
    instance.host.clear();
    instance.port = 0;
    instance.metadata.clear();
  }
}

Instance ReadInstance(Value value, const std::string& app) {
  Instance instance;
  instance.app = app;
  instance.status = Get<std::string>(value, "status", "UNKNOWN");
  ReadLocation(value, instance);
  instance.id = Get<std::string>(value, "instanceId", "");
  if (instance.id.empty() && instance.host.empty()) {
    json::Malformed("an instance has neither an id nor a host");
  }
  if (instance.id.empty()) instance.id = instance.host + ":" + std::to_string(instance.port);
  return instance;
}

// Calls `visit(instance, action)` for each instance in a response that can be read, and adds the error of
// each other one to `errors`. Returns the hash code in the response. Throws FormatError if the response
// itself or all of its instances can't be read.
std::string ReadInstances(std::string_view text, const std::function<void(Instance, std::string)>& visit,
                          std::vector<std::string>& errors) {
  simdjson::dom::parser parser;
  const Value applications = json::Require(json::ParseReplacingInvalidUtf8(parser, text), "applications");
  std::optional<FormatError> first_error;
  bool has_readable_instance = false;
  const auto read_part = [&](const auto& read) {
    try {
      read();
    } catch (const FormatError& error) {
      if (!first_error) first_error = error;
      errors.emplace_back(error.what());
    }
  };
  const auto read_instance = [&](Value value, const std::string& app) {
    Instance instance = ReadInstance(value, app);
    auto action = Get<std::string>(value, "actionType", "ADDED");
    has_readable_instance = has_readable_instance || instance.port != 0;
    visit(std::move(instance), std::move(action));
  };
  const auto read_application = [&](Value application) {
    const auto app = Get<std::string>(application, "name");
    ForEachItem(application, "instance", [&](Value value) { read_part([&] { read_instance(value, app); }); });
  };
  ForEachItem(applications, "application",
              [&](Value application) { read_part([&] { read_application(application); }); });
  if (first_error && !has_readable_instance) throw FormatError(*first_error);
  return Get<std::string>(applications, "apps__hashcode", "");
}

std::string ToUpper(std::string text) {
  for (char& c : text) {
    if (c >= 'a' && c <= 'z') c = static_cast<char>(c - 'a' + 'A');
  }
  return text;
}

void Remove(const std::string& app, const std::string& id, Applications& applications) {
  const auto instances = applications.find(app);
  if (instances == applications.end()) return;
  instances->second.erase(id);
  if (instances->second.empty()) applications.erase(instances);
}

}  // namespace

Applications ReadApplications(std::string_view text, std::vector<std::string>& errors) {
  Applications applications;
  const auto add = [&](Instance instance, const std::string&) {
    InstancesById& instances = applications[ToUpper(instance.app)];
    const std::string id = instance.id;
    instances[id] = std::move(instance);
  };
  ReadInstances(text, add, errors);
  return applications;
}

bool ApplyDelta(std::string_view text, Applications& applications, std::vector<std::string>& errors) {
  const auto apply = [&](Instance instance, const std::string& action) {
    const std::string app = ToUpper(instance.app);
    const std::string id = instance.id;
    if (action == "DELETED") {
      Remove(app, id, applications);
    } else {
      applications[app][id] = std::move(instance);
    }
  };
  const std::string hash_code = ReadInstances(text, apply, errors);
  return hash_code.empty() || hash_code == HashCode(applications);
}

std::string HashCode(const Applications& applications) {
  std::map<std::string, int> counts;
  for (const auto& [app, instances] : applications) {
    for (const auto& [id, instance] : instances) ++counts[instance.status];
  }
  std::string hash_code;
  for (const auto& [status, count] : counts) hash_code += status + "_" + std::to_string(count) + "_";
  return hash_code;
}

std::string FormatRegistration(const Instance& instance, const Lease& lease) {
  const std::string app = json::Quote(instance.app);
  const std::string host = json::Quote(instance.host);
  return fmt::format(
      R"({{"instance":{{"instanceId":{id},"hostName":{host},"app":{app},"ipAddr":{host},"vipAddress":{app},)"
      R"("status":"UP","port":{{"$":{port},"@enabled":"true"}},"dataCenterInfo":{{)"
      R"("@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"}},)"
      R"("leaseInfo":{{"renewalIntervalInSecs":{renewal},"durationInSecs":{duration}}},"metadata":{{}}}}}})",
      fmt::arg("id", json::Quote(instance.id)), fmt::arg("host", host), fmt::arg("app", app),
      fmt::arg("port", instance.port), fmt::arg("renewal", lease.renewal_interval.count()),
      fmt::arg("duration", lease.duration.count()));
}

}  // namespace sagetally
